//! What endpoints report of their load, and how utilized the fleet is by that.
//!
//! Reports are some time old, not exact and seldom complete. They are condensed into one figure, the
//! utilization of an endpoint, which fades towards the mean of all endpoints when no report comes.

use super::decaying_mean::DecayingMean;
use super::event::AttemptOutcome;

/// Where only the queue is reported, work of this part of the latency objective makes an endpoint half
/// utilized.
const HALF_UTILIZED_PART: f64 = 8.0;
/// A report that follows another soon counts less, down to this much less: it is noise of the same moment.
const REPEATED_REPORT_DISCOUNT: f64 = 0.7;
/// How soon that is, in milliseconds.
const REPEATED_REPORT_MS: f64 = 1000.0;
/// How far the mean of all endpoints moves towards one report.
const FLEET_STEP: f64 = 0.05;

/// An endpoint's report of its load, as far as it gave one.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests that it holds.
    pub in_flight: Option<f64>,
    /// Requests that wait.
    pub queued: Option<f64>,
    /// Busy share of its cores, 0 to 1.
    pub utilization: Option<f64>,
    /// Recent service time, in milliseconds.
    pub latency_ms: Option<f64>,
    /// Requests served a second.
    pub requests_per_second: Option<f64>,
    /// Errors a second.
    pub errors_per_second: Option<f64>,
}

impl LoadReport {
    /// How utilized the endpoint is, 0 to 1: how busy its cores are or, where only the queue is reported, the
    /// work in it.
    fn estimated_utilization(&self, latency_objective_ms: f64) -> Option<f64> {
        let by_queue = self.queued.or(self.in_flight).zip(self.latency_ms).map(|(requests, latency_ms)| {
            let work_ms = requests * latency_ms;
            work_ms / (work_ms + latency_objective_ms / HALF_UTILIZED_PART)
        });
        self.utilization.or(by_queue).map(|utilization| utilization.clamp(0.0, 1.0))
    }
}

/// Mean utilization that answers report, over all endpoints.
#[derive(Debug, Default)]
pub(super) struct FleetUtilization {
    mean: f64,
}

impl FleetUtilization {
    /// The mean, 0 to 1; 0 where nothing is reported.
    pub fn mean(&self) -> f64 {
        self.mean
    }

    /// What an attempt's end says of its endpoint's utilization.
    ///
    /// One that fails or rejects fast looks idle, so its failures count as full utilization. That holds
    /// only among endpoints that report: where none does, failures alone would make up the mean.
    pub fn observed(
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

    /// Takes an observation into an endpoint's utilization and into the mean of all.
    pub fn record(&mut self, now_ms: f64, endpoint: &mut DecayingMean, utilization: f64) {
        let age_ms = endpoint.age_ms(now_ms);
        let part = 1.0 - REPEATED_REPORT_DISCOUNT * (-age_ms / REPEATED_REPORT_MS).exp();
        endpoint.observe(now_ms, self.mean, utilization, part);
        self.mean += FLEET_STEP * (utilization - self.mean);
    }
}
