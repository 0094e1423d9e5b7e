//! Reads bodies whole into memory of their own, within the budget.

use {
    super::{BodyRooms, Room, Share, note_refusal},
    http_body_util::BodyExt,
    hyper::body::{Body, Bytes},
    snafu::Snafu,
    std::{net::SocketAddr, pin::pin, time::Duration},
    tokio::time::{Instant, MissedTickBehavior, interval_at},
};

/// How often a body under way is checked for progress.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The least by which a buffer grows, so that small chunks don't make it grow often.
const LEAST_GROWTH: usize = 16 << 10;

/// The longest time in which no byte of a client's body comes. Lost segments come again
/// sooner; a client that stops short of the end doesn't hold its room for longer.
const BODY_STALL: Duration = Duration::from_secs(4);
/// The longest that a client's body waits for room. Callers commonly wait for a few seconds.
const ROOM_WAIT: Duration = Duration::from_secs(2);

/// The time limit where another bounds the reading: the deadline of the request, or the time
/// limit of a call. Longer than any of them.
const NO_LIMIT: Duration = Duration::from_secs(3600);

/// What bounds the reading of a body.
#[derive(Debug, Clone, Copy)]
pub struct BodyBounds {
    /// Bytes.
    pub longest: usize,
    /// The longest time without a byte.
    pub stall: Duration,
    /// The longest wait for room.
    pub room_wait: Duration,
    /// Whether the body is given up for others that wait for room once its sender stalls.
    pub yields: bool,
    /// The client, for the log.
    pub from: Option<SocketAddr>,
}

impl BodyBounds {
    /// The bounds of a client's body.
    pub fn of_client(longest: usize, from: Option<SocketAddr>) -> Self {
        Self { longest, stall: BODY_STALL, room_wait: ROOM_WAIT, yields: true, from }
    }

    /// The bounds of an endpoint's answer. Its reader has a time limit of its own.
    pub fn of_answer(longest: usize) -> Self {
        Self { longest, stall: NO_LIMIT, room_wait: NO_LIMIT, yields: false, from: None }
    }
}

/// Why a body can't be read whole.
#[derive(Debug, Snafu)]
pub enum BodyError {
    #[snafu(display("the body is longer than {longest} bytes"))]
    TooLong { longest: usize },
    #[snafu(display("no byte of the body came in time"))]
    Stalled,
    #[snafu(display("there is no memory for the body"))]
    NoRoom,
    #[snafu(display("the body ended early: {detail}"))]
    Broken { detail: String },
}

/// A body and the room that it takes.
#[derive(Debug, Default)]
pub struct HeldBody {
    bytes: Vec<u8>,
    /// Nothing for an empty body.
    share: Option<Share>,
}

impl HeldBody {
    /// Returns the bytes and their room, which may be kept for what is made of them.
    pub fn into_parts(self) -> (Vec<u8>, Option<Share>) {
        (self.bytes, self.share)
    }

