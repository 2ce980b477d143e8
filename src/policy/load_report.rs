//! Holds the load reports of endpoints and estimates the utilization of endpoints and of the fleet from
//! them.
//!
//! Load reports arrive late, are not exact and are rarely complete. They are condensed into one figure for
//! each endpoint, its utilization, which decays towards the mean of all endpoints while no report arrives.

use super::decaying_mean::DecayingMean;
use super::event::AttemptOutcome;

/// Divisor of the latency objective. An endpoint that reports its queue but not its utilization counts as
/// half utilized when its queued work equals the objective divided by this number.
const HALF_UTILIZATION_DIVISOR: f64 = 8.0;
/// Largest reduction of a report's weight, 0 to 1, if the previous report has just arrived: reports in
/// quick succession contain the same noise.
const REPEATED_REPORT_DISCOUNT: f64 = 0.7;
/// Time constant with which the reduction fades as the previous report gets older, in milliseconds.
const REPEATED_REPORT_TIME_CONSTANT_MS: f64 = 1000.0;
/// Weight of one report in the moving average over all endpoints.
const FLEET_MEAN_STEP: f64 = 0.05;

/// The load that an endpoint reported about itself. A field is `None` if the endpoint did not report it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests that the endpoint holds, queued or running.
    pub in_flight: Option<f64>,
    /// Requests that wait in the endpoint's queue.
    pub queued: Option<f64>,
    /// Share of its cores' time that the endpoint is busy, 0 to 1.
    pub utilization: Option<f64>,
    /// Recent service time of a request, in milliseconds.
    pub latency_ms: Option<f64>,
    /// Requests that the endpoint serves per second.
    pub requests_per_second: Option<f64>,
    /// Requests per second that end in an error at the endpoint.
    pub errors_per_second: Option<f64>,
}

impl LoadReport {
    /// Returns the utilization of the endpoint, 0 to 1: the reported one or, if it is absent, an estimate
    /// from the number of requests queued, or else in flight, and their service time. Returns `None` if the
    /// report has too few figures for both.
    fn estimated_utilization(&self, latency_objective_ms: f64) -> Option<f64> {
        let queue_utilization =
            self.queued.or(self.in_flight).zip(self.latency_ms).map(|(requests, latency_ms)| {
                let queued_work_ms = requests * latency_ms;
                queued_work_ms / (queued_work_ms + latency_objective_ms / HALF_UTILIZATION_DIVISOR)
            });
        self.utilization.or(queue_utilization).map(|utilization| utilization.clamp(0.0, 1.0))
    }
}

/// The utilization of the fleet: a moving average of the utilization that the ends of attempts show at all
/// endpoints.
#[derive(Debug, Default)]
pub(super) struct FleetUtilization {
    mean: f64,
}

impl FleetUtilization {
    /// Mean utilization over all endpoints, 0 to 1; 0 if none reports its load.
    pub fn mean(&self) -> f64 {
        self.mean
    }

    /// Returns the utilization, 0 to 1, that the end of an attempt shows at its endpoint. Returns `None` if
    /// it shows nothing.
    ///
    /// An endpoint that fails or rejects requests quickly looks idle, so its failures count as full
    /// utilization. They are ignored as long as no endpoint reports its load: otherwise the mean would
    /// consist of failures alone.
    pub fn observed_utilization(
        &self,
        outcome: AttemptOutcome,
        report: &LoadReport,
        latency_objective_ms: f64,
    ) -> Option<f64> {
        match outcome {
            AttemptOutcome::Answered => report.estimated_utilization(latency_objective_ms),
            _ if outcome.was_ended_by_node() => None,
            _ => Some(1.0).filter(|_| self.mean > 0.0),
        }
    }

    /// Records an observed utilization in the moving average of its endpoint and in that of the fleet.
    pub fn record(&mut self, now_ms: f64, endpoint: &mut DecayingMean, utilization: f64) {
        let age_ms = endpoint.age_ms(now_ms);
        let step = 1.0 - REPEATED_REPORT_DISCOUNT * (-age_ms / REPEATED_REPORT_TIME_CONSTANT_MS).exp();
        endpoint.observe(now_ms, self.mean, utilization, step);
        self.mean += FLEET_MEAN_STEP * (utilization - self.mean);
    }
}
