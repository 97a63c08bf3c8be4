//! Setup of the metrics recorder.

use metrics_exporter_prometheus::BuildError;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;

use crate::metrics::ALL;
use crate::metrics::MetricType;

/// Upper bounds of the histogram buckets, in seconds. They are close together around the targets of
/// 0.3 ms for added latency and 2 s for a failover.
const BUCKETS_S: [f64; 16] = [
    0.000_1, 0.000_2, 0.000_3, 0.000_5, 0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5,
    1.0, 2.0, 5.0,
];

/// The metrics recorder could not be set up, usually because the process already has one.
#[derive(Debug, thiserror::Error)]
#[error("metrics recorder cannot be set up")]
pub struct RecorderError(#[from] BuildError);

/// A handle to the recorded metrics.
#[derive(Clone)]
pub struct MetricsHandle(PrometheusHandle);

impl MetricsHandle {
    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        self.0.render()
    }

    /// Moves the recorded values of histograms into their buckets. Has to be called every few
    /// seconds, because the memory of values grows until then.
    pub fn run_upkeep(&self) {
        self.0.run_upkeep();
    }
}

/// Installs the metrics recorder of this process and registers the descriptions of all declared
/// metrics.
///
/// # Errors
///
/// Returns an error when the process already has a recorder.
pub fn init_metrics() -> Result<MetricsHandle, RecorderError> {
    let handle = PrometheusBuilder::new()
        .set_buckets(&BUCKETS_S)?
        .install_recorder()?;
    for metric in ALL {
        let (name, unit, text) = (metric.name, metric.unit, metric.description);
        match metric.metric_type {
            MetricType::Counter => metrics::describe_counter!(name, unit, text),
            MetricType::Gauge => metrics::describe_gauge!(name, unit, text),
            MetricType::Histogram => metrics::describe_histogram!(name, unit, text),
        }
    }
    Ok(MetricsHandle(handle))
}
