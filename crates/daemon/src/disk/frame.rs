//! Frames of the log file. Each frame is followed by a sync, so a torn write
//! can only damage the last frame.
//!
//! A frame consists of a header and a body. The header holds the magic number,
//! the body's length, the sequence number, the CRC-32 of the body and the
//! CRC-32 of the header up to there, all little-endian.

/// The size of a frame's header, in bytes.
pub const HEADER_BYTES: usize = 24;
const MAGIC: u32 = 0x4c42_474d;

/// The result of decoding at one offset of a log file.
#[derive(Debug, PartialEq, Eq)]
pub enum Parsed<'a> {
    Frame {
        seq: u64,
        body: &'a [u8],
        end: usize,
    },
    /// The bytes are no complete frame with valid checksums.
    Invalid,
    End,
}

/// Appends a frame to `out`.
pub fn encode(out: &mut Vec<u8>, seq: u64, body: &[u8]) {
    let start = out.len();
    out.extend_from_slice(&MAGIC.to_le_bytes());
    out.extend_from_slice(&(body.len() as u32).to_le_bytes());
    out.extend_from_slice(&seq.to_le_bytes());
    out.extend_from_slice(&crc32fast::hash(body).to_le_bytes());
    let sum = crc32fast::hash(&out[start..]);
    out.extend_from_slice(&sum.to_le_bytes());
    out.extend_from_slice(body);
}

/// Decodes the frame at a byte offset.
pub fn decode(bytes: &[u8], at: usize) -> Parsed<'_> {
    if at == bytes.len() {
        return Parsed::End;
    }
    let Some(header) = bytes.get(at..at + HEADER_BYTES) else {
        return Parsed::Invalid;
    };
    let u32_at = |i: usize| u32::from_le_bytes(header[i..i + 4].try_into().expect("four bytes"));
    if u32_at(0) != MAGIC || u32_at(20) != crc32fast::hash(&header[..20]) {
        return Parsed::Invalid;
    }
    let seq = u64::from_le_bytes(header[8..16].try_into().expect("eight bytes"));
    let start = at + HEADER_BYTES;
    let end = start + u32_at(4) as usize;
    match bytes.get(start..end) {
        Some(body) if crc32fast::hash(body) == u32_at(16) => Parsed::Frame { seq, body, end },
        _ => Parsed::Invalid,
    }
}

/// Whether a valid frame starts anywhere after a byte offset.
pub fn has_frame_after(bytes: &[u8], at: usize) -> bool {
    let magic = MAGIC.to_le_bytes();
    let starts = (at + 1)..bytes.len().saturating_sub(HEADER_BYTES - 1);
    starts
        .filter(|i| bytes[*i..].starts_with(&magic))
        .any(|i| matches!(decode(bytes, i), Parsed::Frame { .. }))
}
