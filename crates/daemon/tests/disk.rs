//! The data folder on a disk that refuses writes.

use {
    daemon::disk::{DiskError, retry_while_full},
    std::{
        cell::Cell,
        fs::OpenOptions,
        io::{self, ErrorKind, Write},
    },
};

fn refusal(kind: ErrorKind) -> DiskError {
    DiskError::Write { path: "/data/log".into(), source: io::Error::from(kind) }
}

#[test]
fn a_write_waits_while_the_disk_is_full_and_is_undone_before_each_try() {
    let tries = Cell::new(0);
    let undone = Cell::new(0);
    let act = || {
        tries.set(tries.get() + 1);
        if tries.get() < 3 { Err(refusal(ErrorKind::StorageFull)) } else { Ok(tries.get()) }
    };
    let undo = || {
        undone.set(undone.get() + 1);
        Ok(())
    };

    let result = retry_while_full(act, undo);

    assert_eq!(result.expect("the third try is taken"), 3);
    assert_eq!(undone.get(), 2);
}

#[test]
fn any_other_error_is_final() {
    let tries = Cell::new(0);
    let act = || -> Result<(), DiskError> {
        tries.set(tries.get() + 1);
        Err(refusal(ErrorKind::Other))
    };

    let result = retry_while_full(act, || Ok(()));

    assert!(result.is_err());
    assert_eq!(tries.get(), 1);
}

#[test]
fn the_systems_own_refusal_counts_as_full() {
    let mut full = OpenOptions::new().write(true).open("/dev/full").expect("the device");

    let source = full.write_all(b"frame").expect_err("it takes nothing");

    assert!(DiskError::Write { path: "/dev/full".into(), source }.is_full());
}
