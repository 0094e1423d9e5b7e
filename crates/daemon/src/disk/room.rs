//! Waits while the disk is full. What waits isn't acknowledged meanwhile.

use {
    super::DiskError,
    std::{thread::sleep, time::Duration},
};

/// How often a write is tried again on a full disk.
const AGAIN: Duration = Duration::from_millis(200);

/// Tries a write until the disk takes it. `undo` takes back what a refused try
/// may have left.
///
/// # Errors
/// Any error but a full disk.
pub fn when_room<T>(
    mut act: impl FnMut() -> Result<T, DiskError>,
    mut undo: impl FnMut() -> Result<(), DiskError>,
) -> Result<T, DiskError> {
    let mut refused = 0_u64;
    loop {
        match act() {
            Err(err) if err.is_full() => {
                if refused == 0 {
                    log::warn!(error:% = err; "[disk] The disk is full. The write waits for room.");
                }
                refused += 1;
                undo()?;
                sleep(AGAIN);
            }
            result => {
                if refused > 0 {
                    log::info!(refused = refused; "[disk] The disk takes writes again.");
                }
                return result;
            }
        }
    }
}
