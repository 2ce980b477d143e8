//! `LB_CONFIG` and the environment, read into typed settings. The environment goes before the file.

use serde_json::Value;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;
use wheelpath::policy::Settings;
use wheelpath::settings_file::{self, NameIndex, SettingsFileError};
use wheelpath::stable_hash::stable_hash;

/// Names the configuration's file.
const CONFIG_VARIABLE: &str = "LB_CONFIG";
const NAME_VARIABLE: &str = "LB_NAME";
const LISTEN_VARIABLE: &str = "LB_LISTEN";
const DISCOVERY_VARIABLE: &str = "LB_DISCOVERY";
const ADMIN_VARIABLE: &str = "LB_CONSOLE";
/// Limits where the file has none.
const DEFAULT_SOCKETS: usize = 1024;
const DEFAULT_MEMORY_MB: usize = 192;
const BYTES_PER_MB: usize = 1024 * 1024;

/// All that a node is configured with.
pub struct Config {
    /// This node's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// Seed of the decisions.
    pub seed: u64,
    /// File descriptors that the process may hold.
    pub sockets: usize,
    /// Memory that it may take, in bytes.
    pub memory: usize,
    /// Where operators connect; none where the node takes no commands.
    pub admin_listen: Option<SocketAddr>,
    /// Where datagrams of other nodes arrive.
    pub peer_listen: Option<SocketAddr>,
    /// The nodes of the tier, by number.
    pub peers: Vec<SocketAddr>,
    /// Reaches every node of the tier.
    pub peer_broadcast: Option<SocketAddr>,
    /// The endpoint list as last known, in discovery's form.
    pub known: Value,
    /// What the decisions need.
    pub settings: Settings,
    /// Names of classes and zones.
    pub names: NameIndex,
}

/// Why no node can be started from this configuration.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// There is no configuration.
    #[error("{CONFIG_VARIABLE} is not set")]
    Unset,
    /// The file cannot be read.
    #[error("{CONFIG_VARIABLE}: {path}: {cause}")]
    Read {
        /// The file.
        path: String,
        /// Why.
        cause: io::Error,
    },
    /// The file is no JSON.
    #[error("{CONFIG_VARIABLE}: {path}: {cause}")]
    Json {
        /// The file.
        path: String,
        /// Why.
        cause: serde_json::Error,
    },
    /// A field that must be there is absent.
    #[error("{0}: missing")]
    Missing(&'static str),
    /// A field holds something else than it should.
    #[error("{field}: not {expected}: {value}")]
    Invalid {
        /// The field.
        field: String,
        /// What it should hold.
        expected: &'static str,
        /// What it holds.
        value: Value,
    },
    /// A field that should hold an address holds something else.
    #[error("{field}: {text:?} is not an address and port")]
    Address {
        /// The field.
        field: String,
        /// What it holds.
        text: String,
    },
    /// The settings are wrong.
    #[error("settings: {0}")]
    Settings(#[from] SettingsFileError),
}

fn invalid(field: impl Into<String>, expected: &'static str, value: &Value) -> ConfigError {
    ConfigError::Invalid { field: field.into(), expected, value: value.clone() }
}

/// The file, with the environment before it.
struct Source<'a> {
    json: &'a Value,
    /// The value of an environment variable, if it counts.
    variable: &'a dyn Fn(&str) -> Option<String>,
}

