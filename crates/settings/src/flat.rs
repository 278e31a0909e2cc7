//! The settings as text by path.

use serde_json::Value;
use std::collections::BTreeMap;
use std::str::FromStr;
use std::time::Duration;

/// The settings as text by path; a list of plain values is one text, joined by commas.
pub struct FlatSettings(pub(crate) BTreeMap<String, String>);

/// A name as it stands in a list of names.
pub fn plain(name: &str) -> String {
    name.replace([' ', ','], "_")
}

impl FlatSettings {
    /// From a path=value pair a line.
    pub fn from_text(text: &str) -> FlatSettings {
        let pairs = text.lines().filter_map(|line| line.split_once('='));
        FlatSettings(pairs.map(|(path, text)| (path.to_string(), text.to_string())).collect())
    }

    pub fn from_json(value: &Value) -> FlatSettings {
        let mut pairs = FlatSettings(BTreeMap::new());
        pairs.flatten(String::new(), value);
        pairs
    }

    fn flatten(&mut self, path: String, value: &Value) {
        let under = |name: &str| if path.is_empty() { name.to_string() } else { format!("{path}.{name}") };
        match value {
            Value::Object(fields) => fields.iter().for_each(|(name, v)| self.flatten(under(name), v)),
            Value::Array(items) if items.iter().any(Value::is_object) => {
                self.0.insert(under("count"), items.len().to_string());
                items.iter().enumerate().for_each(|(i, v)| self.flatten(under(&i.to_string()), v));
            }
            Value::Array(items) => {
                let texts: Vec<String> = items.iter().map(FlatSettings::text).collect();
                self.0.insert(path, texts.join(","));
            }
            Value::Null => {}
            plain => {
                self.0.insert(path, FlatSettings::text(plain));
            }
        }
    }

    fn text(value: &Value) -> String {
        value.as_str().map_or_else(|| value.to_string(), plain)
    }

    fn read<T: FromStr>(path: &str, text: &str) -> Result<T, String> {
        text.parse().map_err(|_| format!("setting {path}={text} can't be read"))
    }

    pub(crate) fn need<T: FromStr>(&self, path: &str) -> Result<T, String> {
        let text = self.0.get(path).ok_or_else(|| format!("setting {path} is missing"))?;
        FlatSettings::read(path, text)
    }

    /// The value, or what the wire means by its absence.
    pub(crate) fn or<T: FromStr>(&self, path: &str, absent: T) -> Result<T, String> {
        self.0.get(path).map_or(Ok(absent), |text| FlatSettings::read(path, text))
    }

    pub(crate) fn list<T: FromStr>(&self, path: &str) -> Result<Vec<T>, String> {
        let text = self.0.get(path).map_or("", String::as_str);
        text.split(',').filter(|item| !item.is_empty()).map(|item| FlatSettings::read(path, item)).collect()
    }

    pub(crate) fn span(&self, path: &str) -> Result<Duration, String> {
        self.need(path).map(Duration::from_micros)
    }

    pub(crate) fn span_or_none(&self, path: &str) -> Result<Duration, String> {
        self.or(path, 0).map(Duration::from_micros)
    }

    /// A finite number of at least zero.
    pub(crate) fn number(&self, path: &str) -> Result<f64, String> {
        amount(path, self.need(path)?)
    }

    pub(crate) fn amounts(&self, path: &str) -> Result<Vec<f64>, String> {
        self.list(path)?.into_iter().map(|n| amount(path, n)).collect()
    }

    /// A whole number of at least one.
    pub(crate) fn count<T: FromStr + PartialOrd + From<u8> + std::fmt::Display>(
        &self,
        path: &str,
    ) -> Result<T, String> {
        let n: T = self.need(path)?;
        if n >= T::from(1) { Ok(n) } else { Err(format!("setting {path}={n} is none at all")) }
    }

    /// The names of a list of objects. Guards against two that would be taken for one another.
    pub(crate) fn names(&self, of: &str) -> Result<Vec<String>, String> {
        let count: u32 = self.or(&format!("{of}.count"), 0)?;
        let names: Result<Vec<String>, String> =
            (0..count).map(|i| self.need(&format!("{of}.{i}.name"))).collect();
        differ(of, names?)
    }
}

pub(crate) fn amount(path: &str, n: f64) -> Result<f64, String> {
    if n.is_finite() && n >= 0.0 { Ok(n) } else { Err(format!("setting {path}={n} is no amount")) }
}

pub(crate) fn differ(of: &str, names: Vec<String>) -> Result<Vec<String>, String> {
    let mut seen = std::collections::BTreeSet::new();
    match names.iter().find(|name| !seen.insert(*name)) {
        Some(twice) => Err(format!("setting {of}: two names are read as {twice}; they can't be told apart")),
        None => Ok(names),
    }
}
