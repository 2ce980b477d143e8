//! The JSON form of the settings, which both the node and the simulator adapter are given.
//!
//! Its keys belong to the platform and stay as they are; here they are mapped to the names of [`Settings`].
//! Unknown keys are skipped, absent optional ones get defaults.

use crate::policy::{
    Costs, DeduplicationScope, DiscoveryMode, Idempotency, LoadReporting, ObjectiveWeights, RequestClass,
    Settings, WeightMeaning,
};
use serde_json::Value;
use thiserror::Error;

/// What is wrong with the settings, and with which key.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SettingsFileError {
    /// The text is no JSON object.
    #[error("field config: {0}")]
    NotAnObject(String),
    /// A key that must be there is absent.
    #[error("field config.{0}: missing")]
    Missing(String),
    /// A key holds something else than it should.
    #[error("field config.{key}: not {expected}: {value}")]
    Invalid {
        /// The key, as a path.
        key: String,
        /// What it should hold.
        expected: &'static str,
        /// What it holds.
        value: Value,
    },
}

/// The names of classes and zones, by the numbers that the decisions know them by.
#[derive(Debug, Clone)]
pub struct Names {
    classes: Vec<String>,
    zones: Vec<String>,
}

impl Names {
    /// Index of a class in the settings; `usize::MAX` for one that is not there, which falls under the
    /// strictest rules.
    pub fn class(&self, name: &str) -> usize {
        index_of(&self.classes, name).unwrap_or(usize::MAX)
    }

    /// Number of a zone; unknown ones are all the same foreign one.
    pub fn zone(&self, name: Option<&str>) -> u16 {
        name.and_then(|name| zone_number(&self.zones, name)).unwrap_or(u16::MAX)
    }
}

