//! What a relay is told at its start: the JSON file, and the variables that take precedence.

use mountshift::interface::*;
use mountshift_settings::{FlatSettings, SocketSettings};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Bytes of memory where the file tells no limit.
const MEMORY: usize = 192_000_000;

#[derive(Debug)]
pub struct StartConfig {
    pub name: String,
    pub listen: SocketAddr,
    /// The second address, for operators' calls; none on older days.
    pub mgmt: Option<SocketAddr>,
    /// The clients' listening socket, held by the platform and inherited; none where the relay binds it.
    pub listener_fd: Option<i32>,
    pub discovery: SocketAddr,
    pub state: PathBuf,
    /// Bytes that the folder may hold.
    pub disk: u64,
    /// Descriptors that the process may hold, and bytes of memory.
    pub descriptors: usize,
    pub memory: usize,
    pub known: Value,
    pub policy_settings: PolicySettings,
    pub socket_settings: SocketSettings,
}

/// Reads the file named by `NODE_CONFIG`; `variable` looks up the environment.
pub fn read(variable: impl Fn(&str) -> Option<String>) -> Result<StartConfig, String> {
    let path = variable("NODE_CONFIG").ok_or("NODE_CONFIG is not set")?;
    let text = std::fs::read(&path).map_err(|e| format!("{path}: {e}"))?;
    let json: Value = serde_json::from_slice(&text).map_err(|e| format!("{path}: {e}"))?;
    let text = |name: &str, field: &str| {
        let told = variable(name).or_else(|| json[field].as_str().map(str::to_string));
        told.ok_or_else(|| format!("{name} is not set and {path} has no text {field}"))
    };
    let address = |name: &str, field: &str| {
        let told = text(name, field)?;
        told.parse::<SocketAddr>().map_err(|_| format!("{field}: {told} is no address with a port"))
    };
    let state = variable("NODE_STATE").ok_or("NODE_STATE is not set")?;
    let seed = json["seed"].as_str().ok_or_else(|| format!("{path}: seed is missing"))?;
    let seed =
        u64::from_str_radix(seed, 16).map_err(|_| format!("{path}: seed {seed} is not hexadecimal"))?;
    let limit = |field: &str| match &json["limits"][field] {
        Value::Null => Ok(None),
        told => {
            told.as_f64().filter(|n| *n > 0.0).map(Some).ok_or(format!("limits.{field}: {told} is no amount"))
        }
    };
    let pairs = FlatSettings::from_json(&json["settings"]);
    let settings = |e| format!("{path}: {e}");
    let me = mountshift_settings::relay_id(&pairs).map_err(settings)?;
    Ok(StartConfig {
        name: text("NODE_NAME", "name")?,
        listen: address("NODE_LISTEN", "listen")?,
        // Guards against a second address that is there but no text being taken for none at all.
        mgmt: (variable("NODE_MGMT").is_some() || !json["mgmt"].is_null())
            .then(|| address("NODE_MGMT", "mgmt"))
            .transpose()?,
        listener_fd: match variable("NODE_ACCEPT_FD") {
            None => None,
            // Guards against a silent default: a descriptor that can't be one is refused at the start.
            Some(fd) => Some(
                fd.trim()
                    .parse()
                    .ok()
                    .filter(|fd| *fd > 2)
                    .ok_or(format!("NODE_ACCEPT_FD: {fd} is no descriptor"))?,
            ),
        },
        discovery: address("NODE_DISCOVERY", "discovery")?,
        state: PathBuf::from(state),
        disk: limit("disk_mb")?.map_or(u64::MAX / 4, |mb| (mb * 1e6) as u64),
        descriptors: limit("sockets")?.map_or(1024, |n| n as usize),
        memory: limit("memory_mb")?.map_or(MEMORY, |mb| (mb * 1e6) as usize),
        known: json["known"].clone(),
        policy_settings: mountshift_settings::policy_settings(&pairs, me, seed).map_err(settings)?,
        socket_settings: mountshift_settings::socket_settings(&pairs).map_err(settings)?,
    })
}

/// Where discovery is from now on, by the file alone; all of it must be readable.
pub fn discovery() -> Result<SocketAddr, String> {
    read(|name| std::env::var(name).ok().filter(|_| name != "NODE_DISCOVERY")).map(|start| start.discovery)
}
