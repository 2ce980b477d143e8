//! Defines the configuration of a node, and validates that a balancer can run with it.

use super::endpoint::Location;
use thiserror::Error;

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeated execution does no harm.
    Idempotent,
    /// The request carries an idempotency key, by which the endpoints of a scope drop repeats within the
    /// deduplication window.
    WithKey(DeduplicationScope),
    /// The request must not be executed more than once.
    NotIdempotent,
}

impl Idempotency {
    /// Returns whether the node may send the request again although an earlier attempt may have been
    /// executed. For a request with a key, this holds only for endpoints within the key's scope and within
    /// the deduplication window; the caller must check both.
    pub(super) fn allows_repeats(self) -> bool {
        self != Idempotency::NotIdempotent
    }

    /// Returns whether a client may repeat the request elsewhere and at any time although an attempt may
    /// have been executed.
    pub fn allows_client_retry(self) -> bool {
        matches!(self, Idempotency::Idempotent | Idempotency::WithKey(DeduplicationScope::All))
    }
}

/// The endpoints that share the idempotency keys they have received, and so drop repeats of each other's
/// requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All endpoints.
    All,
    /// The endpoints of one zone.
    Zone,
    /// The endpoints of one cell.
    Cell,
}

impl DeduplicationScope {
    /// Returns whether an endpoint at `second` drops the repeat of a request that was executed at `first`.
    pub fn covers(self, first: Location, second: Location) -> bool {
        match self {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => first.zone == second.zone,
            DeduplicationScope::Cell => first.cell == second.cell,
        }
    }
}

/// How the node obtains the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// An agent near the node pushes changes.
    Push,
    /// The node polls one service, which all nodes share. A poll follows
    /// [`Action::SetWatch`](super::Action::SetWatch).
    Poll,
}

/// A class of requests: its objective, its value, and its rules for repeats.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Time within which an answer earns the full value, in milliseconds from the client's first try.
    pub latency_objective_ms: f64,
    /// Longest time that a client waits over all its tries, in milliseconds.
    pub deadline_ms: f64,
    /// Value of one answer within the objective, relative to other classes; at least 0.
    pub priority_weight: f64,
    /// Share of the value that an answer after the objective still earns, 0 to 1.
    pub late_weight_factor: f64,
    /// Whether requests of the class may be executed more than once.
    pub idempotency: Idempotency,
    /// Time for which endpoints drop repeats with the same idempotency key, in milliseconds from the first
    /// attempt that may have been executed.
    pub deduplication_window_ms: f64,
    /// Multiple of a request's own work by which its objective is extended, up to the deadline; 0 for no
    /// extension.
    pub objective_stretch: f64,
}

/// Weights of the components of the operators' service objective.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ObjectiveWeights {
    /// Weight of the value served over the entire run.
    pub entire_run: f64,
    /// Weight of the value served in the worst window of ten seconds.
    pub worst_window: f64,
    /// Weight of the value served to the worst-served class.
    pub worst_class: f64,
    /// Weight of the value served to the worst-served tenant.
    pub worst_tenant: f64,
    /// Weight of the nines: the share that was not served in time, on a logarithmic scale.
    pub nines: f64,
    /// Number of nines at which that component is earned in full.
    pub full_at_nines: f64,
}

/// Deductions from the service objective, in points per unit named at each field.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Costs {
    /// Points per attempt that crosses zones, as a ratio to the number of first tries.
    pub cross_zone: f64,
    /// Points per new connection, as a ratio to the number of first tries.
    pub handshake: f64,
    /// Points per open connection.
    pub connection: f64,
    /// Points per unit of value that ended unserved after its latency objective.
    pub late_failure: f64,
    /// Points per unit of work that endpoints did without giving an answer, as a ratio to the offered work.
    pub wasted_work: f64,
    /// Points per probe, as a ratio to the number of first tries.
    pub probe: f64,
    /// Points per full peer message of 256 bytes, as a ratio to the number of first tries.
    pub peer_message: f64,
}

/// The meaning of an endpoint's weight in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightMeaning {
    /// The weight has no meaning and is always 1.
    None,
    /// The registered capacity.
    Nominal,
    /// A rough estimate of the capacity.
    Rough,
    /// The capacity divided by 1 plus the requests in flight per core, as of some time ago.
    Live,
}

/// How endpoints report their load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReporting {
    /// Endpoints do not report their load.
    None,
    /// In every answer, including answers to probes.
    Answers,
    /// Only in answers to probes.
    Probes,
}

