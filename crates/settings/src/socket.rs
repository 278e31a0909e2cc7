//! The settings that a host on sockets needs in addition to those of the delivery policy.

use crate::error::SettingsError;
use crate::flat::FlatSettings;
use std::time::Duration;

/// Prefix by which the settings describe a reported value that is a rate limit, in calls per second.
const RATE_LIMIT_DESCRIPTION: &str = "calls_a_second_that_the_limit_allows";

/// The settings that a host on sockets needs in addition to those of the delivery policy.
#[derive(Clone, Debug)]
pub struct SocketSettings {
    /// Names of the message classes, indexed by the numbers that the policy uses.
    pub classes: Vec<String>,
    /// Names of the tenants, indexed in the same way.
    pub tenants: Vec<String>,
    /// Names of the zones, indexed in the same way.
    pub zones: Vec<String>,
    /// Names of the kinds of destinations, indexed in the same way.
    pub destination_kinds: Vec<String>,
    /// Time after which the other side closes an idle connection, at the latest.
    pub idle_timeout: Duration,
    /// Time within which a connection must be established.
    pub connect_timeout: Duration,
    /// Shortest interval between two steps of the policy.
    pub min_step_interval: Duration,
    /// Name of the value that reports a rate limit in answers; `None` if no value does.
    pub rate_limit_field: Option<String>,
}

/// Position of the rate limit in the reports of answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RateLimitField {
    /// The index of the value in a report.
    pub index: usize,
    /// The name of the value.
    pub name: String,
}

/// Reads the settings that a host on sockets needs.
///
/// # Errors
/// If a setting is missing or can't be read, if two names in a list are equal, or if the zone is not listed.
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

/// Returns the position of the rate limit in the reports of answers, or `None` if answers don't report it.
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
        if description.starts_with(RATE_LIMIT_DESCRIPTION) {
            return Ok(Some(RateLimitField { index, name }));
        }
    }
    Ok(None)
}
