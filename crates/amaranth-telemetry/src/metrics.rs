//! Metrics in the Prometheus text format.

use metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusHandle};

/// Reads the metrics that the process has recorded.
#[derive(Debug, Clone)]
pub struct MetricsHandle {
    recorder: PrometheusHandle,
}

impl MetricsHandle {
    /// Takes in what was recorded since the last time, so that samples don't pile up.
    pub fn upkeep(&self) {
        self.recorder.run_upkeep();
    }

    /// Returns the metrics as text.
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
pub fn open() -> Result<MetricsHandle, BuildError> {
    let recorder = PrometheusBuilder::new().install_recorder()?;
    Ok(MetricsHandle { recorder })
}

/// Creates a recorder that is not installed, for a process that hosts many programs.
pub fn detached() -> MetricsHandle {
    MetricsHandle {
        recorder: PrometheusBuilder::new().build_recorder().handle(),
    }
}
