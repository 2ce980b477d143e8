//! Decides which requests are admitted when the endpoints cannot serve all of them in time.
//!
//! When the endpoints are overloaded, every answer is late and has lost its value, unless some of the
//! requests are shed.
//!
//! Each node estimates the overload of the fleet, which is all endpoints together, from the outcomes of its
//! own attempts and from the utilization that endpoints report. From this estimate it adjusts an admission
//! level: the share of the offered work that is admitted. The level is distributed over the classes of
//! requests in order of the value gained per unit of work, so that requests of the lowest value are shed
//! first. A limit on this node's requests in flight at all endpoints together protects the endpoints
//! between two runs of housekeeping.

use super::action::RejectionReason;
use super::class_statistics::ClassStatistics;
use super::concurrency_limit::TARGET_OVERLOAD;
use super::settings::{LoadReporting, Settings};

/// Mean reported utilization, 0 to 1, above which the fleet counts as full. This is the initial value and
/// the lower bound of the learned threshold.
const MIN_FULL_UTILIZATION: f64 = 0.85;
/// Change of the learned full-utilization threshold per second, in either direction.
const FULL_UTILIZATION_CHANGE_PER_SECOND: f64 = 0.03;
/// Weight of the prior assumption of no overload, in outcomes. With few outcomes the estimate shrinks
/// towards zero, so that a node that admits almost nothing recovers.
const PRIOR_OUTCOMES: f64 = 2.0;
/// Time constant of the exponential decay of recent outcomes, in seconds. It is long enough for a node with
/// little traffic to hold some outcomes.
const OUTCOME_TIME_CONSTANT_SECONDS: f64 = 0.5;
/// Time constant of the exponential decay of the offered work, in seconds.
const OFFERED_WORK_TIME_CONSTANT_SECONDS: f64 = 2.0;
/// Mean requests in flight per endpoint, summed over all nodes, from which the estimated overload counts in
/// full. Below it the overload is scaled down in proportion: with so few requests in flight, late answers
/// are caused by a fault, and shedding load does not cure a fault. The value is too high for endpoints that
/// two concurrent requests already overload.
const FULL_OVERLOAD_IN_FLIGHT_PER_ENDPOINT: f64 = 2.0;
/// Lower bound of the admission level, as a share of the offered work.
const MIN_LEVEL: f64 = 0.02;
/// Relative decrease of the admission level per second and unit of overload beyond [`TARGET_OVERLOAD`].
const LEVEL_DECREASE_PER_SECOND: f64 = 2.0;
/// Increase of the admission level per second without overload, independent of the level. Both increases
/// shrink to zero as the overload approaches [`TARGET_OVERLOAD`].
const LEVEL_BASE_INCREASE_PER_SECOND: f64 = 0.05;
/// Additional increase of the admission level per second without overload, as a share of the level.
const LEVEL_PROPORTIONAL_INCREASE_PER_SECOND: f64 = 0.5;
/// Growth of the in-flight limit per second, as a share of the limit, while requests reach the limit and
/// there is no overload.
const IN_FLIGHT_LIMIT_GROWTH_PER_SECOND: f64 = 0.2;
/// Initial in-flight limit per endpoint, in requests, summed over all nodes. Every endpoint is assumed to
/// be able to hold this many.
const INITIAL_IN_FLIGHT_PER_ENDPOINT: f64 = 4.0;
/// Standard deviations added to the in-flight limit, because random variation alone exceeds a limit of a
/// few requests.
const IN_FLIGHT_MARGIN_DEVIATIONS: f64 = 3.0;
/// Share of the in-flight limit that requests of the lowest rank may not use.
const RESERVED_IN_FLIGHT_SHARE: f64 = 0.3;
/// Margin, as a difference of served shares, within which a class counts in part as the worst-served class.
/// It counts in full at the lowest served share and not at all at this distance from it.
const WORST_CLASS_MARGIN: f64 = 0.05;
/// Lower bound of divisors, which prevents a division by zero.
const MIN_DIVISOR: f64 = 1e-9;

/// Whether a request can still be answered within its latency objective, measured from the first try of its
/// client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Freshness {
    /// An answer can still arrive within the objective.
    InTime,
    /// Earlier tries of the client have used up the objective.
    TooOld,
}

impl Freshness {
    const ALL: [Freshness; 2] = [Freshness::InTime, Freshness::TooOld];
}

