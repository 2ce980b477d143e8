//! Reads the node's configuration from a JSON file and the environment.
//!
//! `LB_CONFIG` names the file. `LB_NAME`, `LB_LISTEN`, `LB_DISCOVERY` and `LB_CONSOLE` each override one of
//! its keys. The platform defines these variables and the keys, so they cannot be renamed to match
//! [`Config`].

use serde_json::Value;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;
use wheelpath::policy::Settings;
use wheelpath::settings_file::{self, NameIndex, SettingsFileError};
use wheelpath::stable_hash::stable_hash;

/// The environment variable that holds the path of the configuration file.
const CONFIG_VARIABLE: &str = "LB_CONFIG";
/// The environment variable that overrides `name`.
const NAME_VARIABLE: &str = "LB_NAME";
/// The environment variable that overrides `listen`.
const LISTEN_VARIABLE: &str = "LB_LISTEN";
/// The environment variable that overrides `discovery`, except when the configuration is reloaded.
const DISCOVERY_VARIABLE: &str = "LB_DISCOVERY";
/// The environment variable that overrides `console`.
const ADMIN_VARIABLE: &str = "LB_CONSOLE";
/// The limit of file descriptors if `limits.sockets` is absent.
const DEFAULT_MAX_DESCRIPTORS: usize = 1024;
/// The memory limit if `limits.memory_mb` is absent, in MiB.
const DEFAULT_MEMORY_MIB: usize = 192;
const BYTES_PER_MIB: usize = 1024 * 1024;

/// The configuration of one node.
pub struct Config {
    /// The name that the node logs when it starts. Empty if none is configured.
    pub name: String,
    /// The address at which the node accepts clients' connections, unless it inherits a listening socket.
    pub listen: SocketAddr,
    /// The address of the discovery service.
    pub discovery: SocketAddr,
    /// The address of the discovery service in the file, whether or not the environment overrides it; `None` if
    /// the file has no valid one.
    pub discovery_in_file: Option<SocketAddr>,
    /// Seed of the balancer's random numbers.
    pub seed: u64,
    /// The maximum number of file descriptors for all processes of this node.
    pub max_descriptors: usize,
    /// The memory limit for all processes of this node, in bytes.
    pub memory_bytes: usize,
    /// The address at which the node accepts operators' commands. `None` if it accepts none.
    pub admin_listen: Option<SocketAddr>,
    /// The address at which the node receives datagrams from its peers. `None` if it exchanges none.
    pub peer_listen: Option<SocketAddr>,
    /// The addresses of all nodes of the tier, this one included, in the order of their node index. Empty if
    /// the file has none.
    pub peers: Vec<SocketAddr>,
    /// An address whose datagrams reach every node of the tier. If it is `None`, the node sends one datagram
    /// to each peer instead.
    pub peer_broadcast: Option<SocketAddr>,
    /// The endpoint list that the node uses until discovery responds, in the JSON form of a discovery
    /// response. Null if the file has none.
    pub cached_endpoint_list: Value,
    /// The settings of the balancer.
    pub settings: Settings,
    /// Resolves the names of classes and zones in requests and endpoint lists.
    pub names: NameIndex,
}

/// A configuration from which no node can start.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The environment does not name a configuration file.
    #[error("{CONFIG_VARIABLE} is not set")]
    Unset,
    /// The file cannot be read.
    #[error("{CONFIG_VARIABLE}: {path}: {cause}")]
    Read { path: String, cause: io::Error },
    /// The file is not valid JSON.
    #[error("{CONFIG_VARIABLE}: {path}: {cause}")]
    Json { path: String, cause: serde_json::Error },
    /// A required key is absent; holds the key.
    #[error("{0}: missing")]
    Missing(&'static str),
    /// The value of a key has the wrong type, or is out of range for a whole number.
    #[error("{key}: not {expected}: {value}")]
    Invalid {
        /// The key, with its dotted path or its index in an array.
        key: String,
        /// The expected type or types, with their articles.
        expected: &'static str,
        /// The value found.
        value: Value,
    },
    /// The value of a key, or of the environment variable that overrides the key, is a string but not an
    /// address.
    #[error("{key}: {text:?} is not an address and port")]
    Address {
        /// The key, with its index if it is in an array. An environment variable has the key that it
        /// overrides.
        key: String,
        /// The string found.
        text: String,
    },
    /// The balancer's settings cannot be read.
    #[error("settings: {0}")]
    Settings(#[from] SettingsFileError),
}

fn invalid(key: impl Into<String>, expected: &'static str, value: &Value) -> ConfigError {
    ConfigError::Invalid { key: key.into(), expected, value: value.clone() }
}

/// The parsed file and the environment, from which a configuration is read.
struct ConfigSource<'a> {
    json: &'a Value,
    /// Returns the value of the environment variable with this name. Returns `None` if the variable is not
    /// set or must be ignored.
    environment: &'a dyn Fn(&str) -> Option<String>,
}

