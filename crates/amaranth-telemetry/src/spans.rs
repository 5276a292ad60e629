//! Trace spans, one for each hop of a request.
//!
//! Spans are exported over OTLP if the settings name a collector; otherwise each span is one log
//! line.

use std::cell::Cell;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant, SystemTime};

use amaranth_core::trace::TraceContext;
use opentelemetry::trace::{
    SpanContext, SpanId, SpanKind, TraceContextExt, TraceFlags, TraceId, TraceState, Tracer,
    TracerProvider,
};
use opentelemetry::{Context, KeyValue};
use opentelemetry_otlp::{SpanExporter, WithExportConfig};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::error::{OTelSdkError, OTelSdkResult};
use opentelemetry_sdk::trace::{
    IdGenerator, RandomIdGenerator, SdkTracer, SdkTracerProvider, SpanData,
    SpanExporter as SdkSpanExporter,
};
use tokio::runtime::{Builder, Handle, Runtime};

/// Timeout of exporting the remaining spans when a program ends.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);

static TRACER: OnceLock<SdkTracer> = OnceLock::new();

thread_local! {
    /// The id of the next span that this thread exports.
    static PRESET_SPAN: Cell<u64> = const { Cell::new(0) };
}

/// Generates the ids of exported spans, using the id that was already sent to the next hop.
#[derive(Debug, Default)]
struct PresetIdGenerator {
    random: RandomIdGenerator,
}

impl IdGenerator for PresetIdGenerator {
    fn new_trace_id(&self) -> TraceId {
        self.random.new_trace_id()
    }

    fn new_span_id(&self) -> SpanId {
        match PRESET_SPAN.take() {
            0 => self.random.new_span_id(),
            preset => SpanId::from_bytes(preset.to_be_bytes()),
        }
    }
}

/// A handle of the span export. [`SpanExport::close`] exports the remaining spans.
#[derive(Debug, Default)]
pub struct SpanExport {
    provider: Option<SdkTracerProvider>,
    /// The runtime of the exporter's HTTP client, since the exporting thread of the SDK has none.
    runtime: Option<Runtime>,
}

impl Drop for SpanExport {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// Exports spans on a runtime, whichever thread calls it.
#[derive(Debug)]
struct RuntimeExporter {
    exporter: Arc<SpanExporter>,
    runtime: Handle,
}

impl SdkSpanExporter for RuntimeExporter {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        let exporter = Arc::clone(&self.exporter);
        let export = self
            .runtime
            .spawn(async move { exporter.export(batch).await });
        export
            .await
            .unwrap_or_else(|error| Err(OTelSdkError::InternalFailure(error.to_string())))
    }

    fn set_resource(&mut self, resource: &Resource) {
        // The exporter is shared only during exports, which start after this call.
        if let Some(exporter) = Arc::get_mut(&mut self.exporter) {
            exporter.set_resource(resource);
        }
    }
}

/// The error for a collector that can't be used.
#[derive(Debug, thiserror::Error)]
#[error("collector {endpoint:?} can't be used: {reason}")]
pub struct CollectorError {
    endpoint: String,
    reason: String,
}

/// Installs the export of spans of the process, named `program`, to the OTLP collector at
/// `endpoint`.
///
/// Without an endpoint spans are logged.
///
/// # Errors
///
/// Returns an error when the endpoint is malformed.
pub fn install(
    program: &'static str,
    endpoint: Option<&str>,
) -> Result<SpanExport, CollectorError> {
    let Some(endpoint) = endpoint else {
        return Ok(SpanExport::default());
    };
    let collector_error = |reason: String| CollectorError {
        endpoint: endpoint.to_owned(),
        reason,
    };
    let runtime = Builder::new_multi_thread()
        .worker_threads(1)
        .thread_name("span-export")
        .enable_all()
        .build()
        .map_err(|error| collector_error(error.to_string()))?;
    let exporter = SpanExporter::builder()
        .with_http()
        .with_endpoint(endpoint)
        .build()
        .map_err(|error| collector_error(error.to_string()))?;
    let exporter = RuntimeExporter {
        exporter: Arc::new(exporter),
        runtime: runtime.handle().clone(),
    };
    let provider = SdkTracerProvider::builder()
        .with_batch_exporter(exporter)
        .with_id_generator(PresetIdGenerator::default())
        .with_resource(Resource::builder().with_service_name(program).build())
        .build();
    // A second call in one process keeps the first tracer, as with other process-wide state.
    let _ = TRACER.set(provider.tracer(program));
    Ok(SpanExport {
        provider: Some(provider),
        runtime: Some(runtime),
    })
}