/// Admission state of the requests of one class and freshness.
#[derive(Clone, Copy, Debug)]
struct RequestGroup {
    /// Work offered recently, in milliseconds; decays exponentially.
    offered_ms: f64,
    /// Probability of admission, 0 to 1, set by housekeeping.
    admission_chance: f64,
    /// Share of the in-flight limit that these requests may fill, 0 to 1.
    in_flight_share: f64,
}

/// The initial state of every group: all requests are admitted.
const UNRESTRICTED_GROUP: RequestGroup =
    RequestGroup { offered_ms: 0.0, admission_chance: 1.0, in_flight_share: 1.0 };

/// The admission control of one node.
#[derive(Debug)]
pub(super) struct Admission {
    /// Share of the offered work that is admitted, from [`MIN_LEVEL`] to 1.
    level: f64,
    /// Estimated overload of the fleet, 0 to 1, as of the last housekeeping.
    overload: f64,
    recent_outcomes: RecentOutcomes,
    /// Share of endpoints, 0 to 1, that are congested or at their concurrency limit, as of the last
    /// housekeeping.
    blocked_share: f64,
    /// Moving average of this node's attempts in flight, with a time constant of one second.
    mean_in_flight: f64,
    /// Learned mean utilization, 0 to 1, above which the fleet counts as full.
    full_utilization: f64,
    /// Factor by which the in-flight limit has grown beyond its initial value, at least 1.
    in_flight_limit_factor: f64,
    /// Whether a request has reached the in-flight limit since the last housekeeping.
    in_flight_limit_hit: bool,
    /// Groups of requests, by class and then by freshness.
    groups: Vec<[RequestGroup; 2]>,
}

/// Recent outcomes, weighted by the value of their requests; all figures decay exponentially.
#[derive(Debug, Default)]
struct RecentOutcomes {
    /// Value of requests, to the extent that their outcomes show no overload.
    normal_weight: f64,
    /// Value of requests, to the extent that their outcomes show overload.
    overloaded_weight: f64,
    /// Number of outcomes, not weighted by value.
    count: f64,
}

/// The properties of a request that the admission decision depends on.
#[derive(Clone, Copy, Debug)]
pub(super) struct OfferedRequest {
    pub class: usize,
    pub freshness: Freshness,
    /// Estimated work of the request, in milliseconds.
    pub cost_ms: f64,
    /// Value of an answer, in units of the class's priority weight; 0 if an answer would be worthless.
    pub weight: f64,
}

/// The load of this node and the size and load of the fleet, at the time of a decision or of housekeeping.
#[derive(Clone, Copy, Debug)]
pub(super) struct FleetLoad {
    /// Attempts of this node in flight at all endpoints.
    pub in_flight: u32,
    /// Number of endpoints in service.
    pub endpoints: usize,
    /// Mean utilization that endpoints report, 0 to 1; 0 if none reports any.
    pub utilization: f64,
}

impl Admission {
    /// Creates the state for `class_count` request classes, with every request admitted.
    pub fn new(class_count: usize) -> Admission {
        Admission {
            level: 1.0,
            overload: 0.0,
            recent_outcomes: RecentOutcomes::default(),
            blocked_share: 0.0,
            mean_in_flight: 0.0,
            full_utilization: MIN_FULL_UTILIZATION,
            in_flight_limit_factor: 1.0,
            in_flight_limit_hit: false,
            groups: vec![[UNRESTRICTED_GROUP; 2]; class_count],
        }
    }

    /// Share of the offered work that is admitted, 0 to 1.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Estimated overload of the fleet, 0 to 1, as of the last housekeeping.
    pub fn overload(&self) -> f64 {
        self.overload
    }

    /// Records the outcome of an attempt for a request whose answer is worth `weight`. `overload`, 0 to 1,
    /// is the degree of overload that the outcome shows at the endpoint.
    pub fn record_outcome(&mut self, weight: f64, overload: f64) {
        self.recent_outcomes.normal_weight += weight * (1.0 - overload);
        self.recent_outcomes.overloaded_weight += weight * overload;
        self.recent_outcomes.count += 1.0;
    }

    /// Records a request worth `weight` that found no usable endpoint. This counts as overload in
    /// proportion to the share of endpoints that are blocked, so that requests are then shed by value and
    /// not at random.
    pub fn record_no_usable_endpoint(&mut self, weight: f64) {
        self.recent_outcomes.overloaded_weight += weight * self.blocked_share;
        self.recent_outcomes.count += self.blocked_share;
    }

