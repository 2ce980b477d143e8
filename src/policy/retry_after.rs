//! CRAT, the client retry-after time: when a rejected client should come back.

use super::endpoint_set::EndpointSet;

/// T is this part of the latency objective: a client that comes back by then can still be served within it.
const OBJECTIVE_PART: f64 = 4.0;
/// T is at most this part of the longest advice that clients honour.
const MAX_ADVICE_PART: f64 = 2.0;

/// The advice in milliseconds: the earliest PRAT - now + T + a random 0 to T where every endpoint is
/// congested, and T + that spread where concurrency limits alone block.
pub(super) fn retry_after_ms(
    now_ms: f64,
    latency_objective_ms: f64,
    max_retry_after_ms: f64,
    endpoints: &EndpointSet,
    rng: &mut fastrand::Rng,
) -> f64 {
    let spread_ms = (latency_objective_ms / OBJECTIVE_PART).min(max_retry_after_ms / MAX_ADVICE_PART);
    let until_trial_ms = time_until_first_trial_ms(now_ms, endpoints);
    (until_trial_ms + spread_ms * (1.0 + rng.f64())).min(max_retry_after_ms)
}

/// Time until the earliest PRAT, in milliseconds; 0 where an endpoint is live, or none is in service.
fn time_until_first_trial_ms(now_ms: f64, endpoints: &EndpointSet) -> f64 {
    if endpoints.in_service().any(|endpoint| !endpoint.failures.is_congested()) {
        return 0.0;
    }
    let earliest_prat_ms =
        endpoints.in_service().map(|endpoint| endpoint.failures.prat_ms()).fold(f64::INFINITY, f64::min);
    if earliest_prat_ms.is_finite() { (earliest_prat_ms - now_ms).max(0.0) } else { 0.0 }
}
