//! Reads [`Settings`] from JSON, for the node and for the simulator adapter.
//!
//! The platform defines the keys of the JSON, so they cannot be renamed to match [`Settings`]; this module
//! maps one to the other. Unknown keys are ignored, and absent optional keys get defaults. Requests and
//! endpoints refer to classes and zones by name, which [`NameIndex`] resolves.

use crate::policy::{
    Costs, DeduplicationScope, DiscoveryMode, Idempotency, LoadReporting, ObjectiveWeights, RequestClass,
    Settings, WeightMeaning,
};
use serde_json::Value;
use thiserror::Error;

/// Settings that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SettingsFileError {
    /// The text is not valid JSON, or not an object; holds the reason.
    #[error("field config: {0}")]
    Malformed(String),
    /// A required key is absent; holds its dotted path.
    #[error("field config.{0}: missing")]
    Missing(String),
    /// The value of a key has the wrong type, or is out of range for a whole number.
    #[error("field config.{key}: not {expected}: {value}")]
    Invalid {
        /// Dotted path of the key. It starts at the root, or at the class if the key belongs to a class.
        key: String,
        /// The expected type, with its article.
        expected: &'static str,
        /// The value found.
        value: Value,
    },
}

/// Resolves the names of request classes and zones to the numbers that [`crate::policy`] uses.
#[derive(Debug, Clone)]
pub struct NameIndex {
    classes: Vec<String>,
    zones: Vec<String>,
}

impl NameIndex {
    /// Returns the index of a class in [`Settings::classes`].
    ///
    /// Returns `usize::MAX`, which is not a valid index, if the settings do not contain the name: the
    /// strictest rules then apply to the request.
    pub fn class_index(&self, name: &str) -> usize {
        index_of(&self.classes, name).unwrap_or(usize::MAX)
    }

    /// Returns the index of a zone in the settings' list of zones.
    ///
    /// Returns `u16::MAX` if `name` is `None` or not in the list: all unknown zones count as one zone, which
    /// is never the node's own.
    pub fn zone_index(&self, name: Option<&str>) -> u16 {
        name.and_then(|name| find_zone(&self.zones, name)).unwrap_or(u16::MAX)
    }

    /// Returns the name of the zone with this index, or `None` if the settings' list has no such zone.
    pub fn zone_name(&self, index: u16) -> Option<&str> {
        self.zones.get(usize::from(index)).map(String::as_str)
    }
}

fn index_of(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|listed| listed == name)
}

fn find_zone(zones: &[String], name: &str) -> Option<u16> {
    index_of(zones, name).and_then(|index| u16::try_from(index).ok())
}

/// Reads settings from JSON text. Also returns the index of the class and zone names in them.
///
/// # Errors
/// The text is not a JSON object, a required key is absent, or a value has the wrong type.
pub fn read(text: &str) -> Result<(Settings, NameIndex), SettingsFileError> {
    let json = serde_json::from_str(text).map_err(|e| SettingsFileError::Malformed(e.to_string()))?;
    read_value(&json)
}

/// Reads settings as [`read`] does, from JSON that is already parsed.
///
/// # Errors
/// The value is not an object, a required key is absent, or a value has the wrong type.
pub fn read_value(json: &Value) -> Result<(Settings, NameIndex), SettingsFileError> {
    if !json.is_object() {
        return Err(SettingsFileError::Malformed("not an object".to_owned()));
    }
    let root = JsonObject(json);
    let zones: Vec<String> = root.array("areas")?.iter().map(name_of).collect();
    let classes = root.array("classes")?;
    let names = NameIndex { classes: classes.iter().map(name_of).collect(), zones };
    Ok((read_settings(root, classes, &names.zones)?, names))
}