    /// Decides whether a request is admitted. The in-flight limit applies only if endpoints report their
    /// load. A request of an unknown class is admitted unless its weight is 0.
    ///
    /// # Errors
    /// Returns the reason for the rejection.
    pub fn decide(
        &mut self,
        offered: OfferedRequest,
        fleet: FleetLoad,
        settings: &Settings,
        rng: &mut fastrand::Rng,
    ) -> Result<(), RejectionReason> {
        let OfferedRequest { class, freshness, cost_ms, weight } = offered;
        let has_no_value = weight <= 0.0;
        let Some(groups) = self.groups.get_mut(class) else {
            return if has_no_value { Err(RejectionReason::ObjectiveMissed) } else { Ok(()) };
        };
        let group = &mut groups[freshness as usize];
        group.offered_ms += cost_ms;
        let RequestGroup { admission_chance, in_flight_share, .. } = *group;
        let is_shed = !has_no_value && admission_chance < 1.0 && rng.f64() >= admission_chance;
        let limit = self.in_flight_limit(fleet, settings.node_count) * in_flight_share;
        let is_at_limit =
            settings.load_reporting != LoadReporting::None && f64::from(fleet.in_flight) + 1.0 > limit;
        self.in_flight_limit_hit |= is_at_limit;
        if has_no_value {
            Err(RejectionReason::ObjectiveMissed)
        } else if is_shed {
            Err(RejectionReason::LoadShed)
        } else if is_at_limit {
            Err(RejectionReason::InFlightLimit)
        } else {
            Ok(())
        }
    }

    /// Returns the number of requests that this node may have in flight at all endpoints together.
    fn in_flight_limit(&self, fleet: FleetLoad, node_count: u32) -> f64 {
        let limit = self.in_flight_limit_factor * INITIAL_IN_FLIGHT_PER_ENDPOINT * fleet.endpoints as f64
            / f64::from(node_count.max(1));
        (limit + IN_FLIGHT_MARGIN_DEVIATIONS * limit.sqrt()).max(1.0)
    }

    /// Updates the overload estimate, the admission level, the in-flight limit and the probabilities of
    /// admission by a time step of `seconds`. Housekeeping calls it.
    pub fn update(
        &mut self,
        seconds: f64,
        blocked_share: f64,
        fleet: FleetLoad,
        settings: &Settings,
        class_statistics: &[ClassStatistics],
    ) {
        self.blocked_share = blocked_share;
        self.estimate_overload(seconds, fleet, settings.node_count);
        self.learn_full_utilization(seconds, fleet.utilization);
        self.adjust_level(seconds);
        self.adjust_in_flight_limit(seconds);
        self.recent_outcomes.decay(seconds);
        self.assign_admission_chances(&self.rank_groups(settings, class_statistics), seconds);
    }

    /// Estimates the overload from recent outcomes, scaled down if there are few requests in flight.
    fn estimate_overload(&mut self, seconds: f64, fleet: FleetLoad, node_count: u32) {
        self.overload = self.recent_outcomes.overload();
        self.mean_in_flight +=
            (1.0 - (-seconds).exp()) * (f64::from(fleet.in_flight) - self.mean_in_flight);
        let per_endpoint =
            self.mean_in_flight * f64::from(node_count.max(1)) / fleet.endpoints.max(1) as f64;
        self.overload *= (per_endpoint / FULL_OVERLOAD_IN_FLIGHT_PER_ENDPOINT).min(1.0);
    }

    /// Adjusts the full-utilization threshold, and raises the overload estimate if the reported utilization
    /// exceeds the threshold.
    ///
    /// Load reports show that the fleet fills up before answers are late, and endpoints that are too full
    /// for some seconds stay slow for a long time. If the fleet counts as full but still answers well
    /// within its objectives, the threshold is raised.
    fn learn_full_utilization(&mut self, seconds: f64, utilization: f64) {
        if utilization > self.full_utilization && self.overload < TARGET_OVERLOAD {
            self.full_utilization += FULL_UTILIZATION_CHANGE_PER_SECOND * seconds;
        } else if self.overload > 2.0 * TARGET_OVERLOAD {
            self.full_utilization -= FULL_UTILIZATION_CHANGE_PER_SECOND * seconds;
        }
        self.full_utilization = self.full_utilization.clamp(MIN_FULL_UTILIZATION, 1.0);
        let excess = (utilization - self.full_utilization) / (1.0 - MIN_FULL_UTILIZATION);
        self.overload = self.overload.max(excess.clamp(0.0, 1.0));
    }

