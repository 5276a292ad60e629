//! The process-wide metrics recorder, rendered in the Prometheus text format.

use metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusHandle};

/// A handle that reads the metrics of a recorder.
#[derive(Debug, Clone)]
pub struct MetricsHandle {
    recorder: PrometheusHandle,
}

impl MetricsHandle {
    /// Aggregates the samples recorded since the last upkeep, so that they don't accumulate.
    pub fn upkeep(&self) {
        self.recorder.run_upkeep();
    }

    /// Returns the metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        self.recorder.run_upkeep();
        self.recorder.render()
    }
}

/// Installs the metrics recorder of the process.
///
/// # Errors
///
/// Returns an error if a recorder is installed already.
pub fn install() -> Result<MetricsHandle, BuildError> {
    let recorder = PrometheusBuilder::new().install_recorder()?;
    Ok(MetricsHandle { recorder })
}

/// Creates a recorder that is not installed, for a process that hosts many programs.
pub fn detached() -> MetricsHandle {
    MetricsHandle {
        recorder: PrometheusBuilder::new().build_recorder().handle(),
    }
}
