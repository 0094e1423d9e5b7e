//! Writes to a disk that is full or fails.

use {
    daemon::disk::{DiskError, retry_while_full},
    std::{
        cell::Cell,
        fs::OpenOptions,
        io::{self, ErrorKind, Write},
    },
};

fn write_error(kind: ErrorKind) -> DiskError {
    DiskError::Write { path: "/data/log".into(), source: io::Error::from(kind) }
}

#[test]
fn a_write_is_undone_and_retried_while_the_disk_is_full() {
    let attempts = Cell::new(0);
    let undone = Cell::new(0);
    let act = || {
        attempts.set(attempts.get() + 1);
        if attempts.get() < 3 {
            Err(write_error(ErrorKind::StorageFull))
        } else {
            Ok(attempts.get())
        }
    };
    let undo = || {
        undone.set(undone.get() + 1);
        Ok(())
    };

    let result = retry_while_full(act, undo);

    assert_eq!(result.expect("the third attempt succeeds"), 3);
    assert_eq!(undone.get(), 2);
}

#[test]
fn any_other_error_is_returned_without_a_retry() {
    let attempts = Cell::new(0);
    let act = || -> Result<(), DiskError> {
        attempts.set(attempts.get() + 1);
        Err(write_error(ErrorKind::Other))
    };

    let result = retry_while_full(act, || Ok(()));

    assert!(result.is_err());
    assert_eq!(attempts.get(), 1);
}

#[test]
fn a_storage_full_error_of_the_system_counts_as_full() {
    let mut full =
        OpenOptions::new().write(true).open("/dev/full").expect("/dev/full can be opened");

    let source = full.write_all(b"frame").expect_err("writes to /dev/full fail");

    assert!(DiskError::Write { path: "/dev/full".into(), source }.is_full());
}
