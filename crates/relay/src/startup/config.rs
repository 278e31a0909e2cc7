//! Configuration of a relay: a JSON file, and environment variables that take precedence over it.

use super::retry::{RetryDeadlines, Retryable};
use crate::clock::monotonic_now;
use mountshift::interface::PolicySettings;
use mountshift_handover::Reload;
use mountshift_settings::{FlatSettings, SocketSettings};
use serde_json::Value;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Variable with the path of the configuration file.
const CONFIG_VARIABLE: &str = "NODE_CONFIG";
/// Variable with the path of the state folder.
const STATE_VARIABLE: &str = "NODE_STATE";
/// Variable with the descriptor of the inherited listening socket.
const LISTENER_VARIABLE: &str = "NODE_ACCEPT_FD";
/// Variable with the address of discovery; ignored by a reload.
const DISCOVERY_VARIABLE: &str = "NODE_DISCOVERY";
/// Variable with the admin address.
const ADMIN_VARIABLE: &str = "NODE_MGMT";

/// Unit of the memory and disk limits in the file.
const BYTES_PER_MB: f64 = 1e6;
/// Disk limit if none is configured; small enough that sums of sizes do not overflow.
const DEFAULT_DISK_BYTES: u64 = u64::MAX / 4;
/// Descriptor limit if none is configured: the usual limit of a process.
const DEFAULT_DESCRIPTORS: usize = 1024;
/// Memory limit if none is configured: the limit of a relay on the smallest site.
const DEFAULT_MEMORY_BYTES: usize = 192_000_000;
/// Highest descriptor of the standard streams, which can't be listening sockets.
const LAST_STANDARD_STREAM: i32 = 2;

/// Error in the configuration.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ConfigError {
    /// A variable without a counterpart in the file is missing.
    #[error("{variable} is not set")]
    MissingVariable { variable: &'static str },
    /// The file can't be read.
    #[error("{path}: can't be read: {source}")]
    Read { path: String, source: io::Error },
    /// The file is not valid JSON.
    #[error("{path}: invalid JSON: {source}")]
    Json { path: String, source: serde_json::Error },
    /// Neither the variable nor the text field of the file is set.
    #[error("{variable} is not set and {path} has no text field {field}")]
    MissingText { variable: &'static str, path: String, field: &'static str },
    /// An address can't be parsed.
    #[error("{field}: {text} is no address: an IP address with a port is required")]
    BadAddress { field: &'static str, text: String },
    /// The file has no seed.
    #[error("{path}: seed is missing")]
    MissingSeed { path: String },
    /// The seed is not a hexadecimal number.
    #[error("{path}: seed {seed} is not a hexadecimal number of up to 64 bits")]
    BadSeed { path: String, seed: String },
    /// A limit is not a positive number.
    #[error("limits.{field}: {value} is not a positive number")]
    BadLimit { field: &'static str, value: Value },
    /// The descriptor of the inherited listening socket is invalid.
    #[error("NODE_ACCEPT_FD: {text} is no descriptor of a listening socket: a number above 2 is required")]
    BadDescriptor { text: String },
    /// The settings object is invalid.
    #[error("{path}: {reason}")]
    Settings { path: String, reason: String },
}

impl Retryable for ConfigError {
    fn is_retryable(&self) -> bool {
        matches!(self, ConfigError::Read { source, .. } if source.is_retryable())
    }
}

impl ConfigError {
    /// Returns whether a reload may succeed a moment later: the file can't be read, or is incomplete because it is
    /// being written.
    pub(crate) fn is_retryable_at_reload(&self) -> bool {
        matches!(self, ConfigError::Read { .. } | ConfigError::Json { .. })
    }
}

/// Configuration of a relay, fixed at startup.
#[derive(Debug)]
pub(crate) struct StartConfig {
    /// Name of the relay in log lines.
    pub(crate) name: String,
    /// Listening address for clients.
    pub(crate) listen: SocketAddr,
    /// Admin address, where operators' calls are received; older configurations have none.
    pub(crate) admin_listen: Option<SocketAddr>,
    /// Descriptor of the listening socket for clients, if it is inherited from the platform.
    pub(crate) inherited_listener: Option<i32>,
    /// Address of discovery, which serves endpoint lists and receives notifications.
    pub(crate) discovery: SocketAddr,
    /// Address of discovery in the file, which a variable may override at startup.
    pub(crate) file_discovery: Option<SocketAddr>,
    /// Monotonic clock right before the configuration was read for the first time.
    pub(crate) read_at: Duration,
    /// Path of the state folder.
    pub(crate) state_dir: PathBuf,
    /// Maximum size of the state folder in bytes.
    pub(crate) disk_bytes: u64,
    /// Maximum number of open descriptors of the process.
    pub(crate) max_descriptors: usize,
    /// Maximum memory of the process in bytes.
    pub(crate) memory_bytes: usize,
    /// Initial endpoint list, as in the file.
    pub(crate) initial_list: Value,
    /// Settings of the policy.
    pub(crate) policy_settings: PolicySettings,
    /// Settings of the socket I/O: names, timeouts and the reported rate limit.
    pub(crate) socket_settings: SocketSettings,
}

impl StartConfig {
    /// Reads the configuration named by the environment; retries temporary errors.
    pub(crate) async fn from_environment(
        retry_deadlines: &RetryDeadlines,
    ) -> Result<StartConfig, ConfigError> {
        let read_at = monotonic_now();
        let read = || StartConfig::read(|name| std::env::var(name).ok());
        let config = retry_deadlines.retry_required(read).await?;
        Ok(StartConfig { read_at, ..config })
    }

    /// Reads the file named by `NODE_CONFIG`; `variable` looks up an environment variable.
    fn read(variable: impl Fn(&str) -> Option<String>) -> Result<StartConfig, ConfigError> {
        let read_at = monotonic_now();
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
            file_discovery: source.json["discovery"].as_str().and_then(|text| text.parse().ok()),
            read_at,
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

    /// Returns a share of the disk limit in bytes.
    pub(crate) fn disk_share(&self, share: f64) -> u64 {
        (self.disk_bytes as f64 * share) as u64
    }
}

/// Reads the address of discovery from the configuration file, ignoring its environment variable. The whole file must be
/// valid.
pub(crate) fn reload_discovery() -> Result<Reload, ConfigError> {
    let variable = |name: &str| std::env::var(name).ok().filter(|_| name != DISCOVERY_VARIABLE);
    StartConfig::read(variable).map(|config| Reload::new(config.discovery, config.read_at))
}

/// The parsed file, and the variables that take precedence over it.
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

    /// Returns the admin address, if configured. A field that is not text is an error: if it were ignored, the relay
    /// would start without an address that operators rely on.
    fn admin_address(&self) -> Result<Option<SocketAddr>, ConfigError> {
        let field = "mgmt";
        if (self.variable)(ADMIN_VARIABLE).is_none() && self.json[field].is_null() {
            return Ok(None);
        }
        self.address(ADMIN_VARIABLE, field).map(Some)
    }

    /// Returns the inherited descriptor, if configured. An invalid value is an error: if it were ignored, the relay
    /// would bind an address that the platform does not route to.
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

    /// Returns a limit of the file, if set; it must be a positive number.
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
