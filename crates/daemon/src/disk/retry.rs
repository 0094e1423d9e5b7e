//! Retries of writes while the disk is full. A write that is being retried
//! isn't acknowledged.

use {
    super::DiskError,
    std::{thread::sleep, time::Duration},
};

/// The pause between two attempts to write to a full disk.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Repeats a write until it no longer fails for a full disk. `undo` runs after
/// each such failure and removes what a partial write may have left.
///
/// # Errors
/// Any error other than a full disk.
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
                    log::info!(refused = refusals; "[disk] The disk accepts writes again.");
                }
                return result;
            }
        }
    }
}
