//! What a node is configured with, and the check that a balancer can run on it.

use super::endpoint::Location;
use thiserror::Error;

/// What a repeat of a request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeating it does no harm.
    Idempotent,
    /// It carries a key, by which the endpoints of a scope drop repeats for a while.
    WithKey(DeduplicationScope),
    /// It must never run twice.
    NotIdempotent,
}

impl Idempotency {
    /// Whether the request may be sent again although an earlier attempt may have run, somewhere and for
    /// some time.
    pub(super) fn allows_repeats(self) -> bool {
        self != Idempotency::NotIdempotent
    }

    /// Whether a client may try again elsewhere, at any time, although an attempt may have run.
    pub fn is_harmless_anywhere(self) -> bool {
        matches!(self, Idempotency::Idempotent | Idempotency::WithKey(DeduplicationScope::All))
    }
}

/// Which endpoints drop a repeat by its key together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// Every endpoint.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

impl DeduplicationScope {
    /// Whether an endpoint at `second` drops a repeat of what ran at `first`.
    pub fn covers(self, first: Location, second: Location) -> bool {
        match self {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => first.zone == second.zone,
            DeduplicationScope::Cell => first.cell == second.cell,
        }
    }
}

/// How the endpoint list arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Changes are pushed by an agent nearby.
    Push,
    /// One service for all nodes is polled, after [`Action::SetWatch`](super::Action::SetWatch).
    Poll,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Answers within this time earn the full weight, in milliseconds.
    pub latency_objective_ms: f64,
    /// The longest that a client waits, over all its tries, in milliseconds.
    pub deadline_ms: f64,
    /// Value of one request.
    pub priority_weight: f64,
    /// Part of that value which an answer after the objective keeps, 0 to 1.
    pub late_weight_factor: f64,
    /// What a repeat may do.
    pub idempotency: Idempotency,
    /// How long a repeat with the same key is dropped, in milliseconds from the first attempt that may have
    /// run.
    pub deduplication_window_ms: f64,
    /// The objective is longer by this multiple of the request's own work, up to the deadline; 0 for none.
    pub objective_stretch: f64,
}

/// Weights of the parts of the operators' service objective.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ObjectiveWeights {
    /// The value served over the entire run.
    pub whole: f64,
    /// The worst stretch of ten seconds.
    pub worst_window: f64,
    /// The worst-served class.
    pub worst_class: f64,
    /// The worst-served tenant.
    pub worst_tenant: f64,
    /// The nines: how small the part not served in time is, on a logarithmic scale.
    pub nines: f64,
    /// Nines that count in full.
    pub full_at_nines: f64,
}

/// Points that the operators take off, for each unit named.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Costs {
    /// An attempt that crosses zones, per first try.
    pub cross_zone: f64,
    /// A new connection, per first try.
    pub handshake: f64,
    /// Open connections.
    pub connection: f64,
    /// Value that ended unserved after its objective.
    pub late_fail: f64,
    /// Work of endpoints that gave no answer, per work offered.
    pub waste: f64,
    /// A probe, per first try.
    pub probe: f64,
    /// A full peer message (256 bytes), per first try.
    pub peer: f64,
}

/// What the weight of an endpoint means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightMeaning {
    /// Nothing: it is always 1.
    None,
    /// The registered capacity.
    Nominal,
    /// Roughly the capacity.
    Rough,
    /// The capacity over 1 + requests in flight per core, some time ago.
    Live,
}

/// How endpoints report their load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReporting {
    /// Not at all.
    None,
    /// In every answer, and in answers to probes.
    Answers,
    /// Only in answers to probes.
    Probes,
}