impl SpanExport {
    /// Exports the remaining spans and stops the export.
    pub fn close(mut self) {
        let Some(provider) = self.provider.take() else {
            return;
        };
        if let Err(error) = provider.shutdown_with_timeout(FLUSH_TIMEOUT) {
            log::warn!("event=spans_lost error={error:?}");
        }
    }
}

/// Returns a new trace context, for a request that arrived without one.
pub fn new_trace() -> TraceContext {
    let generator = RandomIdGenerator::default();
    TraceContext {
        trace_id: u128::from_be_bytes(generator.new_trace_id().to_bytes()),
        span_id: u64::from_be_bytes(generator.new_span_id().to_bytes()),
        sampled: true,
    }
}

/// The span of one hop of a request. The span ends when the value is dropped.
#[derive(Debug)]
pub struct HopSpan {
    name: &'static str,
    parent: TraceContext,
    own: TraceContext,
    started: Instant,
    started_at: SystemTime,
    attributes: Vec<KeyValue>,
}

impl HopSpan {
    /// Starts a span as a child of `parent`.
    pub fn start(name: &'static str, parent: TraceContext) -> Self {
        let generator = RandomIdGenerator::default();
        let span_id = u64::from_be_bytes(generator.new_span_id().to_bytes());
        Self {
            name,
            parent,
            own: parent.child(span_id),
            started: Instant::now(),
            started_at: SystemTime::now(),
            attributes: Vec::new(),
        }
    }

    /// Returns the context that this hop propagates to the next one.
    pub const fn context(&self) -> TraceContext {
        self.own
    }

    /// Adds an attribute to the span.
    pub fn set_attribute(&mut self, key: &'static str, value: impl ToString) {
        if self.own.sampled {
            self.attributes.push(KeyValue::new(key, value.to_string()));
        }
    }

    fn export(&mut self, tracer: &SdkTracer) {
        let remote = SpanContext::new(
            TraceId::from_bytes(self.parent.trace_id.to_be_bytes()),
            SpanId::from_bytes(self.parent.span_id.to_be_bytes()),
            TraceFlags::SAMPLED,
            true,
            TraceState::default(),
        );
        let parent = Context::new().with_remote_span_context(remote);
        let span = tracer
            .span_builder(self.name)
            .with_kind(SpanKind::Server)
            .with_start_time(self.started_at)
            .with_attributes(std::mem::take(&mut self.attributes));
        PRESET_SPAN.set(self.own.span_id);
        drop(tracer.build_with_context(span, &parent));
    }

    fn log_span(&self) {
        let attributes: String = self
            .attributes
            .iter()
            .map(|pair| format!(" {}={}", pair.key, pair.value))
            .collect();
        log::debug!(
            "event=span name={} trace={:032x} span={:016x} parent={:016x} duration_us={}{attributes}",
            self.name,
            self.own.trace_id,
            self.own.span_id,
            self.parent.span_id,
            self.started.elapsed().as_micros(),
        );
    }
}

impl Drop for HopSpan {
    fn drop(&mut self) {
        if !self.own.sampled {
            return;
        }
        match TRACER.get() {
            Some(tracer) => {
                let tracer = tracer.clone();
                self.export(&tracer);
            }
            None if log::log_enabled!(log::Level::Debug) => self.log_span(),
            None => {}
        }
    }
}
