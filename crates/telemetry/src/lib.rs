//! Declarations of all log events and metrics, and the setup of logging and the metrics recorder.
//!
//! Each log event has a stable code and a declaration in [`events`]; [`emit`] writes it with the
//! values of its fields. Each metric has a declaration in [`metrics`]. docs/events.md and
//! docs/metrics.md list all of them; tests compare these pages with the declarations.
//!
//! Keys, secrets and session tokens never appear in a field or label.

mod event;
pub mod events;
mod limit;
mod log_buffer;
mod log_setup;
pub mod metrics;
mod recorder;

pub use event::EventKind;
pub use event::FieldValue;
pub use event::emit;
pub use limit::emit_limited_by_cause;
pub use limit::emit_limited_by_kind;
pub use log_buffer::LogBuffer;
pub use log_buffer::init_buffered_log;
pub use log_setup::LogFormat;
pub use log_setup::LogSetupError;
pub use log_setup::init_log;
pub use metrics::MetricKind;
pub use metrics::MetricType;
pub use recorder::MetricsHandle;
pub use recorder::RecorderError;
pub use recorder::init_metrics;
