//! Sizes of values as they are stored and sent.

use {
    crate::ids::Bytes,
    serde::Serialize,
    std::io::{self, Write},
};

/// Counts the bytes written to it.
#[derive(Default)]
struct Counter(u64);

impl Write for Counter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0 += bytes.len() as u64;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Returns the size of a value in JSON.
///
/// # Panics
/// If the value can't be written as JSON, such as a map with keys that aren't text.
pub fn json_size(value: &impl Serialize) -> Bytes {
    let mut counter = Counter::default();
    serde_json::to_writer(&mut counter, value).expect("the value can be written as JSON");
    Bytes(counter.0)
}
