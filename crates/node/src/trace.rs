//! Distributed tracing with a span for each hop, in the W3C Trace Context format.

use std::collections::HashMap;
use std::net::SocketAddr;

use async_trait::async_trait;
use bytes::Bytes;
use opentelemetry::propagation::TextMapPropagator;
use opentelemetry::trace::{SpanKind, TraceContextExt, Tracer, TracerProvider};
use opentelemetry::{Context, KeyValue};
use opentelemetry_http::{HttpClient, HttpError};
use opentelemetry_otlp::{WithExportConfig, WithHttpConfig};
use opentelemetry_sdk::error::OTelSdkResult;
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::trace::{Sampler, SdkTracer, SdkTracerProvider, SpanData, SpanExporter};
use provider::http::{Call, Client};

use crate::settings::Settings;

const TRACEPARENT: &str = "traceparent";

/// Creates spans and exports them to a collector.
///
/// Without a usable collector, spans are written to the node's log output if its level is debug or
/// trace, and are not recorded otherwise.
pub(crate) struct Tracing {
    provider: SdkTracerProvider,
    tracer: SdkTracer,
}

impl Tracing {
    pub fn new(settings: &Settings) -> Self {
        let builder = SdkTracerProvider::builder();
        let provider = match settings.trace.collector.and_then(collector_exporter) {
            Some(exporter) => builder.with_batch_exporter(exporter).build(),
            None if log::log_enabled!(log::Level::Debug) => {
                builder.with_simple_exporter(LogExporter).build()
            }
            None => builder.with_sampler(Sampler::AlwaysOff).build(),
        };
        let tracer = provider.tracer("filbertstage");
        Self { provider, tracer }
    }

    /// Starts a span for a hop that continues `parent`, the value of a `traceparent` header.
    pub fn server_span(&self, name: &'static str, parent: &str) -> Span {
        let carrier = HashMap::from([(TRACEPARENT.to_owned(), parent.to_owned())]);
        let context = TraceContextPropagator::new().extract_with_context(&Context::new(), &carrier);
        self.span(name, SpanKind::Server, &context)
    }

    /// Starts a span for a hop to another process, as a child of `parent`.
    pub fn client_span(&self, name: &'static str, parent: &Span) -> Span {
        self.span(name, SpanKind::Client, &parent.0)
    }

    fn span(&self, name: &'static str, kind: SpanKind, parent: &Context) -> Span {
        let builder = self.tracer.span_builder(name).with_kind(kind);
        let span = self.tracer.build_with_context(builder, parent);
        Span(Context::new().with_span(span))
    }

    /// Exports the spans that were not exported yet.
    pub fn flush(&self) {
        if let Err(error) = self.provider.force_flush() {
            log::warn!("event=trace_flush_failed error={error:?}");
        }
    }
}

/// The span of one hop of a request; ends when dropped.
pub(crate) struct Span(Context);

impl Span {
    /// Sets an attribute of the span.
    pub fn set_attribute(&self, key: &'static str, value: impl Into<opentelemetry::Value>) {
        self.0.span().set_attribute(KeyValue::new(key, value));
    }

    /// Returns the `traceparent` header for the next hop.
    pub fn header(&self) -> String {
        let mut carrier = HashMap::new();
        TraceContextPropagator::new().inject_context(&self.0, &mut carrier);
        carrier.remove(TRACEPARENT).unwrap_or_default()
    }
}

impl Drop for Span {
    fn drop(&mut self) {
        self.0.span().end();
    }
}

/// Writes spans as debug lines to the node's log output.
#[derive(Debug)]
struct LogExporter;

impl SpanExporter for LogExporter {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        for span in batch {
            let took = span
                .end_time
                .duration_since(span.start_time)
                .unwrap_or_default();
            log::debug!(
                "event=span name={} trace={} span={} parent={} micros={}",
                span.name,
                span.span_context.trace_id(),
                span.span_context.span_id(),
                span.parent_span_id,
                took.as_micros()
            );
        }
        Ok(())
    }
}

fn collector_exporter(address: SocketAddr) -> Option<opentelemetry_otlp::SpanExporter> {
    let client = CollectorClient {
        client: std::sync::Arc::new(Client::new(address)),
        runtime: tokio::runtime::Handle::try_current().ok()?,
    };
    let built = opentelemetry_otlp::SpanExporter::builder()
        .with_http()
        .with_http_client(client)
        .with_endpoint(format!("http://{address}/v1/traces"))
        .build();
    match built {
        Ok(exporter) => Some(exporter),
        Err(error) => {
            log::warn!("event=trace_collector_unusable error={error:?}");
            None
        }
    }
}

/// Sends spans to the collector with the project's own HTTP client.
struct CollectorClient {
    client: std::sync::Arc<Client>,
    runtime: tokio::runtime::Handle,
}

impl std::fmt::Debug for CollectorClient {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "CollectorClient({})", self.client.address())
    }
}

#[async_trait]
impl HttpClient for CollectorClient {
    async fn send_bytes(
        &self,
        request: http::Request<Bytes>,
    ) -> Result<http::Response<Bytes>, HttpError> {
        const TIMEOUT: std::time::Duration = std::time::Duration::from_secs(2);
        let client = self.client.clone();
        let sent = self.runtime.spawn(async move {
            let headers = [("content-type", "application/x-protobuf")];
            let call = Call {
                method: http::Method::POST,
                path: "/v1/traces",
                headers: &headers,
                body: request.into_body(),
            };
            client.fetch(call, TIMEOUT).await
        });
        let body = sent.await??;
        Ok(http::Response::new(body))
    }
}