/// What one node is configured with.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Request classes; a request names one by its index.
    pub classes: Vec<RequestClass>,
    /// Weights of the service objective.
    pub objective_weights: ObjectiveWeights,
    /// What each thing costs.
    pub costs: Costs,
    /// How many nodes there are.
    pub node_count: u32,
    /// This node's number among them, from 0.
    pub node_index: u32,
    /// This node's zone, if it is known; comparable with
    /// [`EndpointUpdate::zone`](super::EndpointUpdate::zone).
    pub zone: Option<u16>,
    /// What [`EndpointUpdate::weight`](super::EndpointUpdate::weight) means.
    pub weight_meaning: WeightMeaning,
    /// How load is reported.
    pub load_reporting: LoadReporting,
    /// How the endpoint list arrives.
    pub discovery: DiscoveryMode,
    /// Attempts for one request at most.
    pub max_attempts: u32,
    /// Attempts may be cancelled.
    pub cancellation_allowed: bool,
    /// Two attempts of one request may be in flight at once.
    pub hedging_allowed: bool,
    /// Rejected clients are given a Retry-After.
    pub retry_after: bool,
    /// The longest Retry-After that a client honours, in milliseconds.
    pub max_retry_after_ms: f64,
    /// Probes are allowed.
    pub probes_allowed: bool,
    /// Messages between nodes are allowed.
    pub peer_messages_allowed: bool,
    /// Requests that this node may hold open.
    pub max_open_requests: u32,
    /// Attempts that one connection carries at once.
    pub max_streams: u32,
    /// Endpoints close idle connections after this time, in milliseconds.
    pub idle_connection_timeout_ms: f64,
    /// A connection not made by then has failed, in milliseconds.
    pub connect_timeout_ms: f64,
    /// Processor time that this node may use, in microseconds a second; 0 where there is no limit.
    pub cpu_us_per_second: f64,
    /// Clients mark their retries: a request without the mark is a first try.
    pub clients_mark_retries: bool,
    /// Part of its value that a request keeps which is over quota: here, too old for its objective.
    pub over_quota_weight_factor: f64,
    /// Value is counted by work rather than by request.
    pub weigh_by_work: bool,
    /// Endpoints that met a key lately need less work for it.
    pub warm_keys: bool,
    /// A restarted endpoint has its full capacity after this time at the latest, in milliseconds.
    pub slow_start_ms: f64,
    /// It starts at this part of its capacity or above.
    pub slow_start_initial_capacity: f64,
    /// It falls over when sent more than this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... for this time, in milliseconds.
    pub overload_window_ms: f64,
    /// Sends to an endpoint must end within this time after it was reported as draining or removed, in
    /// milliseconds.
    pub drain_grace_ms: f64,
    /// With polled discovery, the longest time between two polls, in milliseconds.
    pub max_poll_interval_ms: f64,
    /// The shortest time between two batches of events, in milliseconds.
    pub batch_interval_ms: f64,
}

/// A figure with its name in the settings' JSON and the least that it may be.
struct Figure {
    name: &'static str,
    value: f64,
    least: f64,
}

impl Settings {
    /// Checks that a balancer can run on them.
    ///
    /// # Errors
    /// There is no class, or a figure is outside its range.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClass);
        }
        let out_of_range = |figure: &Figure| !figure.value.is_finite() || figure.value < figure.least;
        match self.figures().into_iter().find(out_of_range) {
            Some(Figure { name, value, .. }) => Err(SettingsError::Range { field: name, value }),
            None => Ok(()),
        }
    }

    fn figures(&self) -> Vec<Figure> {
        let figure = |name, value, least| Figure { name, value, least };
        let mut figures = vec![
            figure("rules.coldMs", self.slow_start_ms, 0.0),
            figure("rules.fallMs", self.overload_window_ms, 0.0),
            figure("rules.fallMultiple", self.overload_multiple, 0.0),
            figure("rules.startCapacity", self.slow_start_initial_capacity, 0.0),
            figure("rules.drainGraceMs", self.drain_grace_ms, 0.0),
            figure("limits.maxRetryAfterMs", self.max_retry_after_ms, 0.0),
            figure("rules.mustAskInMs", self.max_poll_interval_ms, 0.0),
            figure("limits.connIdleMs", self.idle_connection_timeout_ms, 0.0),
            figure("overShareWorth", self.over_quota_weight_factor, 0.0),
            figure("tickMs", self.batch_interval_ms, 0.0),
            figure("instances", f64::from(self.node_count), 1.0),
            figure("limits.attemptsCap", f64::from(self.max_attempts), 1.0),
        ];
        for class in &self.classes {
            figures.push(figure("classes.hardLimitMs", class.deadline_ms, f64::MIN_POSITIVE));
            figures.push(figure("classes.objectiveMs", class.latency_objective_ms, f64::MIN_POSITIVE));
            figures.push(figure("classes.value", class.priority_weight, 0.0));
            figures.push(figure("classes.lateValue", class.late_weight_factor, 0.0));
            figures.push(figure("classes.keyTtlMs", class.deduplication_window_ms, 0.0));
        }
        figures
    }

    /// What a repeat of a request of this class may do; a class that is not known falls under the strictest
    /// rule.
    pub fn idempotency(&self, class: usize) -> Idempotency {
        self.classes.get(class).map_or(Idempotency::NotIdempotent, |class| class.idempotency)
    }

    /// The latency objective of a class, in milliseconds; infinite for one that is not known.
    pub(super) fn latency_objective_ms(&self, class: usize) -> f64 {
        self.classes.get(class).map_or(f64::INFINITY, |class| class.latency_objective_ms)
    }
}

/// Settings that no balancer can run on.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum SettingsError {
    /// There must be a class.
    #[error("classes: at least one is needed")]
    NoClass,
    /// A figure is not a number, or outside its range.
    #[error("{field}: {value} is outside its range")]
    Range {
        /// The setting's name.
        field: &'static str,
        /// Its value.
        value: f64,
    },
}
