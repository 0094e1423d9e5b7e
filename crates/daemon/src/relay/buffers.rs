//! Memory for bodies that are read whole before they are used.

use {
    http_body_util::BodyExt,
    hyper::body::{Bytes, Incoming},
    snafu::{ResultExt, Snafu},
    std::{cell::Cell, rc::Rc},
};

/// Room for all bodies being read: a fraction of the memory of a small instance.
const TOTAL_BYTES: usize = 32 << 20;
/// What each body may take without counting, so that long bodies don't starve
/// ordinary ones.
const FREE_BYTES: usize = 64 << 10;

/// Why a body can't be read whole.
#[derive(Debug, Snafu)]
pub enum ReadError {
    #[snafu(display("the body is longer than {limit} bytes"))]
    TooLong { limit: usize },
    #[snafu(display("bodies being read fill {TOTAL_BYTES} bytes"))]
    NoRoom,
    #[snafu(display("the body ended early: {source}"))]
    Broken { source: hyper::Error },
}

/// Reads bodies whole, within one limit for each and one for all of them.
#[derive(Debug, Clone, Default)]
pub struct Buffers {
    used: Rc<Cell<usize>>,
}

/// The room that one body takes until it is read.
struct Share {
    used: Rc<Cell<usize>>,
    read: usize,
}

impl Buffers {
    /// Reads a body of at most `limit` bytes.
    ///
    /// # Errors
    /// The body is longer, is cut, or there is no room for it beside others.
    pub async fn read(&self, body: Incoming, limit: usize) -> Result<Bytes, ReadError> {
        let mut share = Share { used: self.used.clone(), read: 0 };
        let mut bytes = Vec::new();
        let mut body = body;
        while let Some(frame) = body.frame().await {
            let frame = frame.context(BrokenSnafu)?;
            let Some(data) = frame.data_ref() else {
                continue;
            };
            if bytes.len() + data.len() > limit {
                return Err(ReadError::TooLong { limit });
            }
            share.grow(data.len())?;
            bytes.extend_from_slice(data);
        }
        Ok(bytes.into())
    }
}

impl Share {
    fn grow(&mut self, more: usize) -> Result<(), ReadError> {
        let old = self.read.saturating_sub(FREE_BYTES);
        let new = (self.read + more).saturating_sub(FREE_BYTES);
        if new > 0 && self.used.get() + new - old > TOTAL_BYTES {
            return Err(ReadError::NoRoom);
        }
        self.used.set(self.used.get() + new - old);
        self.read += more;
        Ok(())
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.used.set(self.used.get() - self.read.saturating_sub(FREE_BYTES));
    }
}
