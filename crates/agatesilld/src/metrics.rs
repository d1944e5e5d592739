//! Metrics by OpenTelemetry, exposed in the Prometheus text format.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// Instruments of one daemon.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    duration: Histogram<f64>,
    connections: Gauge<u64>,
}

impl Metrics {
    /// Creates the instruments.
    pub fn new() -> Result<Self, opentelemetry_sdk::error::OTelSdkError> {
        let registry = Registry::new();
        let exporter =
            opentelemetry_prometheus::exporter().with_registry(registry.clone()).build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("agatesilld");
        let requests = meter
            .u64_counter("agatesill.requests")
            .with_unit("{request}")
            .with_description("Requests by service and outcome")
            .build();
        let duration = meter
            .f64_histogram("http.server.request.duration")
            .with_unit("s")
            .with_description("Time from a request's head to its answer's head")
            .build();
        let connections = meter
            .u64_gauge("http.client.open_connections")
            .with_unit("{connection}")
            .with_description("Open connections to upstreams")
            .build();
        Ok(Self { registry, _provider: provider, requests, duration, connections })
    }

    /// Counts one request.
    pub fn request(&self, service: &str, outcome: &'static str, seconds: f64) {
        let labels =
            [KeyValue::new("service", service.to_owned()), KeyValue::new("outcome", outcome)];
        self.requests.add(1, &labels);
        self.duration.record(seconds, &labels);
    }

    /// Sets the number of open connections to upstreams.
    pub fn set_connections(&self, open: u64) {
        self.connections.record(open, &[]);
    }

    /// All instruments in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut bytes = Vec::new();
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut bytes);
        String::from_utf8(bytes).unwrap_or_default()
    }
}
