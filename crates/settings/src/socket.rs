//! The settings that a host on sockets reads beside those of the decisions.

use crate::error::SettingsError;
use crate::flat::FlatSettings;
use std::time::Duration;

/// What the settings say of a report that holds the limit in calls a second.
const RATE_LIMIT_REPORT: &str = "calls_a_second_that_the_limit_allows";

/// What a host on sockets reads beside the settings of the decisions.
#[derive(Clone, Debug)]
pub struct SocketSettings {
    /// Names of the message classes, in the order in which the decisions number them.
    pub classes: Vec<String>,
    /// Names of the tenants, likewise.
    pub tenants: Vec<String>,
    /// Names of the zones, likewise.
    pub zones: Vec<String>,
    /// Names of the kinds of destinations, likewise.
    pub destination_kinds: Vec<String>,
    /// Idle connections are closed by the other side after this span at the latest.
    pub idle_timeout: Duration,
    /// A connection that is not up by then has failed.
    pub connect_timeout: Duration,
    /// The shortest span between two steps of the decisions.
    pub min_step_interval: Duration,
    /// The name under which answers report a rate limit; none where they don't.
    pub rate_limit_field: Option<String>,
}

/// Where answers report the rate limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RateLimitField {
    /// The index of the value in a report.
    pub index: usize,
    /// The name of the value.
    pub name: String,
}

/// Reads what a host on sockets needs.
///
/// # Errors
/// If a setting is missing or can't be read, if two names can't be told apart, or if the zone is not listed.
pub fn socket_settings(settings: &FlatSettings) -> Result<SocketSettings, SettingsError> {
    let zones = settings.plain_names("localities")?;
    let zone: usize = settings.value_or("zone", 0)?;
    if !zones.is_empty() && zone >= zones.len() {
        return Err(SettingsError::UnknownZone { zone, count: zones.len() });
    }
    Ok(SocketSettings {
        classes: settings.object_names("classes")?,
        tenants: settings.object_names("tenants")?,
        zones,
        destination_kinds: settings.plain_names("kinds")?,
        idle_timeout: settings.duration("limits.connIdle")?,
        connect_timeout: settings.duration("limits.dialTimeout")?,
        min_step_interval: settings.duration_or_zero("quantum")?,
        rate_limit_field: rate_limit_field(settings)?.map(|field| field.name),
    })
}

/// Which value of a report is the limit in calls a second; none where answers hold no reports.
///
/// # Errors
/// If a setting can't be read.
pub fn rate_limit_field(settings: &FlatSettings) -> Result<Option<RateLimitField>, SettingsError> {
    if settings.value_or("loadInfo.source", "none".to_string())? != "answers" {
        return Ok(None);
    }
    let names: Vec<String> = settings.list("loadInfo.fields")?;
    for (index, name) in names.into_iter().enumerate() {
        let description = settings.text(&format!("familyInfo.reportX{index}"));
        if description.starts_with(RATE_LIMIT_REPORT) {
            return Ok(Some(RateLimitField { index, name }));
        }
    }
    Ok(None)
}
