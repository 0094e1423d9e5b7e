//! What a process has used, from the kernel's files.

use std::fs;

/// The processor's ticks in a second, as the kernel counts them.
const TICKS_PER_SECOND: f64 = 100.0;

/// The processor time of a process so far, in seconds.
///
/// # Panics
/// If the process is gone.
pub fn cpu_seconds(pid: u32) -> f64 {
    let text = fs::read_to_string(format!("/proc/{pid}/stat")).expect("the process runs");
    let rest = text.rsplit(')').next().expect("a line of figures");
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let ticks = |i: usize| fields[i].parse::<f64>().expect("a number");
    (ticks(11) + ticks(12)) / TICKS_PER_SECOND
}

/// The resident memory of a process, in megabytes.
///
/// # Panics
/// If the process is gone.
pub fn resident_mb(pid: u32) -> f64 {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).expect("the process runs");
    let line = text.lines().find_map(|it| it.strip_prefix("VmRSS:")).expect("a figure");
    let kilobytes = line.split_whitespace().next().expect("a figure");
    kilobytes.parse::<f64>().expect("a number") / 1024.0
}
