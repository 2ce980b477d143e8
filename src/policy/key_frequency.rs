//! Which keys are hot: a sketch of how often each key is requested at this node.
//!
//! A key's requests go to two candidates. One with a large part of the traffic overloads both, so its share
//! has to be known. Counting every key would take memory without bound; a count-min sketch of two rows
//! holds the counts within a constant one, and fades.

/// Counters in a row.
const SLOTS: usize = 2048;
/// Counts fade to a third in this time, in milliseconds: long enough for a node with few requests a second
/// to meet a hot key again.
const MEMORY_MS: f64 = 15_000.0;
/// A share is taken of at least this many requests: it cannot be estimated from fewer.
const MIN_EVIDENCE: f64 = 20.0;

/// What a node with sparse traffic takes the share of any key for, in requests of `MIN_EVIDENCE`: most
/// requests are for popular keys.
pub(super) const SPARSE_TRAFFIC_GUESS: f64 = 0.8;

/// Decaying counts of keys.
#[derive(Debug)]
pub(super) struct KeyFrequencySketch {
    rows: [Vec<f32>; 2],
    total: f64,
}

impl KeyFrequencySketch {
    /// A sketch that has counted nothing.
    pub fn new() -> KeyFrequencySketch {
        KeyFrequencySketch { rows: [vec![0.0; SLOTS], vec![0.0; SLOTS]], total: 0.0 }
    }

    /// The counter of a mixed key in each row.
    fn slots(key: u64) -> [usize; 2] {
        [key as usize % SLOTS, (key >> 32) as usize % SLOTS]
    }

    /// Counts one request for a mixed key.
    pub fn record(&mut self, key: u64) {
        for (row, slot) in self.rows.iter_mut().zip(KeyFrequencySketch::slots(key)) {
            row[slot] += 1.0;
        }
        self.total += 1.0;
    }

    /// Lets counts fade by the time that has passed.
    pub fn decay(&mut self, seconds: f64) {
        let keep = (-seconds * 1000.0 / MEMORY_MS).exp();
        self.rows.iter_mut().flatten().for_each(|count| *count *= keep as f32);
        self.total *= keep;
    }

    /// Part of the traffic that is for a mixed key, 0 to 1. One request says nothing beyond the `guess`,
    /// which is in requests.
    pub fn share(&self, key: u64, guess: f64) -> f64 {
        let [first, second] = KeyFrequencySketch::slots(key);
        let count = self.rows[0][first].min(self.rows[1][second]);
        (f64::from(count - 1.0).max(0.0) + guess) / self.total.max(MIN_EVIDENCE)
    }
}
