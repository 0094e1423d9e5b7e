//! Finds the ends of server-sent events in a stream of bytes.

/// Scans a stream of server-sent events as its bytes arrive, however they are split.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EventScanner {
    events: u64,
    line: Line,
    /// Whether the current event has a complete field line.
    open: bool,
    /// Whether the last byte was a CR, so that a LF belongs to the same line end.
    after_cr: bool,
}

/// What is known of the current line.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Line {
    #[default]
    Empty,
    Field,
    Comment,
}

impl EventScanner {
    /// Scans the next bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        for &byte in bytes {
            let after_cr = std::mem::replace(&mut self.after_cr, byte == b'\r');
            match (byte, self.line) {
                (b'\n', _) if after_cr => {}
                (b'\r' | b'\n', _) => self.end_line(),
                (b':', Line::Empty) => self.line = Line::Comment,
                (_, Line::Empty) => self.line = Line::Field,
                _ => {}
            }
        }
    }

    /// The number of complete events so far.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Whether the bytes so far end inside an event or a line.
    pub fn is_partial(&self) -> bool {
        self.open || self.line != Line::Empty
    }

    fn end_line(&mut self) {
        match std::mem::take(&mut self.line) {
            Line::Empty if self.open => {
                self.open = false;
                self.events += 1;
            }
            Line::Field => self.open = true,
            Line::Empty | Line::Comment => {}
        }
    }
}
