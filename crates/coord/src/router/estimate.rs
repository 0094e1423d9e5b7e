//! Measured stage times by pool, stage and size of the input.

use {
    crate::{
        ids::{PoolName, StageName},
        time::Millis,
    },
    indexmap::IndexMap,
};

/// The weight of a new measurement in the moving averages, as in TCP's
/// estimate of round-trip times (RFC 6298).
const MEAN_GAIN: f64 = 0.125;
const DEVIATION_GAIN: f64 = 0.25;
/// Before so many measurements nothing is refused on an estimate.
const MIN_SAMPLES: u32 = 8;
/// The most rows kept.
const MAX_ROWS: usize = 4096;

#[derive(Debug, Clone, Copy, Default)]
struct Row {
    mean: f64,
    deviation: f64,
    count: u32,
}

/// Moving averages of stage times.
#[derive(Debug, Default)]
pub struct Estimator {
    rows: IndexMap<(PoolName, StageName, u32), Row>,
}

impl Estimator {
    /// Takes in the time that a stage took for an input of some bytes.
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

    /// The mean stage time, once enough is known.
    pub fn mean(&self, pool: &PoolName, stage: &StageName, size: usize) -> Option<Millis> {
        let row = self.row(pool, stage, size)?;
        Some(Millis(row.mean as u64))
    }

    /// A time that the stage mostly keeps to, once enough is known.
    pub fn typical_max(&self, pool: &PoolName, stage: &StageName, size: usize) -> Option<Millis> {
        let row = self.row(pool, stage, size)?;
        Some(Millis((row.mean + row.deviation) as u64))
    }

    /// A time that the stage seldom exceeds, once enough is known.
    pub fn upper_bound(&self, pool: &PoolName, stage: &StageName, size: usize) -> Option<Millis> {
        let row = self.row(pool, stage, size)?;
        Some(Millis((row.mean + 4.0 * row.deviation) as u64))
    }

    fn row(&self, pool: &PoolName, stage: &StageName, size: usize) -> Option<&Row> {
        let key = (pool.clone(), stage.clone(), bucket(size));
        self.rows.get(&key).filter(|it| it.count >= MIN_SAMPLES)
    }
}

/// Inputs of the same power of two in bytes share a row.
fn bucket(size: usize) -> u32 {
    usize::BITS - size.leading_zeros()
}