    fn adjust_level(&mut self, seconds: f64) {
        if self.overload > TARGET_OVERLOAD {
            self.level *= 1.0 - seconds * LEVEL_DECREASE_PER_SECOND * (self.overload - TARGET_OVERLOAD);
        } else {
            let increase_per_second =
                LEVEL_BASE_INCREASE_PER_SECOND + LEVEL_PROPORTIONAL_INCREASE_PER_SECOND * self.level;
            self.level += seconds * increase_per_second * (1.0 - self.overload / TARGET_OVERLOAD);
        }
        self.level = self.level.clamp(MIN_LEVEL, 1.0);
    }

    fn adjust_in_flight_limit(&mut self, seconds: f64) {
        if self.in_flight_limit_hit && self.overload < TARGET_OVERLOAD {
            self.in_flight_limit_factor *= 1.0 + IN_FLIGHT_LIMIT_GROWTH_PER_SECOND * seconds;
        }
        self.in_flight_limit_hit = false;
    }

    /// Returns all groups, ordered by the value gained per unit of work, highest first.
    fn rank_groups(&self, settings: &Settings, class_statistics: &[ClassStatistics]) -> Vec<RankedGroup> {
        let weights = settings.objective_weights;
        let lowest_served_share =
            class_statistics.iter().map(ClassStatistics::served_share).fold(1.0, f64::min);
        let classes = || class_statistics.iter().zip(&settings.classes);
        let total_value: f64 = classes()
            .map(|(statistics, class)| statistics.recent_first_tries() * class.priority_weight)
            .sum();
        let mut ranked = Vec::with_capacity(2 * self.groups.len());
        for (index, (statistics, class)) in classes().enumerate() {
            let class_value = (statistics.recent_first_tries() * class.priority_weight).max(MIN_DIVISOR);
            let share_above_lowest = statistics.served_share() - lowest_served_share;
            let worst_class_share = (1.0 - share_above_lowest / WORST_CLASS_MARGIN).max(0.0);
            let objective_gain = (weights.entire_run + weights.worst_window) / total_value.max(MIN_DIVISOR)
                + weights.worst_class * worst_class_share / class_value;
            let work = if settings.value_scales_with_work { 1.0 } else { statistics.mean_ms() };
            for freshness in Freshness::ALL {
                let freshness_factor = match freshness {
                    Freshness::InTime => 1.0,
                    Freshness::TooOld => settings.over_quota_weight_factor,
                };
                let value_per_work = class.priority_weight * objective_gain * freshness_factor / work;
                ranked.push(RankedGroup { value_per_work, class: index, freshness });
            }
        }
        ranked.sort_by(|a, b| b.value_per_work.total_cmp(&a.value_per_work));
        ranked
    }

    /// Distributes the admission level over the groups in the order of `ranked`, and decays the offered
    /// work.
    fn assign_admission_chances(&mut self, ranked: &[RankedGroup], seconds: f64) {
        let retained = (-seconds / OFFERED_WORK_TIME_CONSTANT_SECONDS).exp();
        let offered = |groups: &[RequestGroup; 2]| groups[0].offered_ms + groups[1].offered_ms;
        let mut remaining_ms = self.level * self.groups.iter().map(offered).sum::<f64>();
        let last_rank = ranked.len().max(2) as f64 - 1.0;
        for (rank, RankedGroup { class, freshness, .. }) in ranked.iter().enumerate() {
            let group = &mut self.groups[*class][*freshness as usize];
            group.in_flight_share = 1.0 - RESERVED_IN_FLIGHT_SHARE * rank as f64 / last_rank;
            let offered_ms = group.offered_ms;
            let is_admitted_in_full = offered_ms <= remaining_ms || offered_ms <= 0.0;
            group.admission_chance = if is_admitted_in_full { 1.0 } else { remaining_ms / offered_ms };
            remaining_ms = (remaining_ms - offered_ms).max(0.0);
            group.offered_ms *= retained;
        }
    }
}

/// A group of requests, with the value that orders the groups for admission.
#[derive(Clone, Copy, Debug)]
struct RankedGroup {
    /// Gain in the service objective per unit of work.
    value_per_work: f64,
    class: usize,
    freshness: Freshness,
}

impl RecentOutcomes {
    /// Returns the share of overload in the outcomes, 0 to 1, reduced if there are few outcomes.
    fn overload(&self) -> f64 {
        let share = self.overloaded_weight / (self.normal_weight + self.overloaded_weight).max(MIN_DIVISOR);
        share * self.count / (self.count + PRIOR_OUTCOMES)
    }

    /// Decays all figures exponentially over `seconds`.
    fn decay(&mut self, seconds: f64) {
        let retained = (-seconds / OUTCOME_TIME_CONSTANT_SECONDS).exp();
        self.normal_weight *= retained;
        self.overloaded_weight *= retained;
        self.count *= retained;
    }
}
