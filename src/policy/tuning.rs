//! Figures that follow from the settings alone, computed once.

use super::concurrency_limit::initial_limit;
use super::settings::Settings;

/// What one poll takes the discovery service, in milliseconds.
const DISCOVERY_POLL_COST_MS: f64 = 40.0;
/// The longest time over which the polls of all nodes are spread, in milliseconds: a node that was killed
/// while its list changed waits no longer.
const MAX_DISCOVERY_SPREAD_MS: f64 = 2500.0;
/// Time between two trials of one endpoint, over all nodes, in milliseconds.
const TRIAL_INTERVAL_ALL_NODES_MS: f64 = 100.0;
/// Doublings of the trial pause at most.
const MAX_PAUSE_DOUBLINGS: u32 = 6;
/// The trial pause varies by this factor around its mean, evenly.
const PAUSE_JITTER: std::ops::Range<f64> = 0.75..1.25;
/// Housekeeping runs this many times within an overload window.
const HOUSEKEEPING_PER_OVERLOAD_WINDOW: f64 = 6.0;
/// Housekeeping leaves at least this many batches between two runs.
const MIN_BATCHES_BETWEEN_HOUSEKEEPING: f64 = 20.0;

/// Figures derived from the settings.
#[derive(Clone, Copy, Debug)]
pub(super) struct Tuning {
    /// N, the length of the failure window, in milliseconds: half of the slow-start time, so that a failure
    /// is forgotten before its cause recurs, and at least two longest objectives.
    pub failure_window_ms: f64,
    /// There are more nodes than an endpoint takes requests at once: each node has nothing in flight at
    /// most endpoints, and meets them too seldom to learn much of one within N.
    pub sees_sparse_traffic: bool,
    /// Time between two runs of housekeeping, in milliseconds.
    pub housekeeping_interval_ms: f64,
    /// Time over which polls of discovery that all nodes make for one reason are spread, in milliseconds.
    /// An outage starts all of them at once, and what waits in the service's queue for too long fails and
    /// is polled again.
    pub discovery_spread_ms: f64,
    /// The first trial pause t, before jitter, in milliseconds.
    first_trial_pause_ms: f64,
    /// The longest trial pause, before jitter, in milliseconds.
    max_trial_pause_ms: f64,
}

impl Tuning {
    /// The figures for these settings.
    pub fn new(settings: &Settings) -> Tuning {
        let longest_objective_ms =
            settings.classes.iter().map(|class| class.latency_objective_ms).fold(0.0, f64::max);
        let failure_window_ms = (settings.slow_start_ms / 2.0).max(2.0 * longest_objective_ms);
        let sees_sparse_traffic = initial_limit(settings.node_count) < 1.0;
        // The trials of many nodes add up to all that an endpoint in trouble can do: the pause grows with
        // them, up to N.
        let pause_for_all_nodes = if sees_sparse_traffic {
            TRIAL_INTERVAL_ALL_NODES_MS * f64::from(settings.node_count)
        } else {
            0.0
        };
        let first_trial_pause_ms = longest_objective_ms.max(pause_for_all_nodes.min(failure_window_ms));
        Tuning {
            failure_window_ms,
            sees_sparse_traffic,
            housekeeping_interval_ms: housekeeping_interval_ms(settings),
            discovery_spread_ms: discovery_spread_ms(settings),
            first_trial_pause_ms,
            max_trial_pause_ms: first_trial_pause_ms.max(settings.slow_start_ms / 4.0),
        }
    }

    /// t, the time until the next trial after so many failed ones in a row, in milliseconds: doubled by
    /// each, up to a quarter of the slow-start time, with jitter.
    pub fn trial_pause_ms(&self, failed_trials: u32, rng: &mut fastrand::Rng) -> f64 {
        let doublings = f64::from(1_u32 << failed_trials.min(MAX_PAUSE_DOUBLINGS));
        let pause = (self.first_trial_pause_ms * doublings).min(self.max_trial_pause_ms);
        pause * (PAUSE_JITTER.start + (PAUSE_JITTER.end - PAUSE_JITTER.start) * rng.f64())
    }
}

fn housekeeping_interval_ms(settings: &Settings) -> f64 {
    let by_window = settings.overload_window_ms / HOUSEKEEPING_PER_OVERLOAD_WINDOW;
    by_window.max(MIN_BATCHES_BETWEEN_HOUSEKEEPING * settings.batch_interval_ms).max(1.0)
}

fn discovery_spread_ms(settings: &Settings) -> f64 {
    let one_after_another = DISCOVERY_POLL_COST_MS * f64::from(settings.node_count.max(1) - 1);
    one_after_another.min(MAX_DISCOVERY_SPREAD_MS).min(settings.max_poll_interval_ms / 2.0)
}