    /// Returns the bytes; the room is held until the last copy of them is dropped.
    pub fn into_bytes(self) -> Bytes {
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reads a body as [`read_held`] does. Its room is held until the last copy of the returned
/// bytes is dropped.
///
/// # Errors
/// Those of [`read_held`].
pub async fn read_body<B>(
    rooms: &BodyRooms,
    body: B,
    bounds: &BodyBounds,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes>,
    B::Error: std::fmt::Display,
{
    read_held(rooms, body, bounds).await.map(HeldBody::into_bytes)
}

/// Reads a body. Room for a small body is asked for whole, and that for a large one too, since
/// bodies that each wait for more room while they hold some could wait for each other.
///
/// # Errors
/// The body is too long, stalls or is cut, or there is no room for it. No more is read then.
pub async fn read_held<B>(
    rooms: &BodyRooms,
    body: B,
    bounds: &BodyBounds,
) -> Result<HeldBody, BodyError>
where
    B: Body<Data = Bytes>,
    B::Error: std::fmt::Display,
{
    let result = read(rooms, body, bounds).await;
    let reason = match &result {
        Ok(_) | Err(BodyError::Broken { .. }) => return result,
        Err(BodyError::TooLong { .. }) => "too_long",
        Err(BodyError::Stalled) => "stalled",
        Err(BodyError::NoRoom) => "no_room",
    };
    note_refusal(rooms.large.name(), reason, bounds.from);
    result
}

async fn read<B>(rooms: &BodyRooms, body: B, bounds: &BodyBounds) -> Result<HeldBody, BodyError>
where
    B: Body<Data = Bytes>,
    B::Error: std::fmt::Display,
{
    let announced = body.size_hint().exact().map(|it| usize::try_from(it).unwrap_or(usize::MAX));
    // What is larger than its whole part never fits; its sender isn't told to try again.
    let longest = bounds.longest.min(rooms.large.capacity().max(rooms.small_body));
    let expected = match announced {
        Some(0) => return Ok(HeldBody::default()),
        Some(length) if length > longest => return Err(BodyError::TooLong { longest }),
        Some(length) => length,
        None => longest.min(rooms.small_body),
    };
    let is_small = expected <= rooms.small_body;
    let room = if is_small { &rooms.small } else { &rooms.large };
    let mut reader = Reader { share: take(room, expected, bounds).await?, limit: expected };
    let mut body = pin!(body);
    let mut bytes = Vec::new();
    let mut ticks = interval_at(Instant::now() + CHECK_INTERVAL, CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let (mut seen, mut still) = (0, Duration::ZERO);
    loop {
        let frame = tokio::select! {
            biased;
            _ = ticks.tick() => {
                still = if bytes.len() > seen { Duration::ZERO } else { still + CHECK_INTERVAL };
                seen = bytes.len();
                let gives_way = bounds.yields && !still.is_zero() && reader.share.is_evicted();
                if still >= bounds.stall || gives_way {
                    return Err(BodyError::Stalled);
                }
                if still.is_zero() {
                    reader.share.note_progress();
                }
                continue;
            }
            it = body.frame() => it,
        };
        let data = match frame {
            None => break,
            Some(Err(err)) => return Err(BodyError::Broken { detail: err.to_string() }),
            Some(Ok(it)) => it,
        };
        let Some(data) = data.data_ref() else {
            continue;
        };
        let needed = bytes.len() + data.len();
        if needed > longest {
            return Err(BodyError::TooLong { longest });
        }
        if needed > reader.limit {
            reader.enlarge(rooms, bounds, longest).await?;
            (seen, still) = (bytes.len(), Duration::ZERO);
        }
        reader.reserve(&mut bytes, needed);
        bytes.extend_from_slice(data);
    }
    if bytes.capacity() - bytes.len() > LEAST_GROWTH {
        bytes.shrink_to_fit();
    }
    reader.share.settle(bytes.capacity());
    Ok(HeldBody { bytes, share: Some(reader.share) })
}

/// The room of a body that is being read.
struct Reader {
    share: Share,
    /// The bytes that the room is for.
    limit: usize,
}

impl Reader {
    /// Takes room for `limit` bytes, the longest body, in place of that for a small one, for a body of
    /// unknown length that turns out to be large.
    async fn enlarge(
        &mut self,
        rooms: &BodyRooms,
        bounds: &BodyBounds,
        limit: usize,
    ) -> Result<(), BodyError> {
        // It waits for the process now, not for its client.
        self.share.settle(self.limit);
        self.share = take(&rooms.large, limit, bounds).await?;
        self.limit = limit;
        Ok(())
    }

    /// Makes a buffer large enough. It grows by half, so that its room isn't exceeded and
    /// what is copied stays in proportion to the body.
    fn reserve(&self, bytes: &mut Vec<u8>, needed: usize) {
        if needed > bytes.capacity() {
            let grown = bytes.capacity() + (bytes.capacity() / 2).max(LEAST_GROWTH);
            let capacity = grown.min(self.limit).max(needed);
            bytes.reserve_exact(capacity - bytes.len());
        }
    }
}

async fn take(room: &Room, bytes: usize, bounds: &BodyBounds) -> Result<Share, BodyError> {
    room.take(bytes, bounds.room_wait).await.map_err(|_| BodyError::NoRoom)
}
