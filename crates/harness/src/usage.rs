//! CPU time, memory and descriptors of a process, read from `/proc`.

use std::fs;

/// The unit of CPU times in `/proc`, `USER_HZ`, which is 100 Hz on x86 and Arm.
const TICKS_PER_SECOND: f64 = 100.0;

/// The user and system CPU time of a process in seconds.
///
/// # Panics
/// If the process has exited.
pub fn cpu_seconds(pid: u32) -> f64 {
    let text = fs::read_to_string(format!("/proc/{pid}/stat")).expect("the process has exited");
    let rest = text.rsplit(')').next().expect("the stat line is not empty");
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let ticks = |i: usize| fields[i].parse::<f64>().expect("the field is a number");
    (ticks(11) + ticks(12)) / TICKS_PER_SECOND
}

/// The resident memory of a process in MiB.
///
/// # Panics
/// If the process has exited.
pub fn resident_mb(pid: u32) -> f64 {
    status_mb(pid, "VmRSS:")
}

/// The highest resident memory of a process since its start in MiB.
///
/// # Panics
/// If the process has exited.
pub fn peak_mb(pid: u32) -> f64 {
    status_mb(pid, "VmHWM:")
}

/// The number of open file descriptors of a process.
///
/// # Panics
/// If the process has exited.
pub fn open_fds(pid: u32) -> usize {
    fs::read_dir(format!("/proc/{pid}/fd")).expect("the process has exited").count()
}

fn status_mb(pid: u32, name: &str) -> f64 {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).expect("the process has exited");
    let line = text.lines().find_map(|it| it.strip_prefix(name)).expect("status has the line");
    let kilobytes = line.split_whitespace().next().expect("the line has a value");
    kilobytes.parse::<f64>().expect("the field is a number") / 1024.0
}