impl ConfigSource<'_> {
    /// Reads an optional string from the environment variable, or from the file if `variable` is `None` or
    /// the environment variable is not set.
    fn string(&self, key: &str, variable: Option<&str>) -> Result<Option<String>, ConfigError> {
        if let Some(value) = variable.and_then(self.environment) {
            return Ok(Some(value));
        }
        match self.json.get(key) {
            None | Some(Value::Null) => Ok(None),
            Some(Value::String(text)) => Ok(Some(text.clone())),
            Some(value) => Err(invalid(key, "a string", value)),
        }
    }

    /// Reads an optional address from where [`ConfigSource::string`] finds its text.
    fn address(&self, key: &str, variable: Option<&str>) -> Result<Option<SocketAddr>, ConfigError> {
        self.string(key, variable)?.map(|text| parse_address(key, &text)).transpose()
    }

    /// Reads a key of the object `limits`. Returns `default` if the key is absent.
    fn limit(&self, name: &str, default: usize) -> Result<usize, ConfigError> {
        match self.json.pointer(&format!("/limits/{name}")) {
            None | Some(Value::Null) => Ok(default),
            Some(value) => {
                let limit = value.as_u64().and_then(|limit| usize::try_from(limit).ok());
                limit.ok_or_else(|| invalid(format!("limits.{name}"), "a whole number", value))
            }
        }
    }

    /// Reads the seed: a whole number, a string that holds a hexadecimal number, or any other string, which
    /// is hashed.
    fn seed(&self) -> Result<u64, ConfigError> {
        match self.json.get("seed") {
            Some(value @ Value::Number(number)) => {
                number.as_u64().ok_or_else(|| invalid("seed", "a whole number", value))
            }
            Some(Value::String(text)) => {
                Ok(u64::from_str_radix(text, 16).unwrap_or_else(|_| stable_hash(text)))
            }
            None => Err(ConfigError::Missing("seed")),
            Some(value) => Err(invalid("seed", "a whole number or a string", value)),
        }
    }

    /// Reads the array of peer addresses. Returns an empty list if it is absent.
    fn peers(&self) -> Result<Vec<SocketAddr>, ConfigError> {
        match self.json.get("peers") {
            None | Some(Value::Null) => Ok(Vec::new()),
            Some(Value::Array(list)) => list
                .iter()
                .enumerate()
                .map(|(index, value)| parse_peer(&format!("peers[{index}]"), value))
                .collect(),
            Some(value) => Err(invalid("peers", "an array", value)),
        }
    }
}

fn parse_peer(key: &str, value: &Value) -> Result<SocketAddr, ConfigError> {
    match value.as_str() {
        Some(text) => parse_address(key, text),
        None => Err(invalid(key, "a string", value)),
    }
}

fn parse_address(key: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| ConfigError::Address { key: key.to_owned(), text: text.to_owned() })
}

impl Config {
    /// Reads the configuration file that `LB_CONFIG` names. The environment overrides the file.
    ///
    /// # Errors
    /// The file cannot be read, is not valid JSON, lacks a required key, or has an invalid value.
    pub fn load() -> Result<Config, ConfigError> {
        Config::read_file(&|variable| std::env::var(variable).ok())
    }

    /// Reads the configuration file again, but takes the address of discovery from the file alone.
    ///
    /// The environment of a process does not change while it runs, so the address in `LB_DISCOVERY` is older
    /// than the one in the file.
    ///
    /// # Errors
    /// The same as for [`Config::load`].
    pub fn reload() -> Result<Config, ConfigError> {
        Config::read_file(&|variable| {
            std::env::var(variable).ok().filter(|_| variable != DISCOVERY_VARIABLE)
        })
    }

    fn read_file(environment: &dyn Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let path = std::env::var(CONFIG_VARIABLE).map_err(|_| ConfigError::Unset)?;
        let content = match std::fs::read_to_string(&path) {
            Ok(content) => content,
            Err(cause) => return Err(ConfigError::Read { path, cause }),
        };
        match serde_json::from_str(&content) {
            Ok(json) => Config::read(&ConfigSource { json: &json, environment }),
            Err(cause) => Err(ConfigError::Json { path, cause }),
        }
    }

    fn read(source: &ConfigSource<'_>) -> Result<Config, ConfigError> {
        let listen = source.address("listen", Some(LISTEN_VARIABLE))?;
        let discovery = source.address("discovery", Some(DISCOVERY_VARIABLE))?;
        let settings = source.json.get("settings").ok_or(ConfigError::Missing("settings"))?;
        let (settings, names) = settings_file::read_value(settings)?;
        Ok(Config {
            name: source.string("name", Some(NAME_VARIABLE))?.unwrap_or_default(),
            listen: listen.ok_or(ConfigError::Missing("listen"))?,
            discovery: discovery.ok_or(ConfigError::Missing("discovery"))?,
            discovery_in_file: source.address("discovery", None).ok().flatten(),
            seed: source.seed()?,
            max_descriptors: source.limit("sockets", DEFAULT_MAX_DESCRIPTORS)?,
            memory_bytes: source.limit("memory_mb", DEFAULT_MEMORY_MIB)?.saturating_mul(BYTES_PER_MIB),
            admin_listen: source.address("console", Some(ADMIN_VARIABLE))?,
            peer_listen: source.address("peer_listen", None)?,
            peers: source.peers()?,
            peer_broadcast: source.address("peers_all", None)?,
            cached_endpoint_list: source.json.get("known").cloned().unwrap_or(Value::Null),
            settings,
            names,
        })
    }
}