fn read_settings(
    root: JsonObject<'_>,
    classes: &[Value],
    zones: &[String],
) -> Result<Settings, SettingsFileError> {
    Ok(Settings {
        classes: classes.iter().map(|class| read_class(JsonObject(class))).collect::<Result<_, _>>()?,
        objective_weights: read_objective_weights(root)?,
        costs: read_costs(root)?,
        node_count: root.u32_or("instances", 1)?,
        node_index: root.u32_or("slotNo", 0)?,
        zone: find_zone(zones, root.string("zone")?),
        weight_meaning: parse_weight_meaning(root.string("weights")?),
        load_reporting: parse_load_reporting(root.string("reporting.via")?),
        discovery: parse_discovery_mode(root.string("membershipMode")?),
        max_attempts: root.u32_or("limits.attemptsCap", 1)?,
        cancellation_allowed: root.flag("limits.mayCancel")?,
        hedging_allowed: root.flag("limits.secondCopies")?,
        retry_after_allowed: root.flag("limits.retryAfter")?,
        max_retry_after_ms: root.number_or("limits.maxRetryAfterMs", 1000.0)?,
        probes_allowed: root.flag("limits.probing")?,
        peer_messages_allowed: root.flag("limits.peerMessages")?,
        max_open_requests: root.u32_or("limits.openCap", u32::MAX)?,
        max_streams: root.u32_or("limits.maxStreams", 1)?,
        idle_connection_timeout_ms: root.number_or("limits.connIdleMs", 15_000.0)?,
        connect_timeout_ms: root.number_or("limits.connectTimeoutMs", 250.0)?,
        cpu_us_per_second: root.number_or("limits.cpuUsPerS", 0.0)?,
        clients_mark_retries: root.flag("clientHabits.marksRetry")?,
        over_quota_weight_factor: root.number_or("overShareWorth", 1.0)?,
        value_scales_with_work: root.string("worthBy")? == "work",
        warm_keys: root.flag("familyInfo.warmKeys")?,
        slow_start_ms: root.number("rules.coldMs")?,
        slow_start_initial_capacity: root.number("rules.startCapacity")?,
        overload_multiple: root.number("rules.fallMultiple")?,
        overload_window_ms: root.number("rules.fallMs")?,
        drain_grace_ms: root.number_or("rules.drainGraceMs", 0.0)?,
        max_poll_interval_ms: root.number_or("rules.mustAskInMs", 10_000.0)?,
        batch_interval_ms: root.number_or("tickMs", 1.0)?,
    })
}

fn parse_weight_meaning(value: &str) -> WeightMeaning {
    match value {
        "nominal" => WeightMeaning::Nominal,
        "rough" => WeightMeaning::Rough,
        "live" => WeightMeaning::Live,
        _ => WeightMeaning::None,
    }
}

fn parse_load_reporting(value: &str) -> LoadReporting {
    match value {
        "answers" => LoadReporting::Answers,
        "probe" => LoadReporting::Probes,
        _ => LoadReporting::None,
    }
}

fn parse_discovery_mode(value: &str) -> DiscoveryMode {
    match value {
        "on_request" => DiscoveryMode::Poll,
        _ => DiscoveryMode::Push,
    }
}

fn read_objective_weights(root: JsonObject<'_>) -> Result<ObjectiveWeights, SettingsFileError> {
    Ok(ObjectiveWeights {
        entire_run: root.number_or("blend.whole", 1.0)?,
        worst_window: root.number_or("blend.worstWindow", 0.0)?,
        worst_class: root.number_or("blend.worstClass", 0.0)?,
        worst_tenant: root.number_or("blend.worstTenant", 0.0)?,
        nines: root.number_or("blend.ninesPart", 0.0)?,
        full_at_nines: root.number_or("blend.fullAtNines", 3.0)?,
    })
}

fn read_costs(root: JsonObject<'_>) -> Result<Costs, SettingsFileError> {
    Ok(Costs {
        cross_zone: root.number_or("prices.crossZone", 0.0)?,
        handshake: root.number_or("prices.handshake", 0.0)?,
        connection: root.number_or("prices.connection", 0.0)?,
        late_failure: root.number_or("prices.lateFail", 0.0)?,
        wasted_work: root.number_or("prices.waste", 0.0)?,
        probe: root.number_or("prices.probe", 0.0)?,
        peer_message: root.number_or("prices.peer", 0.0)?,
    })
}

