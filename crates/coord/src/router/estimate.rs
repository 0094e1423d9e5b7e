//! Moving averages of stage times by pool, stage and input size.

use {
    crate::{
        ids::{PoolName, StageName},
        time::Millis,
    },
    indexmap::IndexMap,
};

/// The weights of a new measurement in the mean and the mean deviation, as in
/// TCP's estimate of round-trip times (RFC 6298).
const MEAN_GAIN: f64 = 0.125;
const DEVIATION_GAIN: f64 = 0.25;
/// The number of measurements below which there is no estimate, so that no
/// request is refused because of it.
const MIN_SAMPLES: u32 = 8;
/// The maximum number of rows; a full table is cleared.
const MAX_ROWS: usize = 4096;

#[derive(Debug, Clone, Copy, Default)]
struct Row {
    mean: f64,
    deviation: f64,
    count: u32,
}

/// Estimates stage times.
#[derive(Debug, Default)]
pub struct Estimator {
    rows: IndexMap<(PoolName, StageName, u32), Row>,
}

impl Estimator {
    /// Records the time of a stage for an input of `size` bytes.
    pub fn record(&mut self, pool: &PoolName, stage: &StageName, size: usize, took: Millis) {
        let key = (pool.clone(), stage.clone(), bucket(size));
        if self.rows.len() >= MAX_ROWS && !self.rows.contains_key(&key) {
            self.rows.clear();
        }
        let row = self.rows.entry(key).or_default();
        let took = took.0 as f64;
        if row.count == 0 {
            row.mean = took;
            row.deviation = took / 2.0;
        } else {
            row.deviation += DEVIATION_GAIN * ((took - row.mean).abs() - row.deviation);
            row.mean += MEAN_GAIN * (took - row.mean);
        }
        row.count = row.count.saturating_add(1);
    }

    /// The mean stage time, if there are enough measurements.
    pub fn mean(&self, pool: &PoolName, stage: &StageName, size: usize) -> Option<Millis> {
        let row = self.row(pool, stage, size)?;
        Some(Millis(row.mean as u64))
    }

    /// The mean plus the mean deviation, if there are enough measurements.
    pub fn typical_max(&self, pool: &PoolName, stage: &StageName, size: usize) -> Option<Millis> {
        let row = self.row(pool, stage, size)?;
        Some(Millis((row.mean + row.deviation) as u64))
    }

    /// The mean plus four mean deviations, which a stage rarely exceeds, if
    /// there are enough measurements.
    pub fn upper_bound(&self, pool: &PoolName, stage: &StageName, size: usize) -> Option<Millis> {
        let row = self.row(pool, stage, size)?;
        Some(Millis((row.mean + 4.0 * row.deviation) as u64))
    }

    fn row(&self, pool: &PoolName, stage: &StageName, size: usize) -> Option<&Row> {
        let key = (pool.clone(), stage.clone(), bucket(size));
        self.rows.get(&key).filter(|it| it.count >= MIN_SAMPLES)
    }
}

/// The bucket of an input size in bytes; buckets are powers of two.
fn bucket(size: usize) -> u32 {
    usize::BITS - size.leading_zeros()
}
