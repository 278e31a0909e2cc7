//! The configuration of a relay: a JSON file, and environment variables that take precedence over it.

use super::patience::{MayPass, Patience};
use mountshift::interface::PolicySettings;
use mountshift_settings::{FlatSettings, SocketSettings};
use serde_json::Value;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The variable that names the configuration file.
const CONFIG_VARIABLE: &str = "NODE_CONFIG";
/// The variable that names the state folder.
const STATE_VARIABLE: &str = "NODE_STATE";
/// The variable that names the inherited listening socket.
const LISTENER_VARIABLE: &str = "NODE_ACCEPT_FD";
/// The variable that names discovery's address; a reload does not read it.
const DISCOVERY_VARIABLE: &str = "NODE_DISCOVERY";
/// The variable that names the operators' address.
const ADMIN_VARIABLE: &str = "NODE_MGMT";

/// The limits in the file count in these.
const BYTES_PER_MB: f64 = 1e6;
/// Without a limit on disk: so much that no sum of sizes overflows.
const DEFAULT_DISK_BYTES: u64 = u64::MAX / 4;
/// Without a limit on descriptors: what a process usually has.
const DEFAULT_DESCRIPTORS: usize = 1024;
/// Without a limit on memory: what the smallest site gives a relay.
const DEFAULT_MEMORY_BYTES: usize = 192_000_000;
/// Descriptors up to this one are the standard streams and can't be a listening socket.
const LAST_STANDARD_STREAM: i32 = 2;

