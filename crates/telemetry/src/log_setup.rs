//! Setup of logging to standard error.

use log::LevelFilter;
use logforth::Layout;
use logforth::append::Stderr;
use logforth::bridge::log::LogBridge;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::JsonLayout;
use logforth::layout::TextLayout;
use logforth::layout::text::jiff::tz::TimeZone;

/// The format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Human-readable text without colours.
    Text,
    /// One JSON object per line.
    Json,
}

/// Why logging could not be set up.
#[derive(Debug, thiserror::Error)]
pub enum LogSetupError {
    /// The filter is not a list of levels and `target=level` directives.
    #[error("log filter is malformed")]
    Filter,
    /// The process has already set up logging.
    #[error("logging is already set up")]
    AlreadySet,
}

/// Sends log events that pass the filter, such as `info,lycheedoor::platform=debug`, to standard
/// error, with times in UTC.
///
/// # Errors
///
/// Returns an error when the filter is malformed or logging is already set up.
pub fn init_log(filter: &str, format: LogFormat) -> Result<(), LogSetupError> {
    let rules = RustLogFilterBuilder::try_from_spec(filter).map_err(|_| LogSetupError::Filter)?;
    let layout: Box<dyn Layout> = match format {
        LogFormat::Text => TextLayout::default()
            .no_color()
            .timezone(TimeZone::UTC)
            .into(),
        LogFormat::Json => JsonLayout::default().timezone(TimeZone::UTC).into(),
    };
    let logger = logforth::core::builder()
        .dispatch(|dispatch| {
            dispatch
                .filter(rules.build())
                .append(Stderr::default().with_layout(layout))
        })
        .build();
    log::set_boxed_logger(Box::new(LogBridge::new(logger)))
        .map_err(|_| LogSetupError::AlreadySet)?;
    log::set_max_level(most_verbose_level(filter));
    Ok(())
}

/// Returns the most verbose level that any directive of the filter enables; an unknown level counts
/// as `trace`.
pub(crate) fn most_verbose_level(filter: &str) -> LevelFilter {
    filter
        .split(',')
        .map(|directive| directive.rsplit('=').next().unwrap_or(directive).trim())
        .map(|level| level.parse().unwrap_or(LevelFilter::Trace))
        .max()
        .unwrap_or(LevelFilter::Off)
}