fn read_class(class: JsonObject<'_>) -> Result<RequestClass, SettingsFileError> {
    let deadline_ms = class.number("hardLimitMs")?;
    Ok(RequestClass {
        latency_objective_ms: class.number_or("objectiveMs", deadline_ms)?,
        deadline_ms,
        priority_weight: class.number_or("value", 1.0)?,
        late_weight_factor: class.number_or("lateValue", 0.0)?,
        idempotency: read_idempotency(class)?,
        deduplication_window_ms: class.number_or("keyTtlMs", 0.0)?,
        objective_stretch: class.number_or("aimStretch", 0.0)?,
    })
}

/// Reads whether requests of a class may be repeated, and how far their deduplication reaches.
///
/// An absent or unknown value gets the strictest meaning: not idempotent, and deduplication within one cell.
fn read_idempotency(class: JsonObject<'_>) -> Result<Idempotency, SettingsFileError> {
    let scope = match class.string("group")? {
        "all" => DeduplicationScope::All,
        "zone" => DeduplicationScope::Zone,
        _ => DeduplicationScope::Cell,
    };
    Ok(match class.string("semantics")? {
        "idempotent" => Idempotency::Idempotent,
        "deduplicated" => Idempotency::WithKey(scope),
        _ => Idempotency::NotIdempotent,
    })
}

/// Returns the name of a class or zone: the entry itself if it is a string, else its `name`. Returns an
/// empty name if there is neither.
fn name_of(entry: &Value) -> String {
    entry.as_str().or_else(|| entry.get("name").and_then(Value::as_str)).unwrap_or_default().to_owned()
}

/// An object in the settings whose values are read by dotted paths, such as `limits.openCap`.
#[derive(Clone, Copy)]
struct JsonObject<'a>(&'a Value);

impl<'a> JsonObject<'a> {
    /// Returns the value at a path, or null if it is absent.
    fn value(self, path: &str) -> &'a Value {
        path.split('.').fold(self.0, |value, part| value.get(part).unwrap_or(&Value::Null))
    }

    /// Reads a required number.
    fn number(self, path: &str) -> Result<f64, SettingsFileError> {
        match self.value(path) {
            Value::Null => Err(SettingsFileError::Missing(path.to_owned())),
            value => value.as_f64().ok_or_else(|| invalid(path, "a number", value)),
        }
    }

    /// Reads a number. Returns `default` if it is absent.
    fn number_or(self, path: &str, default: f64) -> Result<f64, SettingsFileError> {
        if self.value(path).is_null() { Ok(default) } else { self.number(path) }
    }

    /// Reads a whole number from 0 to `u32::MAX`. Returns `default` if it is absent.
    fn u32_or(self, path: &str, default: u32) -> Result<u32, SettingsFileError> {
        let number = self.number_or(path, f64::from(default))?;
        let is_u32 = (0.0..=f64::from(u32::MAX)).contains(&number) && number.fract() == 0.0;
        if is_u32 { Ok(number as u32) } else { Err(invalid(path, "a whole number", self.value(path))) }
    }

    /// Reads a Boolean. Returns false if it is absent.
    fn flag(self, path: &str) -> Result<bool, SettingsFileError> {
        match self.value(path) {
            Value::Null => Ok(false),
            value => value.as_bool().ok_or_else(|| invalid(path, "true or false", value)),
        }
    }

    /// Reads a string. Returns an empty string if it is absent; the callers treat that as their default.
    fn string(self, path: &str) -> Result<&'a str, SettingsFileError> {
        match self.value(path) {
            Value::Null => Ok(""),
            value => value.as_str().ok_or_else(|| invalid(path, "a string", value)),
        }
    }

    /// Reads an array. Returns an empty slice if it is absent.
    fn array(self, path: &str) -> Result<&'a [Value], SettingsFileError> {
        match self.value(path) {
            Value::Null => Ok(&[]),
            value => value.as_array().map(Vec::as_slice).ok_or_else(|| invalid(path, "an array", value)),
        }
    }
}

fn invalid(path: &str, expected: &'static str, value: &Value) -> SettingsFileError {
    SettingsFileError::Invalid { key: path.to_owned(), expected, value: value.clone() }
}
