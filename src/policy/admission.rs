//! Which requests are admitted when there are more than the endpoints can serve in time.
//!
//! Under overload everything is late and nothing of value, unless part of the requests is shed. Each node
//! estimates the overload of the fleet from its own outcomes and from reported utilization, and moves an
//! admission level: the part of the offered work that is let in. The level is filled by priority weight, so
//! that what has the lowest value is shed first. A limit on the requests in flight at all endpoints
//! together backs that up between two runs of housekeeping.

use super::action::RejectionReason;
use super::class_statistics::ClassStatistics;
use super::concurrency_limit::TARGET_OVERLOAD;
use super::settings::{LoadReporting, Settings};

/// Mean reported utilization from which the fleet counts as full: the initial value and the minimum.
const MIN_FULL_UTILIZATION: f64 = 0.85;
/// How fast the learned value moves up or down, per second.
const FULL_UTILIZATION_STEP: f64 = 0.03;
/// Prior weight of "no overload", in outcomes. With few outcomes the estimate shrinks towards none, so that
/// a node which admits almost nothing recovers.
const PRIOR_OUTCOMES: f64 = 2.0;
/// Evidence fades to a third in this time, in seconds, so that small nodes still have some.
const EVIDENCE_MEMORY_SECONDS: f64 = 0.5;
/// Offered work fades to a third in this time, in seconds.
const OFFERED_MEMORY_SECONDS: f64 = 2.0;
/// Below this many requests in flight per endpoint, over all nodes, lateness is caused by a fault, which
/// shedding does not cure, and overload counts only in proportion. Does not fit endpoints for which two
/// requests at once are too many.
const FULL_WEIGHT_IN_FLIGHT: f64 = 2.0;
/// The lowest admission level, and the pace of the level per second: it falls by the overload beyond the
/// target and rises by a base plus a proportional part.
const MIN_LEVEL: f64 = 0.02;
const LEVEL_FALL: f64 = 2.0;
const LEVEL_RISE_BASE: f64 = 0.05;
const LEVEL_RISE: f64 = 0.5;
/// Growth of the in-flight limit per second while it is reached without overload.
const IN_FLIGHT_GROWTH: f64 = 0.2;
/// Initial in-flight limit per endpoint, over all nodes: no endpoint is assumed to be too small for it.
const FIRST_IN_FLIGHT_PER_ENDPOINT: f64 = 4.0;
/// Standard deviations that are added to the in-flight limit, because chance alone exceeds a limit of a few
/// requests.
const IN_FLIGHT_DEVIATIONS: f64 = 3.0;
/// Part of the in-flight limit that the requests of the lowest value may not use.
const RESERVED_FOR_HIGHER_RANKS: f64 = 0.3;
/// A class whose served share is within this of the lowest counts, in part, as the worst-served.
const WORST_CLASS_MARGIN: f64 = 0.05;
/// Smallest divisor, against division by zero.
const TINY: f64 = 1e-9;

/// Whether a request can still be answered within its latency objective, counted from its client's first
/// try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Freshness {
    /// An answer can still come within the objective.
    InTime,
    /// Earlier tries of its client have used up the objective.
    TooOld,
}

impl Freshness {
    const ALL: [Freshness; 2] = [Freshness::InTime, Freshness::TooOld];
}

/// Requests of one class and freshness.
#[derive(Clone, Copy, Debug)]
struct Stratum {
    /// Offered work, in milliseconds; it fades.
    offered_ms: f64,
    /// Chance of being admitted, 0 to 1.
    admission_chance: f64,
    /// Part of the in-flight limit that it may fill.
    in_flight_part: f64,
}

const OPEN_STRATUM: Stratum = Stratum { offered_ms: 0.0, admission_chance: 1.0, in_flight_part: 1.0 };

/// Which requests are admitted.
#[derive(Debug)]
pub(super) struct Admission {
    /// Part of the offered work that is let in, 0 to 1.
    level: f64,
    /// Share of overload in recent outcomes, 0 to 1.
    overload: f64,
    evidence: Evidence,
    /// Share of endpoints that are congested or at their limit, as of the last housekeeping.
    blocked_share: f64,
    /// Mean of what this node has in flight, over a second or so.
    mean_in_flight: f64,
    /// Mean utilization above which the fleet is too full.
    full_utilization: f64,
    /// How much more than the first estimate this node may have in flight at all endpoints together.
    in_flight_growth: f64,
    /// A request has hit that limit since the last housekeeping.
    in_flight_limit_hit: bool,
    /// By class and freshness.
    strata: Vec<[Stratum; 2]>,
}

/// Recent outcomes, by the value of their requests; they fade.
#[derive(Debug, Default)]
struct Evidence {
    good: f64,
    bad: f64,
    outcomes: f64,
}

