//! Waits while the disk is full. What waits isn't acknowledged meanwhile.

use {
    super::DiskError,
    std::{thread::sleep, time::Duration},
};

/// How often a write is tried again on a full disk.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Tries a write until the disk takes it. `undo` takes back what a refused try
/// may have left.
///
/// # Errors
/// Any error but a full disk.
pub fn retry_while_full<T>(
    mut act: impl FnMut() -> Result<T, DiskError>,
    mut undo: impl FnMut() -> Result<(), DiskError>,
) -> Result<T, DiskError> {
    let mut refusals = 0_u64;
    loop {
        match act() {
            Err(err) if err.is_full() => {
                if refusals == 0 {
                    log::warn!(error:% = err; "[disk] The disk is full. The write waits for room.");
                }
                refusals += 1;
                undo()?;
                sleep(RETRY_INTERVAL);
            }
            result => {
                if refusals > 0 {
                    log::info!(refused = refusals; "[disk] The disk takes writes again.");
                }
                return result;
            }
        }
    }
}
