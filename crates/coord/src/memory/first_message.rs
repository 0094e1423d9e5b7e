//! Which bytes of a peer's connection may be handled before its secret is known.

/// The most bytes that are taken of a web socket before the secret has come: frames without
/// data, one small message that is answered with a refusal, and the start of a longer one. The
/// secret comes after the name of a method, some hundred bytes after the start.
const MAX_BYTES: usize = 4 << 10;
/// What comes before the secret in a message. It can't be part of a string, in which quotes are
/// escaped.
const BEFORE_SECRET: &[u8] = br#""params":["#;

/// The end of a head whose lines end in CRLF.
const HEAD_END: &[u8] = b"\r\n\r\n";

const FINAL: u8 = 0x80;
const RESERVED: u8 = 0x70;
const OPCODE: u8 = 0x0f;
const TEXT: u8 = 1;
const BINARY: u8 = 2;
/// From this opcode on, frames belong to no message and are at most 125 bytes long.
const FIRST_CONTROL: u8 = 8;
const MASKED: u8 = 0x80;
const MASK_BYTES: usize = 4;
/// The values in place of a length that follows in two or eight bytes.
const LENGTH_IN_2: u8 = 126;
const LENGTH_IN_8: u8 = 127;

/// What may be done with bytes that have come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FirstBytes {
    /// This many may be handled; the others wait for more.
    Pass(usize),
    /// The secret has come: these and all later bytes may be handled.
    Proven,
    /// The connection is to be closed.
    Denied,
}

/// Checks the head that asks for a web socket.
#[derive(Debug, Default)]
pub struct HeadCheck {
    last: [u8; HEAD_END.len()],
    is_whole: bool,
}

impl HeadCheck {
    /// Whether these bytes may be handled. A client waits for the answer to its head, so that
    /// nothing follows it; and a line ends in both of its characters, so that all readers agree
    /// on where it ends.
    pub fn accepts(&mut self, bytes: &[u8]) -> bool {
        for it in bytes {
            if self.is_whole || (*it == b'\n' && self.last[HEAD_END.len() - 1] != b'\r') {
                return false;
            }
            self.last.rotate_left(1);
            self.last[HEAD_END.len() - 1] = *it;
            self.is_whole = self.last == HEAD_END;
        }
        true
    }

    /// Whether the head has ended.
    pub fn is_whole(&self) -> bool {
        self.is_whole
    }
}

/// Looks for the secret in the first message of a web socket, which may have any length. One
/// small message without it is handled as well, so that its sender is told.
#[derive(Debug)]
pub struct FirstMessage {
    /// The secret as a JSON string.
    quoted: Vec<u8>,
    /// How many bytes were passed.
    passed: usize,
    /// Whether a message without the secret was passed.
    has_refused: bool,
}

/// A frame, as far as it has come.
struct Frame {
    is_final: bool,
    opcode: u8,
    /// With its head, in bytes.
    length: usize,
    data: Vec<u8>,
    is_whole: bool,
}

/// What the data of a frame shows.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Shown {
    Secret,
    /// Another secret, or none.
    Other,
    /// Too little has come.
    Unknown,
}

impl FirstMessage {
    /// Creates the check of one connection.
    pub fn new(secret: &str) -> Self {
        let quoted = serde_json::to_vec(secret).expect("a string can be serialized");
        Self { quoted, passed: 0, has_refused: false }
    }

    /// Returns how many bytes more may be taken before the secret is known.
    pub fn room(&self) -> usize {
        (MAX_BYTES + self.quoted.len()).saturating_sub(self.passed)
    }

    /// Decides on the bytes that have come and were not passed before, at most as many as there
    /// is [`Self::room`] for. `is_equal` compares in constant time.
    pub fn check(&mut self, bytes: &[u8], is_equal: impl Fn(&[u8], &[u8]) -> bool) -> FirstBytes {
        let mut at = 0;
        loop {
            let frame = match Frame::parse(&bytes[at..]) {
                Ok(Some(it)) => it,
                Ok(None) => break,
                Err(Malformed) => return FirstBytes::Denied,
            };
            let fits = at.saturating_add(frame.length) <= self.room();
            if frame.opcode < FIRST_CONTROL {
                match self.shown(&frame, &is_equal) {
                    Shown::Secret => return FirstBytes::Proven,
                    Shown::Other if self.has_refused || !frame.is_final || !fits => {
                        return FirstBytes::Denied;
                    }
                    Shown::Other => self.has_refused = frame.is_whole,
                    Shown::Unknown => {}
                }
            }
            if !frame.is_whole {
                break;
            }
            at += frame.length;
        }
        self.passed += at;
        match bytes.len() - at < self.room() {
            true => FirstBytes::Pass(at),
            false => FirstBytes::Denied,
        }
    }

    fn shown(&self, frame: &Frame, is_equal: impl Fn(&[u8], &[u8]) -> bool) -> Shown {
        let found = frame.data.windows(BEFORE_SECRET.len()).position(|it| it == BEFORE_SECRET);
        let secret = found.map(|it| &frame.data[it + BEFORE_SECRET.len()..]);
        match secret.map(|it| it.get(..self.quoted.len())) {
            Some(Some(it)) if is_equal(it, &self.quoted) => Shown::Secret,
            Some(Some(_)) => Shown::Other,
            _ if frame.is_whole => Shown::Other,
            _ => Shown::Unknown,
        }
    }
}

/// The bytes aren't a frame that a client may send here.
struct Malformed;

impl Frame {
    /// Reads the frame that begins here. Nothing until its head is whole.
    fn parse(bytes: &[u8]) -> Result<Option<Self>, Malformed> {
        let &[first, second, ref rest @ ..] = bytes else {
            return Ok(None);
        };
        let opcode = first & OPCODE;
        let is_known = matches!(opcode, TEXT | BINARY) || opcode >= FIRST_CONTROL;
        if first & RESERVED != 0 || second & MASKED == 0 || !is_known {
            return Err(Malformed);
        }
        let short = second & !MASKED;
        let wide = match short {
            LENGTH_IN_2 => 2,
            LENGTH_IN_8 => 8,
            _ => 0,
        };
        if opcode >= FIRST_CONTROL && wide > 0 {
            return Err(Malformed);
        }
        let Some((length, rest)) = rest.split_at_checked(wide) else {
            return Ok(None);
        };
        let Some((mask, rest)) = rest.split_at_checked(MASK_BYTES) else {
            return Ok(None);
        };
        let length = match wide {
            0 => usize::from(short),
            _ => length.iter().fold(0, |sum, it| sum << 8 | usize::from(*it)),
        };
        let came = &rest[..rest.len().min(length)];
        let data = came.iter().zip(mask.iter().cycle()).map(|(it, mask)| it ^ mask).collect();
        Ok(Some(Self {
            is_final: first & FINAL != 0,
            opcode,
            length: length.saturating_add(2 + wide + MASK_BYTES),
            data,
            is_whole: came.len() == length,
        }))
    }
}