/// Why the configuration can't be used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ConfigError {
    /// A variable that has no counterpart in the file.
    #[error("{variable} is not set")]
    MissingVariable { variable: &'static str },
    /// The file can't be read.
    #[error("{path}: {source}")]
    Read { path: String, source: io::Error },
    /// The file is no JSON.
    #[error("{path}: {source}")]
    Json { path: String, source: serde_json::Error },
    /// Neither the variable nor the file has it.
    #[error("{variable} is not set and {path} has no text {field}")]
    MissingText { variable: &'static str, path: String, field: &'static str },
    /// An address that is none.
    #[error("{field}: {text} is no address with a port")]
    BadAddress { field: &'static str, text: String },
    /// The file has no seed.
    #[error("{path}: seed is missing")]
    MissingSeed { path: String },
    /// The seed is no hexadecimal number.
    #[error("{path}: seed {seed} is not hexadecimal")]
    BadSeed { path: String, seed: String },
    /// A limit that is no positive number.
    #[error("limits.{field}: {value} is no amount")]
    BadLimit { field: &'static str, value: Value },
    /// The inherited listening socket is no descriptor.
    #[error("NODE_ACCEPT_FD: {text} is no descriptor")]
    BadDescriptor { text: String },
    /// The settings object can't be used.
    #[error("{path}: {reason}")]
    Settings { path: String, reason: String },
}

impl MayPass for ConfigError {
    fn may_pass(&self) -> bool {
        matches!(self, ConfigError::Read { source, .. } if source.may_pass())
    }
}

impl ConfigError {
    /// True if the file may be whole a moment later: it can't be read, or it is being written.
    pub(crate) fn may_pass_at_reload(&self) -> bool {
        matches!(self, ConfigError::Read { .. } | ConfigError::Json { .. })
    }
}

/// What a relay is configured with, fixed at startup.
#[derive(Debug)]
pub(crate) struct StartConfig {
    /// The relay's name in log lines.
    pub(crate) name: String,
    /// The clients' address.
    pub(crate) listen: SocketAddr,
    /// The operators' address; older configurations have none.
    pub(crate) admin_listen: Option<SocketAddr>,
    /// The clients' listening socket where the platform holds it and the relay inherits it; else the relay binds it.
    pub(crate) inherited_listener: Option<i32>,
    /// Where endpoint lists are asked for and notifications go.
    pub(crate) discovery: SocketAddr,
    /// The state folder.
    pub(crate) state_dir: PathBuf,
    /// Bytes that the state folder may hold.
    pub(crate) disk_bytes: u64,
    /// Descriptors that the process may hold.
    pub(crate) max_descriptors: usize,
    /// Bytes of memory that the process may take.
    pub(crate) memory_bytes: usize,
    /// The endpoint list to begin with, as the file has it.
    pub(crate) initial_list: Value,
    /// The settings of the decisions.
    pub(crate) policy_settings: PolicySettings,
    /// The settings of the sockets.
    pub(crate) socket_settings: SocketSettings,
}

impl StartConfig {
    /// Reads the configuration that the environment names.
    pub(crate) async fn from_environment(patience: &Patience) -> Result<StartConfig, ConfigError> {
        patience.retry_essential(|| StartConfig::read(|name| std::env::var(name).ok())).await
    }

    /// Reads the file named by `NODE_CONFIG`; `variable` looks up the environment.
    fn read(variable: impl Fn(&str) -> Option<String>) -> Result<StartConfig, ConfigError> {
        let source = ConfigSource::open(variable)?;
        let state_dir = source.required_variable(STATE_VARIABLE)?;
        let seed = source.seed()?;
        let settings = FlatSettings::from_json(&source.json["settings"]);
        let relay = mountshift_settings::relay_id(&settings).map_err(|e| source.settings_error(e))?;
        Ok(StartConfig {
            name: source.text("NODE_NAME", "name")?,
            listen: source.address("NODE_LISTEN", "listen")?,
            admin_listen: source.admin_address()?,
            inherited_listener: source.inherited_listener()?,
            discovery: source.address(DISCOVERY_VARIABLE, "discovery")?,
            state_dir: PathBuf::from(state_dir),
            disk_bytes: source
                .limit("disk_mb")?
                .map_or(DEFAULT_DISK_BYTES, |megabytes| (megabytes * BYTES_PER_MB) as u64),
            max_descriptors: source.limit("sockets")?.map_or(DEFAULT_DESCRIPTORS, |count| count as usize),
            memory_bytes: source
                .limit("memory_mb")?
                .map_or(DEFAULT_MEMORY_BYTES, |megabytes| (megabytes * BYTES_PER_MB) as usize),
            initial_list: source.json["known"].clone(),
            policy_settings: mountshift_settings::policy_settings(&settings, relay, seed)
                .map_err(|e| source.settings_error(e))?,
            socket_settings: mountshift_settings::socket_settings(&settings)
                .map_err(|e| source.settings_error(e))?,
        })
    }

    /// A share of the bytes that the state folder may hold.
    pub(crate) fn disk_share(&self, share: f64) -> u64 {
        (self.disk_bytes as f64 * share) as u64
    }
}

/// Where discovery is from now on, by the file alone; all of the file must be usable.
pub(crate) fn reload_discovery() -> Result<SocketAddr, ConfigError> {
    let variable = |name: &str| std::env::var(name).ok().filter(|_| name != DISCOVERY_VARIABLE);
    StartConfig::read(variable).map(|config| config.discovery)
}

/// The file, and the variables that take precedence over it.
struct ConfigSource<V> {
    path: String,
    json: Value,
    variable: V,
}

impl<V: Fn(&str) -> Option<String>> ConfigSource<V> {
    fn open(variable: V) -> Result<ConfigSource<V>, ConfigError> {
        let path =
            variable(CONFIG_VARIABLE).ok_or(ConfigError::MissingVariable { variable: CONFIG_VARIABLE })?;
        let bytes =
            std::fs::read(&path).map_err(|source| ConfigError::Read { path: path.clone(), source })?;
        let json = serde_json::from_slice(&bytes)
            .map_err(|source| ConfigError::Json { path: path.clone(), source })?;
        Ok(ConfigSource { path, json, variable })
    }

    fn required_variable(&self, variable: &'static str) -> Result<String, ConfigError> {
        (self.variable)(variable).ok_or(ConfigError::MissingVariable { variable })
    }

    fn text(&self, variable: &'static str, field: &'static str) -> Result<String, ConfigError> {
        let text = (self.variable)(variable).or_else(|| self.json[field].as_str().map(str::to_string));
        text.ok_or_else(|| ConfigError::MissingText { variable, path: self.path.clone(), field })
    }

    fn address(&self, variable: &'static str, field: &'static str) -> Result<SocketAddr, ConfigError> {
        let text = self.text(variable, field)?;
        text.parse().map_err(|_| ConfigError::BadAddress { field, text })
    }

    /// A field that is there but holds no text is an error: taken for none, the relay would start without the
    /// address that its operators rely on.
    fn admin_address(&self) -> Result<Option<SocketAddr>, ConfigError> {
        let field = "mgmt";
        if (self.variable)(ADMIN_VARIABLE).is_none() && self.json[field].is_null() {
            return Ok(None);
        }
        self.address(ADMIN_VARIABLE, field).map(Some)
    }

    /// A value that can't be a descriptor is an error: taken for none, the relay would bind an address that the
    /// platform does not route to.
    fn inherited_listener(&self) -> Result<Option<i32>, ConfigError> {
        let Some(text) = (self.variable)(LISTENER_VARIABLE) else { return Ok(None) };
        match text.trim().parse::<i32>() {
            Ok(descriptor) if descriptor > LAST_STANDARD_STREAM => Ok(Some(descriptor)),
            _ => Err(ConfigError::BadDescriptor { text }),
        }
    }

    fn seed(&self) -> Result<u64, ConfigError> {
        let Some(seed) = self.json["seed"].as_str() else {
            return Err(ConfigError::MissingSeed { path: self.path.clone() });
        };
        u64::from_str_radix(seed, 16)
            .map_err(|_| ConfigError::BadSeed { path: self.path.clone(), seed: seed.to_string() })
    }

    /// A positive number, where the file has the limit.
    fn limit(&self, field: &'static str) -> Result<Option<f64>, ConfigError> {
        let value = &self.json["limits"][field];
        if value.is_null() {
            return Ok(None);
        }
        match value.as_f64() {
            Some(amount) if amount > 0.0 => Ok(Some(amount)),
            _ => Err(ConfigError::BadLimit { field, value: value.clone() }),
        }
    }

    fn settings_error(&self, reason: impl ToString) -> ConfigError {
        ConfigError::Settings { path: self.path.clone(), reason: reason.to_string() }
    }
}
