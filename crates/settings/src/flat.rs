//! The settings as text by path, from either form, and the parsing of single values.

use crate::error::SettingsError;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;

/// The settings as text by path. A list of plain values is one text, joined by commas.
pub struct FlatSettings(BTreeMap<String, String>);

/// Returns the form of a name that is used in lists of names: spaces and commas are replaced by underscores.
pub fn normalize_name(name: &str) -> String {
    name.replace([' ', ','], "_")
}

impl FlatSettings {
    /// Parses lines of `path=value`. Lines without `=` are ignored.
    pub fn from_text(text: &str) -> FlatSettings {
        let mut values = BTreeMap::new();
        for (path, value) in text.lines().filter_map(|line| line.split_once('=')) {
            values.insert(path.to_string(), value.to_string());
        }
        FlatSettings(values)
    }

    /// Flattens nested JSON with the same names; the parts of a path are joined by dots. A list of objects
    /// becomes its `count` and one path for each index. `null` is treated as absent.
    pub fn from_json(value: &Value) -> FlatSettings {
        let mut settings = FlatSettings(BTreeMap::new());
        settings.flatten(String::new(), value);
        settings
    }

    fn flatten(&mut self, path: String, value: &Value) {
        let child_path =
            |name: &str| if path.is_empty() { name.to_string() } else { format!("{path}.{name}") };
        match value {
            Value::Object(fields) => {
                for (name, field) in fields {
                    self.flatten(child_path(name), field);
                }
            }
            Value::Array(items) if items.iter().any(Value::is_object) => {
                self.0.insert(child_path("count"), items.len().to_string());
                for (index, item) in items.iter().enumerate() {
                    self.flatten(child_path(&index.to_string()), item);
                }
            }
            Value::Array(items) => {
                let texts: Vec<String> = items.iter().map(json_text).collect();
                self.0.insert(path, texts.join(","));
            }
            Value::Null => {}
            scalar => {
                self.0.insert(path, json_text(scalar));
            }
        }
    }

    /// Returns the text at the path, or an empty text if there is none.
    pub(crate) fn text(&self, path: &str) -> &str {
        self.0.get(path).map_or("", String::as_str)
    }

    /// Returns a required value.
    pub(crate) fn required<T: FromStr>(&self, path: &str) -> Result<T, SettingsError> {
        let Some(text) = self.0.get(path) else {
            return Err(SettingsError::Missing { path: path.to_string() });
        };
        parse(path, text)
    }

    /// Returns the value, or `absent` if there is none.
    pub(crate) fn value_or<T: FromStr>(&self, path: &str, absent: T) -> Result<T, SettingsError> {
        self.0.get(path).map_or(Ok(absent), |text| parse(path, text))
    }

    /// Returns the values of a list, which is empty if absent.
    pub(crate) fn list<T: FromStr>(&self, path: &str) -> Result<Vec<T>, SettingsError> {
        let items = self.text(path).split(',').filter(|item| !item.is_empty());
        items.map(|item| parse(path, item)).collect()
    }

    /// Returns a duration, given in microseconds.
    pub(crate) fn duration(&self, path: &str) -> Result<Duration, SettingsError> {
        self.required(path).map(Duration::from_micros)
    }

    /// Returns a duration, given in microseconds; zero if absent.
    pub(crate) fn duration_or_zero(&self, path: &str) -> Result<Duration, SettingsError> {
        self.value_or(path, 0).map(Duration::from_micros)
    }

    /// Returns a finite number of at least zero.
    pub(crate) fn amount(&self, path: &str) -> Result<f64, SettingsError> {
        check_amount(path, self.required(path)?)
    }

    /// Returns a finite number of at least zero; zero if absent.
    pub(crate) fn amount_or_zero(&self, path: &str) -> Result<f64, SettingsError> {
        check_amount(path, self.value_or(path, 0.0)?)
    }

    /// Returns a list of finite numbers of at least zero.
    pub(crate) fn amounts(&self, path: &str) -> Result<Vec<f64>, SettingsError> {
        self.list(path)?.into_iter().map(|number| check_amount(path, number)).collect()
    }

    /// Returns an integer of at least one.
    pub(crate) fn count<T>(&self, path: &str) -> Result<T, SettingsError>
    where
        T: FromStr + PartialOrd + From<u8> + Display,
    {
        let number: T = self.required(path)?;
        if number >= T::from(1) {
            return Ok(number);
        }
        Err(SettingsError::Zero { path: path.to_string(), value: number.to_string() })
    }

    /// Returns the names in a list of objects.
    pub(crate) fn object_names(&self, list: &str) -> Result<Vec<String>, SettingsError> {
        let count: u32 = self.value_or(&format!("{list}.count"), 0)?;
        let mut names = Vec::new();
        for index in 0..count {
            names.push(self.required(&format!("{list}.{index}.name"))?);
        }
        check_distinct(list, names)
    }

    /// Returns the names in a list of plain names.
    pub(crate) fn plain_names(&self, list: &str) -> Result<Vec<String>, SettingsError> {
        check_distinct(list, self.list(list)?)
    }
}

fn json_text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), normalize_name)
}

fn parse<T: FromStr>(path: &str, text: &str) -> Result<T, SettingsError> {
    let unreadable = |_| SettingsError::Unreadable { path: path.to_string(), text: text.to_string() };
    text.parse().map_err(unreadable)
}

fn check_amount(path: &str, number: f64) -> Result<f64, SettingsError> {
    if number.is_finite() && number >= 0.0 {
        return Ok(number);
    }
    Err(SettingsError::NegativeOrNotFinite { path: path.to_string(), value: number.to_string() })
}

/// Checks that the names are distinct. Guards against two names that become equal when they are normalized.
fn check_distinct(list: &str, names: Vec<String>) -> Result<Vec<String>, SettingsError> {
    let mut seen = BTreeSet::new();
    for name in &names {
        if !seen.insert(name) {
            return Err(SettingsError::DuplicateName { list: list.to_string(), name: name.clone() });
        }
    }
    Ok(names)
}
