//! What renewals and their replies say about the load of endpoints.

use {
    crate::{
        ids::{EndpointName, Generation},
        time::Millis,
    },
    base64::{Engine, engine::general_purpose::STANDARD},
    serde::{Deserialize, Serialize},
    snafu::{ResultExt, Snafu},
    std::{fmt, num::ParseIntError, str::FromStr, sync::Arc},
};

/// The most endpoints that one renewal reports. It bounds the message of an instance that
/// has requests at all endpoints of a large system.
pub const MAX_LOAD_ROWS: usize = 1024;
/// Steps of the run time's code per doubling: a step is 9 %, less than run times vary.
const STEPS_PER_DOUBLING: f64 = 8.0;

/// The processor share of an instance, in thousandths of a core; zero if it isn't known.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Capacity(pub u32);

impl Capacity {
    /// Whether it isn't known.
    pub fn is_unknown(&self) -> bool {
        self.0 == 0
    }
}

impl fmt::Display for Capacity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Why a text isn't a capacity.
#[derive(Debug, Snafu)]
#[snafu(display("it isn't a number of thousandths of a core: {source}"))]
pub struct CapacityError {
    source: ParseIntError,
}

impl FromStr for Capacity {
    type Err = CapacityError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self).context(CapacitySnafu)
    }
}

/// What an instance has in flight at one start of an endpoint, and the requests that ended
/// there since its last renewal. Written as an array.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "LoadTuple", into = "LoadTuple")]
pub struct LoadRow {
    pub endpoint: EndpointName,
    pub generation: Generation,
    pub in_flight: u32,
    /// The number of requests that were answered and have ended.
    pub ended: u32,
    /// The sum of their run times.
    pub run: Millis,
}

type LoadTuple = (EndpointName, Generation, u32, u32, Millis);

impl From<LoadTuple> for LoadRow {
    fn from((endpoint, generation, in_flight, ended, run): LoadTuple) -> Self {
        Self { endpoint, generation, in_flight, ended, run }
    }
}

impl From<LoadRow> for LoadTuple {
    fn from(it: LoadRow) -> Self {
        (it.endpoint, it.generation, it.in_flight, it.ended, it.run)
    }
}

/// The part of a renewal about the load of endpoints.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadRequest {
    /// The processor share; only of instances that relay requests.
    #[serde(default, skip_serializing_if = "Capacity::is_unknown")]
    pub capacity: Capacity,
    /// Whether the instance's settings ask for shared load.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub wanted: bool,
    /// The endpoints with anything to report. `None` while shared load is off.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rows: Option<Vec<LoadRow>>,
}

/// The part of a reply about the load of endpoints, present where shared load is on.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReply {
    /// `None` if the latest sums aren't due, or the leader hasn't heard of enough instances.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub sums: Option<LoadSums>,
    /// Whether the sums were made before the report of this renewal was recorded. They
    /// contain the one before it.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_behind: bool,
}

/// The load of all endpoints, in the order of [`super::LoadOrder`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadSums {
    /// The mean age of the reports in the sums when the reply was sent.
    pub age: Millis,
    /// The checksum of the order; sums for another order aren't used.
    pub check: u32,
    /// Base64 of two numbers for each endpoint: the requests in flight (LEB128) and the
    /// code of the run time (one byte).
    pub rows: Arc<str>,
}

/// The load of one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct EndpointSum {
    /// Requests in flight of all instances.
    pub in_flight: u32,
    /// The mean run time; zero if it isn't known.
    pub run: Millis,
}

impl LoadSums {
    /// Encodes sums.
    pub fn new(age: Millis, check: u32, sums: impl Iterator<Item = EndpointSum>) -> Self {
        let mut bytes = Vec::new();
        for it in sums {
            let mut rest = it.in_flight;
            while rest >= 0x80 {
                bytes.push(rest as u8 | 0x80);
                rest >>= 7;
            }
            bytes.push(rest as u8);
            bytes.push(encode_run(it.run));
        }
        Self { age, check, rows: STANDARD.encode(bytes).into() }
    }

    /// Decodes the sums; `None` if the text isn't one that [`Self::new`] writes.
    pub fn open(&self) -> Option<Vec<EndpointSum>> {
        let mut bytes = STANDARD.decode(self.rows.as_bytes()).ok()?.into_iter();
        let mut sums = Vec::new();
        while let Some(mut byte) = bytes.next() {
            let (mut in_flight, mut shift) = (u32::from(byte & 0x7f), 0);
            while byte & 0x80 != 0 {
                byte = bytes.next()?;
                shift += 7;
                in_flight |= u32::from(byte & 0x7f).checked_shl(shift)?;
            }
            sums.push(EndpointSum { in_flight, run: decode_run(bytes.next()?) });
        }
        Some(sums)
    }
}

fn encode_run(run: Millis) -> u8 {
    match run.0 {
        0 => 0,
        it => (1.0 + (it as f64).log2() * STEPS_PER_DOUBLING).round().min(255.0) as u8,
    }
}

fn decode_run(code: u8) -> Millis {
    match code {
        0 => Millis(0),
        it => Millis(2f64.powf(f64::from(it - 1) / STEPS_PER_DOUBLING).round() as u64),
    }
}
