//! Processor time and memory of another process, read from `/proc`.

use std::fs;
use std::time::Duration;

use crate::error::LoadError;

/// The unit of the times in `/proc/PID/stat`, a fixed part of the Linux kernel's interface.
const TICKS_PER_SECOND: u64 = 100;
/// The index of the user time among the fields after the command name, which ends with a
/// parenthesis. The user and system times are fields 14 and 15 of `stat`.
const USER_TIME_INDEX: usize = 11;

/// Returns the user and system time that a process has used.
///
/// # Errors
///
/// Returns an error if the process does not exist or its file in `/proc` is malformed.
pub(crate) fn processor_time(pid: u32) -> Result<Duration, LoadError> {
    let path = format!("/proc/{pid}/stat");
    let text =
        fs::read_to_string(&path).map_err(|error| proc_file_error(&path, &error.to_string()))?;
    let fields = text
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace();
    let ticks: u64 = fields
        .skip(USER_TIME_INDEX)
        .take(2)
        .filter_map(|field| field.parse::<u64>().ok())
        .sum();
    Ok(Duration::from_millis(ticks * 1_000 / TICKS_PER_SECOND))
}

/// Returns the resident memory of a process, in bytes.
///
/// # Errors
///
/// Returns an error if the process does not exist or its file in `/proc` is malformed.
pub(crate) fn resident_bytes(pid: u32) -> Result<u64, LoadError> {
    let path = format!("/proc/{pid}/status");
    let text =
        fs::read_to_string(&path).map_err(|error| proc_file_error(&path, &error.to_string()))?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes
        .map(|kb| kb * 1024)
        .ok_or_else(|| proc_file_error(&path, "the VmRSS line is missing or malformed"))
}

fn proc_file_error(path: &str, cause: &str) -> LoadError {
    LoadError::Measurement {
        cause: format!("{path}: {cause}"),
    }
}
