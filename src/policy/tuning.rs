//! Derives intervals, pauses and windows from the settings. They are computed once, when the balancer is
//! created.

use super::concurrency_limit::initial_limit;
use super::settings::Settings;

/// Time that the discovery service needs for one poll, in milliseconds.
const DISCOVERY_POLL_DURATION_MS: f64 = 40.0;
/// Upper bound of the time over which the polls of all nodes are spread, in milliseconds. A restarted node
/// with a cached endpoint list delays its first poll by a random part of the spread. This bound therefore
/// limits how long the node uses the cached list if that list has become outdated in the meantime.
const MAX_DISCOVERY_SPREAD_MS: f64 = 2500.0;
/// Mean time between the trials of one endpoint, counted over all nodes together, in milliseconds. With
/// sparse traffic, the first trial pause of each node is at least this time multiplied by the number of
/// nodes, up to the failure window N.
const TRIAL_INTERVAL_ALL_NODES_MS: f64 = 100.0;
/// Upper bound of the number of times that the trial pause is doubled.
const MAX_TRIAL_PAUSE_DOUBLINGS: u32 = 6;
/// Range of the factor by which the trial pause is multiplied, drawn uniformly.
const TRIAL_PAUSE_JITTER: std::ops::Range<f64> = 0.75..1.25;
/// Number of housekeeping runs within one overload window.
const HOUSEKEEPING_RUNS_PER_OVERLOAD_WINDOW: f64 = 6.0;
/// Lower bound of the time between two runs of housekeeping, as a multiple of
/// [`Settings::batch_interval_ms`].
const MIN_BATCHES_BETWEEN_HOUSEKEEPING: f64 = 20.0;

/// Parameters derived from one set of settings.
#[derive(Clone, Copy, Debug)]
pub(super) struct Tuning {
    /// N, the length of the failure window, in milliseconds. It is half of the slow-start time, but at least
    /// twice the longest latency objective. With half of the slow-start time, the failures around a restart
    /// leave the window before the endpoint completes its slow start and can restart again.
    pub failure_window_ms: f64,
    /// Whether [`initial_limit`] is below 1: the nodes outnumber the requests that an endpoint about which
    /// nothing is known is assumed to hold at once. Most endpoints then have no request of a given node in
    /// flight, and the node sends requests to each endpoint too rarely to learn much about it within N.
    pub sees_sparse_traffic: bool,
    /// Time between two runs of housekeeping, in milliseconds.
    pub housekeeping_interval_ms: f64,
    /// Time over which the nodes spread their polls of discovery, in milliseconds. An event such as the end
    /// of an outage makes all nodes poll. If they polled at once, some polls would wait too long in the
    /// service's queue, fail and be repeated.
    pub discovery_spread_ms: f64,
    /// The first trial pause t, before jitter, in milliseconds.
    first_trial_pause_ms: f64,
    /// Upper bound of the trial pause, before jitter, in milliseconds.
    max_trial_pause_ms: f64,
}

impl Tuning {
    /// Derives the parameters from the settings.
    pub fn new(settings: &Settings) -> Tuning {
        let longest_objective_ms =
            settings.classes.iter().map(|class| class.latency_objective_ms).fold(0.0, f64::max);
        let failure_window_ms = (settings.slow_start_ms / 2.0).max(2.0 * longest_objective_ms);
        let sees_sparse_traffic = initial_limit(settings.node_count) < 1.0;
        // The trials of many nodes can add up to all the work that an endpoint in trouble is able to do.
        // The pause therefore grows with the number of nodes, up to N.
        let sparse_traffic_pause_ms = if sees_sparse_traffic {
            TRIAL_INTERVAL_ALL_NODES_MS * f64::from(settings.node_count)
        } else {
            0.0
        };
        let first_trial_pause_ms = longest_objective_ms.max(sparse_traffic_pause_ms.min(failure_window_ms));
        Tuning {
            failure_window_ms,
            sees_sparse_traffic,
            housekeeping_interval_ms: housekeeping_interval_ms(settings),
            discovery_spread_ms: discovery_spread_ms(settings),
            first_trial_pause_ms,
            max_trial_pause_ms: first_trial_pause_ms.max(settings.slow_start_ms / 4.0),
        }
    }

    /// Returns the trial pause t after `failed_trials` consecutive failed trials, in milliseconds. Each
    /// failed trial doubles the pause, at most [`MAX_TRIAL_PAUSE_DOUBLINGS`] times. The pause is at most a
    /// quarter of the slow-start time, or the first pause if the first pause is longer. Jitter is applied
    /// afterwards.
    pub fn trial_pause_ms(&self, failed_trials: u32, rng: &mut fastrand::Rng) -> f64 {
        let pause_factor = f64::from(1_u32 << failed_trials.min(MAX_TRIAL_PAUSE_DOUBLINGS));
        let pause_ms = (self.first_trial_pause_ms * pause_factor).min(self.max_trial_pause_ms);
        pause_ms
            * (TRIAL_PAUSE_JITTER.start + (TRIAL_PAUSE_JITTER.end - TRIAL_PAUSE_JITTER.start) * rng.f64())
    }
}

fn housekeeping_interval_ms(settings: &Settings) -> f64 {
    let interval_ms = settings.overload_window_ms / HOUSEKEEPING_RUNS_PER_OVERLOAD_WINDOW;
    interval_ms.max(MIN_BATCHES_BETWEEN_HOUSEKEEPING * settings.batch_interval_ms).max(1.0)
}

/// Returns the time that the discovery service needs to answer the polls of all other nodes one after
/// another, in milliseconds, but at most [`MAX_DISCOVERY_SPREAD_MS`] and at most half of
/// [`Settings::max_poll_interval_ms`].
fn discovery_spread_ms(settings: &Settings) -> f64 {
    let sequential_polls_ms = DISCOVERY_POLL_DURATION_MS * f64::from(settings.node_count.max(1) - 1);
    sequential_polls_ms.min(MAX_DISCOVERY_SPREAD_MS).min(settings.max_poll_interval_ms / 2.0)
}
