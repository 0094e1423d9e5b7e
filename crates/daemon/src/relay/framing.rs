//! How the end of a response body is marked on the wire.

use {
    hyper::{Response, body::Body, header::TRANSFER_ENCODING},
    std::fmt,
};

/// What ends a response body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// The length is known from the head.
    Length,
    /// The last chunk.
    Chunked,
    /// The end of the connection, which a partial body has too.
    Close,
}

impl Framing {
    /// Returns the framing of a response from an HTTP/1.1 connection.
    pub fn of(response: &Response<impl Body>) -> Self {
        if response.body().size_hint().exact().is_some() {
            return Self::Length;
        }
        let codings = response.headers().get_all(TRANSFER_ENCODING).iter().next_back();
        let last = codings.and_then(|it| it.to_str().ok()?.rsplit(',').next());
        match last.is_some_and(|it| it.trim().eq_ignore_ascii_case("chunked")) {
            true => Self::Chunked,
            false => Self::Close,
        }
    }

    /// The name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::Close => "close",
        }
    }
}

impl fmt::Display for Framing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
