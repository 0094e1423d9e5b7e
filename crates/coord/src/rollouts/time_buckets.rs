//! Histograms of times to the first byte, in half octaves of 1 ms.

use crate::time::Millis;

/// The number of buckets. The last begins at about four hours, longer than a request runs.
const BUCKETS: usize = 48;

/// The bucket of a time: two for each doubling, beginning at 1 ms.
pub(super) fn bucket(time: Millis) -> u8 {
    let octaves = (time.0.max(1) as f64).log2();
    ((2.0 * octaves) as usize).min(BUCKETS - 1) as u8
}

/// The middle of a bucket in milliseconds, on a logarithmic scale.
fn middle(bucket: usize) -> f64 {
    2f64.powf((bucket as f64 + 0.5) / 2.0)
}

/// Numbers of answers by bucket. Those of the past may be decayed, hence no integers.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct TimeBuckets([f64; BUCKETS]);

impl Default for TimeBuckets {
    fn default() -> Self {
        Self([0.0; BUCKETS])
    }
}

impl TimeBuckets {
    /// Adds answers to a bucket; those above the last belong to it.
    pub fn add(&mut self, bucket: u8, count: f64) {
        self.0[usize::from(bucket).min(BUCKETS - 1)] += count;
    }

    pub fn add_all(&mut self, other: &Self) {
        self.0.iter_mut().zip(&other.0).for_each(|(it, other)| *it += other);
    }

    pub fn scale(&mut self, factor: f64) {
        self.0.iter_mut().for_each(|it| *it *= factor);
    }

    pub fn count(&self) -> f64 {
        self.0.iter().sum()
    }

    /// The median in milliseconds, interpolated within its bucket; `None` if empty.
    pub fn median(&self) -> Option<f64> {
        let half = self.count() / 2.0;
        let mut below = 0.0;
        for (at, count) in self.0.iter().enumerate().filter(|(_, it)| **it > 0.0) {
            if below + count >= half {
                let part = (half - below) / count;
                return Some(2f64.powf((at as f64 + part) / 2.0));
            }
            below += count;
        }
        None
    }

    /// The number of answers in buckets whose middle is above `millis`.
    pub fn above(&self, millis: f64) -> f64 {
        let slow = self.0.iter().enumerate().filter(|(at, _)| middle(*at) > millis);
        slow.map(|(_, it)| it).sum()
    }
}