/// The configuration of one node.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Request classes; a request refers to its class by the index in this list. Must not be empty.
    pub classes: Vec<RequestClass>,
    /// Weights of the components of the service objective.
    pub objective_weights: ObjectiveWeights,
    /// Deductions from the service objective.
    pub costs: Costs,
    /// Number of nodes, this one included; at least 1.
    pub node_count: u32,
    /// Index of this node among all nodes, from 0.
    pub node_index: u32,
    /// Zone of this node, comparable with [`EndpointUpdate::zone`](super::EndpointUpdate::zone). `None` if
    /// it is unknown.
    pub zone: Option<u16>,
    /// Meaning of [`EndpointUpdate::weight`](super::EndpointUpdate::weight).
    pub weight_meaning: WeightMeaning,
    /// How endpoints report their load.
    pub load_reporting: LoadReporting,
    /// How the node obtains the endpoint list.
    pub discovery: DiscoveryMode,
    /// Largest number of attempts for one request; at least 1.
    pub max_attempts: u32,
    /// Whether the node may cancel attempts.
    pub cancellation_allowed: bool,
    /// Whether two attempts of one request may be in flight at the same time.
    pub hedging_allowed: bool,
    /// Whether rejections may carry a `Retry-After`.
    pub retry_after_allowed: bool,
    /// Longest `Retry-After` that clients honour, in milliseconds.
    pub max_retry_after_ms: f64,
    /// Whether the node may send probes.
    pub probes_allowed: bool,
    /// Whether nodes may send messages to each other.
    pub peer_messages_allowed: bool,
    /// Largest number of requests that this node may hold open.
    pub max_open_requests: u32,
    /// Largest number of concurrent attempts on one connection.
    pub max_streams: u32,
    /// Time after which endpoints close an idle connection, in milliseconds.
    pub idle_connection_timeout_ms: f64,
    /// Time after which an attempt to connect counts as failed, in milliseconds.
    pub connect_timeout_ms: f64,
    /// Processor time that this node may use, in microseconds per second; 0 if there is no limit.
    pub cpu_us_per_second: f64,
    /// Whether clients mark their retries. If they do, a request without the mark is a first try.
    pub clients_mark_retries: bool,
    /// Factor applied to the value of a request that is over its quota. The balancer applies it to requests
    /// that have already missed their objective when they arrive.
    pub over_quota_weight_factor: f64,
    /// Whether the value of a request is proportional to its work. Otherwise all requests of a class have
    /// the same value.
    pub value_scales_with_work: bool,
    /// Whether endpoints need less work for keys that they have received recently.
    pub warm_keys: bool,
    /// Time after which a restarted endpoint has its full capacity at the latest, in milliseconds.
    pub slow_start_ms: f64,
    /// Lower bound of the share of its full capacity that a restarted endpoint has right after its start, 0
    /// to 1.
    pub slow_start_initial_capacity: f64,
    /// Multiple of its present capacity beyond which the load makes a restarted endpoint fail, if it lasts
    /// for [`overload_window_ms`](Settings::overload_window_ms).
    pub overload_multiple: f64,
    /// Time for which a restarted endpoint must be loaded beyond
    /// [`overload_multiple`](Settings::overload_multiple) to fail, in milliseconds.
    pub overload_window_ms: f64,
    /// Time after which nothing may be sent to an endpoint that was reported as draining or removed, in
    /// milliseconds.
    pub drain_grace_ms: f64,
    /// Longest time between two polls of discovery, in milliseconds; not used with pushed discovery.
    pub max_poll_interval_ms: f64,
    /// Shortest time between two batches of events, in milliseconds.
    pub batch_interval_ms: f64,
}

/// The value of a numeric setting, with its key in the JSON form of the settings and its lower bound.
struct NumericSetting {
    name: &'static str,
    value: f64,
    min: f64,
}

impl Settings {
    /// Validates that a balancer can run with these settings.
    ///
    /// # Errors
    /// Returns an error if there is no class, or if a number is not finite or below its lower bound.
    pub fn validate(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClass);
        }
        let out_of_range =
            |setting: &NumericSetting| !setting.value.is_finite() || setting.value < setting.min;
        match self.numeric_settings().into_iter().find(out_of_range) {
            Some(NumericSetting { name, value, .. }) => {
                Err(SettingsError::OutOfRange { field: name, value })
            }
            None => Ok(()),
        }
    }

    fn numeric_settings(&self) -> Vec<NumericSetting> {
        let setting = |name, value, min| NumericSetting { name, value, min };
        let mut numeric_settings = vec![
            setting("rules.coldMs", self.slow_start_ms, 0.0),
            setting("rules.fallMs", self.overload_window_ms, 0.0),
            setting("rules.fallMultiple", self.overload_multiple, 0.0),
            setting("rules.startCapacity", self.slow_start_initial_capacity, 0.0),
            setting("rules.drainGraceMs", self.drain_grace_ms, 0.0),
            setting("limits.maxRetryAfterMs", self.max_retry_after_ms, 0.0),
            setting("rules.mustAskInMs", self.max_poll_interval_ms, 0.0),
            setting("limits.connIdleMs", self.idle_connection_timeout_ms, 0.0),
            setting("overShareWorth", self.over_quota_weight_factor, 0.0),
            setting("tickMs", self.batch_interval_ms, 0.0),
            setting("instances", f64::from(self.node_count), 1.0),
            setting("limits.attemptsCap", f64::from(self.max_attempts), 1.0),
        ];
        for class in &self.classes {
            numeric_settings.push(setting("classes.hardLimitMs", class.deadline_ms, f64::MIN_POSITIVE));
            numeric_settings.push(setting(
                "classes.objectiveMs",
                class.latency_objective_ms,
                f64::MIN_POSITIVE,
            ));
            numeric_settings.push(setting("classes.value", class.priority_weight, 0.0));
            numeric_settings.push(setting("classes.lateValue", class.late_weight_factor, 0.0));
            numeric_settings.push(setting("classes.keyTtlMs", class.deduplication_window_ms, 0.0));
        }
        numeric_settings
    }

    /// Returns whether requests of a class may be executed more than once. The strictest rule applies to an
    /// unknown class.
    pub fn idempotency(&self, class: usize) -> Idempotency {
        self.classes.get(class).map_or(Idempotency::NotIdempotent, |class| class.idempotency)
    }

    /// Returns the latency objective of a class, in milliseconds; infinite for an unknown class.
    pub(super) fn latency_objective_ms(&self, class: usize) -> f64 {
        self.classes.get(class).map_or(f64::INFINITY, |class| class.latency_objective_ms)
    }
}

/// The reason why a balancer cannot run with the settings.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum SettingsError {
    /// The list of classes is empty.
    #[error("classes: at least one class is required")]
    NoClass,
    /// A number is not finite or is below its lower bound.
    #[error("{field}: {value} is out of range")]
    OutOfRange {
        /// The key in the JSON form of the settings.
        field: &'static str,
        /// The value found.
        value: f64,
    },
}
