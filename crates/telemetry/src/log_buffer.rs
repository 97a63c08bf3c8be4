//! A buffer for log lines, so that a slow or stopped reader of the log never blocks the process.

use std::io::Write;
use std::os::fd::AsFd;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use logforth::Append;
use logforth::Diagnostic;
use logforth::Error;
use logforth::Layout;
use logforth::bridge::log::LogBridge;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::JsonLayout;
use logforth::layout::text::jiff::tz::TimeZone;
use logforth::record::Record;
use rustix::event::PollFd;
use rustix::event::PollFlags;
use rustix::event::Timespec;
use rustix::event::poll;

use crate::log_setup::LogSetupError;
use crate::log_setup::most_verbose_level;

/// The most bytes of log lines to buffer; further lines are dropped and counted.
const BUFFER_LIMIT_BYTES: usize = 256 * 1024;

/// The most bytes in one write: a pipe that is reported as writable accepts this many without
/// blocking.
const MAX_WRITE_BYTES: usize = 4096;

#[derive(Debug, Default)]
struct PendingLines {
    bytes: Vec<u8>,
    dropped: u64,
}

/// Log lines that are waiting to be written to standard output; clones share one buffer.
#[derive(Clone, Debug, Default)]
pub struct LogBuffer {
    lines: Arc<Mutex<PendingLines>>,
}

impl LogBuffer {
    /// Writes as many bytes as standard output accepts without blocking.
    pub fn flush(&self) {
        self.flush_to(std::io::stdout());
    }

    /// Writes as many bytes as a file or pipe accepts without blocking.
    pub fn flush_to(&self, out: impl AsFd) {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        while !lines.bytes.is_empty() {
            let mut ready = [PollFd::new(&out, PollFlags::OUT)];
            let no_wait = Timespec {
                tv_sec: 0,
                tv_nsec: 0,
            };
            if !poll(&mut ready, Some(&no_wait)).is_ok_and(|count| count > 0) {
                return;
            }
            let count = lines.bytes.len().min(MAX_WRITE_BYTES);
            match rustix::io::write(&out, lines.bytes.get(..count).unwrap_or_default()) {
                Ok(written) => drop(lines.bytes.drain(..written)),
                // The reader has closed the log, and there is no other place to report that.
                Err(_) => return lines.bytes.clear(),
            }
        }
    }

    /// Returns how many lines were dropped since the last call, or 0 while the buffer still holds
    /// lines, so that there is room to report the number.
    pub fn take_dropped_count(&self) -> u64 {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        match lines.bytes.is_empty() {
            true => std::mem::take(&mut lines.dropped),
            false => 0,
        }
    }

    fn push(&self, line: &[u8]) {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        if lines.bytes.len() + line.len() > BUFFER_LIMIT_BYTES {
            lines.dropped += 1;
            return;
        }
        // Writing to memory does not fail.
        let _ = lines.bytes.write_all(line);
        lines.bytes.push(b'\n');
    }
}

#[derive(Debug)]
struct BufferAppender {
    buffer: LogBuffer,
    layout: JsonLayout,
}

impl Append for BufferAppender {
    fn append(&self, record: &Record, diagnostics: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let line = self.layout.format(record, diagnostics)?;
        self.buffer.push(&line);
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}

/// Sets up logging of the events that pass the filter as JSON lines, with times in UTC.
///
/// The lines stay in the returned buffer until [`LogBuffer::flush`] writes them.
///
/// # Errors
///
/// Returns an error when the filter is malformed or logging is already set up.
pub fn init_buffered_log(filter: &str) -> Result<LogBuffer, LogSetupError> {
    let rules = RustLogFilterBuilder::try_from_spec(filter).map_err(|_| LogSetupError::Filter)?;
    let buffer = LogBuffer::default();
    let appender = BufferAppender {
        buffer: buffer.clone(),
        layout: JsonLayout::default().timezone(TimeZone::UTC),
    };
    let logger = logforth::core::builder()
        .dispatch(|dispatch| dispatch.filter(rules.build()).append(appender))
        .build();
    log::set_boxed_logger(Box::new(LogBridge::new(logger)))
        .map_err(|_| LogSetupError::AlreadySet)?;
    log::set_max_level(most_verbose_level(filter));
    Ok(buffer)
}
