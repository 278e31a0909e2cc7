//! What a host on sockets reads.

use crate::flat::{FlatSettings, differ};
use std::time::Duration;

/// What a host on sockets reads beside the facts.
#[derive(Clone, Debug)]
pub struct SocketSettings {
    pub classes: Vec<String>,
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
    pub destination_kinds: Vec<String>,
    /// Idle connections are closed by the other side after this span at the latest.
    pub idle_timeout: Duration,
    /// A connection that is not up by then has failed.
    pub connect_timeout: Duration,
    /// The shortest gap between two rounds.
    pub min_step_interval: Duration,
    /// The name under which answers tell a limit.
    pub rate_limit_field: Option<String>,
}

pub fn socket_settings(pairs: &FlatSettings) -> Result<SocketSettings, String> {
    let zones = differ("localities", pairs.list("localities")?)?;
    let zone: usize = pairs.or("zone", 0)?;
    if !zones.is_empty() && zone >= zones.len() {
        return Err(format!("setting zone={zone} is none of the {} localities", zones.len()));
    }
    Ok(SocketSettings {
        classes: pairs.names("classes")?,
        tenants: pairs.names("tenants")?,
        zones,
        destination_kinds: differ("kinds", pairs.list("kinds")?)?,
        idle_timeout: pairs.span("limits.connIdle")?,
        connect_timeout: pairs.span("limits.dialTimeout")?,
        min_step_interval: pairs.span_or_none("quantum")?,
        rate_limit_field: rate_limit_field(pairs)?.map(|(_, name)| name),
    })
}

/// Which value of a report tells the limit in calls a second, and its name; none where answers hold no reports.
pub fn rate_limit_field(pairs: &FlatSettings) -> Result<Option<(usize, String)>, String> {
    if pairs.or("loadInfo.source", "none".to_string())? != "answers" {
        return Ok(None);
    }
    let says = |i: usize| pairs.0.get(&format!("familyInfo.reportX{i}")).map_or("", String::as_str);
    let names = pairs.list::<String>("loadInfo.fields")?.into_iter().enumerate();
    let mut told = names.filter(|(i, _)| says(*i).starts_with("calls_a_second_that_the_limit_allows"));
    Ok(told.next())
}