/// What admission sees of a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub class: usize,
    pub freshness: Freshness,
    /// Work that it brings, in milliseconds.
    pub cost_ms: f64,
    /// Value of an answer.
    pub weight: f64,
}

/// What admission sees of the node and the fleet.
#[derive(Clone, Copy, Debug)]
pub(super) struct FleetView {
    /// Attempts of this node in flight at all endpoints.
    pub in_flight: u32,
    /// Endpoints in service.
    pub endpoints: usize,
    /// Mean utilization that endpoints report, 0 where none does.
    pub utilization: f64,
}

impl Admission {
    /// Admission that is fully open.
    pub fn new(classes: usize) -> Admission {
        Admission {
            level: 1.0,
            overload: 0.0,
            evidence: Evidence::default(),
            blocked_share: 0.0,
            mean_in_flight: 0.0,
            full_utilization: MIN_FULL_UTILIZATION,
            in_flight_growth: 1.0,
            in_flight_limit_hit: false,
            strata: vec![[OPEN_STRATUM; 2]; classes],
        }
    }

    /// Part of the offered work that is let in, 0 to 1.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Share of overload in recent outcomes, 0 to 1.
    pub fn overload(&self) -> f64 {
        self.overload
    }

    /// Records the outcome of a request of this value; `overload` is how overloaded the outcome shows its
    /// endpoint to be, 0 to 1.
    pub fn record_outcome(&mut self, weight: f64, overload: f64) {
        self.evidence.good += weight * (1.0 - overload);
        self.evidence.bad += weight * overload;
        self.evidence.outcomes += 1.0;
    }

    /// Records a request of this value that found no usable endpoint. To the extent that endpoints are
    /// blocked across the fleet this is overload too, so that requests are shed by value and not by chance.
    pub fn record_no_usable_endpoint(&mut self, weight: f64) {
        self.evidence.bad += weight * self.blocked_share;
        self.evidence.outcomes += self.blocked_share;
    }

