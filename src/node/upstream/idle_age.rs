//! Estimates the idle age up to which connections to endpoints can be reused.
//!
//! An endpoint, or a device on the path to it, may drop idle connections sooner than the settings state,
//! and without notice. The next request on such a connection is not read, but answered by a reset. A
//! request that must not be repeated is then lost.
//!
//! The statistics therefore count requests and broken connections by idle age, over all endpoints. If the
//! share of broken connections is clearly higher from some age on, that age becomes the limit. The counts
//! decay, so that the limit follows a change. A limit that only a few endpoints have applies to all of
//! them.
//!
//! The limit costs a new handshake for each connection that is not reused. These handshakes are wasted if
//! the connections break for a reason other than their age.

use std::time::{Duration, Instant};

/// The number of age classes. Class 0 holds new connections. Class 1 begins at age 0; from
/// [`MIN_DISTINGUISHED_AGE_MS`] on, each doubling of the age spans two classes. The last class has no upper
/// bound.
const AGE_CLASSES: usize = 24;
/// Idle ages below this are not distinguished, in milliseconds.
const MIN_DISTINGUISHED_AGE_MS: f64 = 10.0;
/// The counts decay to half after this time.
const HALF_LIFE: Duration = Duration::from_secs(30);
/// An age limit needs at least this (decayed) number of broken connections at or above that age.
const MIN_BROKEN: f64 = 4.0;
/// From the age limit on, the share of broken connections is higher than this multiple of the share among
/// younger connections, plus [`BROKEN_SHARE_MARGIN`].
const BROKEN_SHARE_FACTOR: f64 = 2.0;
/// The margin that is added to [`BROKEN_SHARE_FACTOR`] times the share of broken connections among younger
/// connections. It is a share, from 0 to 1.
const BROKEN_SHARE_MARGIN: f64 = 0.1;

/// Decayed counts of the requests on connections of some ages.
#[derive(Clone, Copy, Debug, Default)]
struct RequestCounts {
    requests: f64,
    /// Requests whose connection broke before the first byte of the response.
    broken: f64,
}

impl RequestCounts {
    fn add(&mut self, other: RequestCounts) {
        self.requests += other.requests;
        self.broken += other.broken;
    }
}

/// Counts of requests and broken connections by the idle age of the connection.
#[derive(Debug)]
pub(super) struct IdleAgeStatistics {
    /// Indexed by age class.
    by_age: [RequestCounts; AGE_CLASSES],
    /// The time up to which the decay has been applied.
    decayed_at: Instant,
}

impl IdleAgeStatistics {
    /// Creates statistics without any requests, which yield no age limit.
    pub fn new() -> IdleAgeStatistics {
        IdleAgeStatistics { by_age: [RequestCounts::default(); AGE_CLASSES], decayed_at: Instant::now() }
    }

    /// Returns the age class of a connection that has been idle for `age`.
    fn age_class(age: Duration) -> usize {
        let doublings = (age.as_secs_f64() * 1000.0 / MIN_DISTINGUISHED_AGE_MS).max(1.0).log2();
        (1 + (2.0 * doublings) as usize).min(AGE_CLASSES - 1)
    }

    /// Returns the lower bound of an age class. Class 1 also holds all ages below its bound.
    fn min_age(age_class: usize) -> Duration {
        Duration::from_secs_f64(MIN_DISTINGUISHED_AGE_MS / 1000.0 * ((age_class as f64 - 1.0) / 2.0).exp2())
    }

    /// Records a request on a connection that had been idle for `age`, or `None` for a new connection.
    /// `is_broken` states whether the connection broke before the first byte of the response.
    pub fn record(&mut self, age: Option<Duration>, is_broken: bool) {
        self.decay();
        if let Some(counts) = self.by_age.get_mut(age.map_or(0, IdleAgeStatistics::age_class)) {
            counts.add(RequestCounts { requests: 1.0, broken: f64::from(u8::from(is_broken)) });
        }
    }

    fn decay(&mut self) {
        let factor = 0.5_f64.powf(self.decayed_at.elapsed().as_secs_f64() / HALF_LIFE.as_secs_f64());
        self.decayed_at = Instant::now();
        for counts in &mut self.by_age {
            counts.requests *= factor;
            counts.broken *= factor;
        }
    }

    /// Returns the lowest age from which on connections should not be reused. Returns `None` if there is no
    /// such age.
    ///
    /// The limit is the beginning of the first age class of which a larger share of connections breaks than
    /// among all younger connections. The same must hold for that class and all older classes together.
    pub fn age_limit(&self) -> Option<Duration> {
        let mut total = RequestCounts::default();
        self.by_age.iter().for_each(|counts| total.add(*counts));
        let mut younger = RequestCounts::default();
        self.by_age.iter().enumerate().find_map(|(age_class, counts)| {
            let younger_share = younger.broken / f64::max(younger.requests, 1.0);
            let max_share = younger_share * BROKEN_SHARE_FACTOR + BROKEN_SHARE_MARGIN;
            let class_and_older = RequestCounts {
                requests: total.requests - younger.requests,
                broken: total.broken - younger.broken,
            };
            younger.add(*counts);
            let exceeds_share = |counts: &RequestCounts| counts.broken > counts.requests * max_share;
            let has_too_many_broken = exceeds_share(counts)
                && exceeds_share(&class_and_older)
                && class_and_older.broken >= MIN_BROKEN;
            (has_too_many_broken && age_class > 0).then(|| IdleAgeStatistics::min_age(age_class))
        })
    }
}
