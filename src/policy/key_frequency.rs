//! Estimates what share of this node's requests is for each key, to detect hot keys.
//!
//! The requests for a key go to two candidate endpoints. A key with a large share of the traffic overloads
//! both, so the share has to be known. Exact counts of all keys would take unbounded memory; a count-min
//! sketch of two rows takes constant memory, and its counts decay exponentially.

/// Number of counters in a row.
const COUNTERS_PER_ROW: usize = 2048;
/// Time constant of the exponential decay of the counts, in milliseconds. It is long enough for a node with
/// few requests per second to receive a hot key again.
const COUNT_TIME_CONSTANT_MS: f64 = 15_000.0;
/// Lower bound of the number of requests that a share is taken of: a share cannot be estimated from fewer.
const MIN_REQUESTS: f64 = 20.0;

/// Prior for the share of any key at a node with sparse traffic, in requests. While the node has counted
/// [`MIN_REQUESTS`] requests or fewer, it corresponds to a share of this number divided by `MIN_REQUESTS`.
/// It is above 0 because most requests are for popular keys.
pub(super) const SPARSE_TRAFFIC_PRIOR_REQUESTS: f64 = 0.8;

/// A count-min sketch of the requests for each key, with decaying counts.
#[derive(Debug)]
pub(super) struct KeyFrequencySketch {
    rows: [Vec<f32>; 2],
    /// Decaying count of requests for all keys.
    total_requests: f64,
}

impl KeyFrequencySketch {
    /// Creates a sketch that has counted no requests.
    pub fn new() -> KeyFrequencySketch {
        KeyFrequencySketch {
            rows: [vec![0.0; COUNTERS_PER_ROW], vec![0.0; COUNTERS_PER_ROW]],
            total_requests: 0.0,
        }
    }

    /// Returns the index of the key's counter in each row. `hashed_key` is the output of
    /// [`mix`](super::hash::mix).
    fn counter_indices(hashed_key: u64) -> [usize; 2] {
        [hashed_key as usize % COUNTERS_PER_ROW, (hashed_key >> 32) as usize % COUNTERS_PER_ROW]
    }

    /// Counts one request for a key.
    pub fn record(&mut self, hashed_key: u64) {
        for (row, index) in self.rows.iter_mut().zip(KeyFrequencySketch::counter_indices(hashed_key)) {
            row[index] += 1.0;
        }
        self.total_requests += 1.0;
    }

    /// Decays the counts exponentially over `seconds`.
    pub fn decay(&mut self, seconds: f64) {
        let retained = (-seconds * 1000.0 / COUNT_TIME_CONSTANT_MS).exp();
        self.rows.iter_mut().flatten().for_each(|count| *count *= retained as f32);
        self.total_requests *= retained;
    }

    /// Returns the estimated share of the traffic that is for a key, 0 to 1. The first request counted for
    /// a key is no evidence that the key is hot; `prior_requests` is added in its place.
    pub fn share(&self, hashed_key: u64, prior_requests: f64) -> f64 {
        let [first, second] = KeyFrequencySketch::counter_indices(hashed_key);
        let count = self.rows[0][first].min(self.rows[1][second]);
        (f64::from(count - 1.0).max(0.0) + prior_requests) / self.total_requests.max(MIN_REQUESTS)
    }
}