    /// Decides whether a request is admitted. A request of an unknown class is admitted.
    ///
    /// # Errors
    /// The reason for which it is rejected.
    pub fn decide(
        &mut self,
        candidate: Candidate,
        fleet: FleetView,
        settings: &Settings,
        rng: &mut fastrand::Rng,
    ) -> Result<(), RejectionReason> {
        let Candidate { class, freshness, cost_ms, weight } = candidate;
        let has_no_value = weight <= 0.0;
        let Some(strata) = self.strata.get_mut(class) else {
            return if has_no_value { Err(RejectionReason::ObjectiveMissed) } else { Ok(()) };
        };
        let stratum = &mut strata[freshness as usize];
        stratum.offered_ms += cost_ms;
        let Stratum { admission_chance, in_flight_part, .. } = *stratum;
        let is_shed = !has_no_value && admission_chance < 1.0 && rng.f64() >= admission_chance;
        let limit = self.in_flight_limit(fleet, settings.node_count) * in_flight_part;
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

    /// Requests that this node may have in flight at all endpoints together.
    fn in_flight_limit(&self, fleet: FleetView, node_count: u32) -> f64 {
        let limit = self.in_flight_growth * FIRST_IN_FLIGHT_PER_ENDPOINT * fleet.endpoints as f64
            / f64::from(node_count.max(1));
        (limit + IN_FLIGHT_DEVIATIONS * limit.sqrt()).max(1.0)
    }

    /// Housekeeping, `seconds` after the last: estimates the overload anew and sets the chances of being
    /// admitted.
    pub fn update(
        &mut self,
        seconds: f64,
        blocked_share: f64,
        fleet: FleetView,
        settings: &Settings,
        classes: &[ClassStatistics],
    ) {
        self.blocked_share = blocked_share;
        self.estimate_overload(seconds, fleet, settings.node_count);
        self.learn_full_utilization(seconds, fleet.utilization);
        self.move_level(seconds);
        self.move_in_flight_limit(seconds);
        self.evidence.fade(seconds);
        self.assign_chances(&self.ranked_strata(settings, classes), seconds);
    }

    fn estimate_overload(&mut self, seconds: f64, fleet: FleetView, node_count: u32) {
        self.overload = self.evidence.overload();
        self.mean_in_flight +=
            (1.0 - (-seconds).exp()) * (f64::from(fleet.in_flight) - self.mean_in_flight);
        let per_endpoint =
            self.mean_in_flight * f64::from(node_count.max(1)) / fleet.endpoints.max(1) as f64;
        self.overload *= (per_endpoint / FULL_WEIGHT_IN_FLIGHT).min(1.0);
    }

    /// Load reports show the fleet filling up before answers are late, and endpoints that are too full for
    /// some seconds stay slow for long. If a fleet that counts as full still answers well within its
    /// objectives, the threshold is raised.
    fn learn_full_utilization(&mut self, seconds: f64, utilization: f64) {
        if utilization > self.full_utilization && self.overload < TARGET_OVERLOAD {
            self.full_utilization += FULL_UTILIZATION_STEP * seconds;
        } else if self.overload > 2.0 * TARGET_OVERLOAD {
            self.full_utilization -= FULL_UTILIZATION_STEP * seconds;
        }
        self.full_utilization = self.full_utilization.clamp(MIN_FULL_UTILIZATION, 1.0);
        let excess = (utilization - self.full_utilization) / (1.0 - MIN_FULL_UTILIZATION);
        self.overload = self.overload.max(excess.clamp(0.0, 1.0));
    }

    fn move_level(&mut self, seconds: f64) {
        if self.overload > TARGET_OVERLOAD {
            self.level *= 1.0 - seconds * LEVEL_FALL * (self.overload - TARGET_OVERLOAD);
        } else {
            let pace = LEVEL_RISE_BASE + LEVEL_RISE * self.level;
            self.level += seconds * pace * (1.0 - self.overload / TARGET_OVERLOAD);
        }
        self.level = self.level.clamp(MIN_LEVEL, 1.0);
    }

    fn move_in_flight_limit(&mut self, seconds: f64) {
        if self.in_flight_limit_hit && self.overload < TARGET_OVERLOAD {
            self.in_flight_growth *= 1.0 + IN_FLIGHT_GROWTH * seconds;
        }
        self.in_flight_limit_hit = false;
    }

    /// All strata, ordered by the value gained per unit of work, highest first.
    fn ranked_strata(&self, settings: &Settings, classes: &[ClassStatistics]) -> Vec<RankedStratum> {
        let weights = settings.objective_weights;
        let lowest_served = classes.iter().map(ClassStatistics::served_share).fold(1.0, f64::min);
        let classes = || classes.iter().zip(&settings.classes);
        let total: f64 =
            classes().map(|(statistics, class)| statistics.requested() * class.priority_weight).sum();
        let mut ranked = Vec::with_capacity(2 * self.strata.len());
        for (index, (statistics, class)) in classes().enumerate() {
            let own = (statistics.requested() * class.priority_weight).max(TINY);
            let above_lowest = statistics.served_share() - lowest_served;
            let as_worst = (1.0 - above_lowest / WORST_CLASS_MARGIN).max(0.0);
            let gain = (weights.whole + weights.worst_window) / total.max(TINY)
                + weights.worst_class * as_worst / own;
            let work = if settings.weigh_by_work { 1.0 } else { statistics.mean_ms() };
            for freshness in Freshness::ALL {
                let factor = match freshness {
                    Freshness::InTime => 1.0,
                    Freshness::TooOld => settings.over_quota_weight_factor,
                };
                let value_per_work = class.priority_weight * gain * factor / work;
                ranked.push(RankedStratum { value_per_work, class: index, freshness });
            }
        }
        ranked.sort_by(|a, b| b.value_per_work.total_cmp(&a.value_per_work));
        ranked
    }

    /// Distributes the admission level over the strata in that order, and decays the offered work.
    fn assign_chances(&mut self, ranked: &[RankedStratum], seconds: f64) {
        let retained = (-seconds / OFFERED_MEMORY_SECONDS).exp();
        let offered = |strata: &[Stratum; 2]| strata[0].offered_ms + strata[1].offered_ms;
        let mut left_ms = self.level * self.strata.iter().map(offered).sum::<f64>();
        let last = ranked.len().max(2) as f64 - 1.0;
        for (rank, RankedStratum { class, freshness, .. }) in ranked.iter().enumerate() {
            let stratum = &mut self.strata[*class][*freshness as usize];
            stratum.in_flight_part = 1.0 - RESERVED_FOR_HIGHER_RANKS * rank as f64 / last;
            let offered_ms = stratum.offered_ms;
            let fits = offered_ms <= left_ms || offered_ms <= 0.0;
            stratum.admission_chance = if fits { 1.0 } else { left_ms / offered_ms };
            left_ms = (left_ms - offered_ms).max(0.0);
            stratum.offered_ms *= retained;
        }
    }
}

/// A stratum, and the value gained by admitting it per unit of work.
#[derive(Clone, Copy, Debug)]
struct RankedStratum {
    value_per_work: f64,
    class: usize,
    freshness: Freshness,
}

impl Evidence {
    /// Share of overload in the outcomes, 0 to 1.
    fn overload(&self) -> f64 {
        let share = self.bad / (self.good + self.bad).max(TINY);
        share * self.outcomes / (self.outcomes + PRIOR_OUTCOMES)
    }

    fn fade(&mut self, seconds: f64) {
        let retained = (-seconds / EVIDENCE_MEMORY_SECONDS).exp();
        self.good *= retained;
        self.bad *= retained;
        self.outcomes *= retained;
    }
}