impl Source<'_> {
    /// A text, from the environment if a variable goes before the file there.
    fn text(&self, field: &str, variable: Option<&str>) -> Result<Option<String>, ConfigError> {
        if let Some(value) = variable.and_then(self.variable) {
            return Ok(Some(value));
        }
        match self.json.get(field) {
            None | Some(Value::Null) => Ok(None),
            Some(Value::String(text)) => Ok(Some(text.clone())),
            Some(value) => Err(invalid(field, "a string", value)),
        }
    }

    fn address(&self, field: &str, variable: Option<&str>) -> Result<Option<SocketAddr>, ConfigError> {
        self.text(field, variable)?.map(|text| parse_address(field, &text)).transpose()
    }

    /// A limit, or its default where the file has none.
    fn limit(&self, name: &str, default: usize) -> Result<usize, ConfigError> {
        match self.json.pointer(&format!("/limits/{name}")) {
            None | Some(Value::Null) => Ok(default),
            Some(value) => {
                let limit = value.as_u64().and_then(|limit| usize::try_from(limit).ok());
                limit.ok_or_else(|| invalid(format!("limits.{name}"), "a whole number", value))
            }
        }
    }

    /// A number, or a text in hexadecimal, or any other text by its hash.
    fn seed(&self) -> Result<u64, ConfigError> {
        match self.json.get("seed") {
            Some(value @ Value::Number(number)) => {
                number.as_u64().ok_or_else(|| invalid("seed", "a whole number", value))
            }
            Some(Value::String(text)) => {
                Ok(u64::from_str_radix(text, 16).unwrap_or_else(|_| stable_hash(text)))
            }
            None => Err(ConfigError::Missing("seed")),
            Some(value) => Err(invalid("seed", "a string", value)),
        }
    }

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

fn parse_peer(field: &str, value: &Value) -> Result<SocketAddr, ConfigError> {
    match value.as_str() {
        Some(text) => parse_address(field, text),
        None => Err(invalid(field, "a string", value)),
    }
}

fn parse_address(field: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| ConfigError::Address { field: field.to_owned(), text: text.to_owned() })
}

impl Config {
    /// Reads the file that `LB_CONFIG` names; the environment goes before it.
    ///
    /// # Errors
    /// No node can be started from it.
    pub fn load() -> Result<Config, ConfigError> {
        Config::read_file(&|variable| std::env::var(variable).ok())
    }

    /// Reads the file again. The environment is as it was at the start: what the file says of discovery is
    /// newer.
    ///
    /// # Errors
    /// No node can be started from it.
    pub fn reload() -> Result<Config, ConfigError> {
        Config::read_file(&|variable| {
            std::env::var(variable).ok().filter(|_| variable != DISCOVERY_VARIABLE)
        })
    }

    fn read_file(variable: &dyn Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let path = std::env::var(CONFIG_VARIABLE).map_err(|_| ConfigError::Unset)?;
        let content = match std::fs::read_to_string(&path) {
            Ok(content) => content,
            Err(cause) => return Err(ConfigError::Read { path, cause }),
        };
        match serde_json::from_str(&content) {
            Ok(json) => Config::read(&Source { json: &json, variable }),
            Err(cause) => Err(ConfigError::Json { path, cause }),
        }
    }

    fn read(source: &Source<'_>) -> Result<Config, ConfigError> {
        let listen = source.address("listen", Some(LISTEN_VARIABLE))?;
        let discovery = source.address("discovery", Some(DISCOVERY_VARIABLE))?;
        let settings = source.json.get("settings").ok_or(ConfigError::Missing("settings"))?;
        let (settings, names) = settings_file::read_value(settings)?;
        Ok(Config {
            name: source.text("name", Some(NAME_VARIABLE))?.unwrap_or_default(),
            listen: listen.ok_or(ConfigError::Missing("listen"))?,
            discovery: discovery.ok_or(ConfigError::Missing("discovery"))?,
            seed: source.seed()?,
            sockets: source.limit("sockets", DEFAULT_SOCKETS)?,
            memory: source.limit("memory_mb", DEFAULT_MEMORY_MB)?.saturating_mul(BYTES_PER_MB),
            admin_listen: source.address("console", Some(ADMIN_VARIABLE))?,
            peer_listen: source.address("peer_listen", None)?,
            peers: source.peers()?,
            peer_broadcast: source.address("peers_all", None)?,
            known: source.json.get("known").cloned().unwrap_or(Value::Null),
            settings,
            names,
        })
    }
}