fn index_of(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

fn zone_number(zones: &[String], name: &str) -> Option<u16> {
    index_of(zones, name).and_then(|index| u16::try_from(index).ok())
}

/// Reads settings from JSON, and the names that requests and endpoints will use.
///
/// # Errors
/// The text is no JSON object, a key that must be there is absent, or one holds something else than it
/// should.
pub fn read(text: &str) -> Result<(Settings, Names), SettingsFileError> {
    let json = serde_json::from_str(text).map_err(|e| SettingsFileError::NotAnObject(e.to_string()))?;
    read_value(&json)
}

/// The same from JSON that is parsed already.
///
/// # Errors
/// As for [`read`].
pub fn read_value(json: &Value) -> Result<(Settings, Names), SettingsFileError> {
    if !json.is_object() {
        return Err(SettingsFileError::NotAnObject("not an object".to_owned()));
    }
    let root = Section(json);
    let zones: Vec<String> = root.list("areas")?.iter().map(name_of).collect();
    let classes = root.list("classes")?;
    let names = Names { classes: classes.iter().map(name_of).collect(), zones };
    Ok((read_settings(root, classes, &names.zones)?, names))
}

fn read_settings(
    root: Section<'_>,
    classes: &[Value],
    zones: &[String],
) -> Result<Settings, SettingsFileError> {
    Ok(Settings {
        classes: classes.iter().map(|class| read_class(Section(class))).collect::<Result<_, _>>()?,
        objective_weights: read_objective_weights(root)?,
        costs: read_costs(root)?,
        node_count: root.count("instances", 1)?,
        node_index: root.count("slotNo", 0)?,
        zone: zone_number(zones, root.word("zone")?),
        weight_meaning: weight_meaning(root.word("weights")?),
        load_reporting: load_reporting(root.word("reporting.via")?),
        discovery: discovery_mode(root.word("membershipMode")?),
        max_attempts: root.count("limits.attemptsCap", 1)?,
        cancellation_allowed: root.flag("limits.mayCancel")?,
        hedging_allowed: root.flag("limits.secondCopies")?,
        retry_after_allowed: root.flag("limits.retryAfter")?,
        max_retry_after_ms: root.number_or("limits.maxRetryAfterMs", 1000.0)?,
        probes_allowed: root.flag("limits.probing")?,
        peer_messages_allowed: root.flag("limits.peerMessages")?,
        max_open_requests: root.count("limits.openCap", u32::MAX)?,
        max_streams: root.count("limits.maxStreams", 1)?,
        idle_connection_timeout_ms: root.number_or("limits.connIdleMs", 15_000.0)?,
        connect_timeout_ms: root.number_or("limits.connectTimeoutMs", 250.0)?,
        cpu_us_per_second: root.number_or("limits.cpuUsPerS", 0.0)?,
        clients_mark_retries: root.flag("clientHabits.marksRetry")?,
        over_quota_weight_factor: root.number_or("overShareWorth", 1.0)?,
        value_scales_with_work: root.word("worthBy")? == "work",
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

fn weight_meaning(word: &str) -> WeightMeaning {
    match word {
        "nominal" => WeightMeaning::Nominal,
        "rough" => WeightMeaning::Rough,
        "live" => WeightMeaning::Live,
        _ => WeightMeaning::None,
    }
}

fn load_reporting(word: &str) -> LoadReporting {
    match word {
        "answers" => LoadReporting::Answers,
        "probe" => LoadReporting::Probes,
        _ => LoadReporting::None,
    }
}

fn discovery_mode(word: &str) -> DiscoveryMode {
    match word {
        "on_request" => DiscoveryMode::Poll,
        _ => DiscoveryMode::Push,
    }
}

fn read_objective_weights(root: Section<'_>) -> Result<ObjectiveWeights, SettingsFileError> {
    Ok(ObjectiveWeights {
        entire_run: root.number_or("blend.whole", 1.0)?,
        worst_window: root.number_or("blend.worstWindow", 0.0)?,
        worst_class: root.number_or("blend.worstClass", 0.0)?,
        worst_tenant: root.number_or("blend.worstTenant", 0.0)?,
        nines: root.number_or("blend.ninesPart", 0.0)?,
        full_at_nines: root.number_or("blend.fullAtNines", 3.0)?,
    })
}

fn read_costs(root: Section<'_>) -> Result<Costs, SettingsFileError> {
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

fn read_class(class: Section<'_>) -> Result<RequestClass, SettingsFileError> {
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

/// A class that says nothing, or something unknown, falls under the strictest rule.
fn read_idempotency(class: Section<'_>) -> Result<Idempotency, SettingsFileError> {
    let scope = match class.word("group")? {
        "all" => DeduplicationScope::All,
        "zone" => DeduplicationScope::Zone,
        _ => DeduplicationScope::Cell,
    };
    Ok(match class.word("semantics")? {
        "idempotent" => Idempotency::Idempotent,
        "deduplicated" => Idempotency::WithKey(scope),
        _ => Idempotency::NotIdempotent,
    })
}

/// The name of a class or zone: the entry itself, or its `name`.
fn name_of(entry: &Value) -> String {
    entry.as_str().or_else(|| entry.get("name").and_then(Value::as_str)).unwrap_or_default().to_owned()
}

/// An object of the settings, read by dotted paths.
#[derive(Clone, Copy)]
struct Section<'a>(&'a Value);

impl<'a> Section<'a> {
    /// The value at a path; null where it is absent.
    fn value(self, path: &str) -> &'a Value {
        path.split('.').fold(self.0, |value, part| value.get(part).unwrap_or(&Value::Null))
    }

    /// A number that must be there.
    fn number(self, path: &str) -> Result<f64, SettingsFileError> {
        match self.value(path) {
            Value::Null => Err(SettingsFileError::Missing(path.to_owned())),
            value => value.as_f64().ok_or_else(|| invalid(path, "a number", value)),
        }
    }

    /// A number, or its default where it is absent.
    fn number_or(self, path: &str, default: f64) -> Result<f64, SettingsFileError> {
        if self.value(path).is_null() { Ok(default) } else { self.number(path) }
    }

    /// A whole number, or its default where it is absent.
    fn count(self, path: &str, default: u32) -> Result<u32, SettingsFileError> {
        let number = self.number_or(path, f64::from(default))?;
        let is_count = (0.0..=f64::from(u32::MAX)).contains(&number) && number.fract() == 0.0;
        if is_count { Ok(number as u32) } else { Err(invalid(path, "a whole number", self.value(path))) }
    }

    /// A truth value; absent means no.
    fn flag(self, path: &str) -> Result<bool, SettingsFileError> {
        match self.value(path) {
            Value::Null => Ok(false),
            value => value.as_bool().ok_or_else(|| invalid(path, "true or false", value)),
        }
    }

    /// A word; absent means empty, which every use takes for its default.
    fn word(self, path: &str) -> Result<&'a str, SettingsFileError> {
        match self.value(path) {
            Value::Null => Ok(""),
            value => value.as_str().ok_or_else(|| invalid(path, "a word", value)),
        }
    }

    /// A list; absent means empty.
    fn list(self, path: &str) -> Result<&'a [Value], SettingsFileError> {
        match self.value(path) {
            Value::Null => Ok(&[]),
            value => value.as_array().map(Vec::as_slice).ok_or_else(|| invalid(path, "a list", value)),
        }
    }
}

fn invalid(path: &str, expected: &'static str, value: &Value) -> SettingsFileError {
    SettingsFileError::Invalid { key: path.to_owned(), expected, value: value.clone() }
}
