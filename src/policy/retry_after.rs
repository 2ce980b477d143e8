//! Computes CRAT, the client retry-after time, after which a rejected client should retry.
//!
//! A client that retries while all endpoints are congested is rejected again, and clients that all retry at
//! the same moment overload the endpoints once more. So CRAT counts from the earliest time at which a
//! congested endpoint gets a trial, and retries are spread at random over an interval of length T.

use super::endpoint_set::EndpointSet;

/// T is the remaining latency objective divided by this value, so that a client that retries between T and
/// 2 T from now can still be served within the objective.
const OBJECTIVE_DIVISOR: f64 = 4.0;
/// T is at most the longest retry-after time that clients honour, divided by this value, so that 2 T is not
/// above that time.
const MAX_RETRY_AFTER_DIVISOR: f64 = 2.0;

/// Returns CRAT in milliseconds from now: T plus a random 0 to T, preceded by the time until the earliest
/// PRAT if all endpoints are congested, and at most `max_retry_after_ms`.
///
/// `remaining_objective_ms` is the part of the latency objective that remained when the request arrived.
pub(super) fn retry_after_ms(
    now_ms: f64,
    remaining_objective_ms: f64,
    max_retry_after_ms: f64,
    endpoints: &EndpointSet,
    rng: &mut fastrand::Rng,
) -> f64 {
    let longest_spread_ms = max_retry_after_ms / MAX_RETRY_AFTER_DIVISOR;
    let spread_ms = (remaining_objective_ms / OBJECTIVE_DIVISOR).min(longest_spread_ms);
    let until_trial_ms = time_until_first_trial_ms(now_ms, endpoints);
    (until_trial_ms + spread_ms * (1.0 + rng.f64())).min(max_retry_after_ms)
}

/// Returns the time until the earliest PRAT, in milliseconds. Returns 0 if an endpoint in service is not
/// congested, or if no endpoint is in service.
fn time_until_first_trial_ms(now_ms: f64, endpoints: &EndpointSet) -> f64 {
    if endpoints.in_service().any(|endpoint| !endpoint.failures.is_congested()) {
        return 0.0;
    }
    let earliest_prat_ms =
        endpoints.in_service().map(|endpoint| endpoint.failures.prat_ms()).fold(f64::INFINITY, f64::min);
    if earliest_prat_ms.is_finite() { (earliest_prat_ms - now_ms).max(0.0) } else { 0.0 }
}
