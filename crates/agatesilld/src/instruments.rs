//! Metric registry, meter and text exposition shared by all instruments of one process.

use opentelemetry::metrics::{Histogram, Meter, MeterProvider};
use opentelemetry_sdk::error::OTelSdkError;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

use crate::logging;

/// Name of the meter of all instruments.
const METER: &str = "agatesilld";

/// The registry of one process's instruments.
#[derive(Clone, Debug)]
pub struct Instruments {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl Instruments {
    /// Creates an empty registry.
    pub fn new() -> Result<Self, OTelSdkError> {
        let registry = Registry::new();
        let exporter =
            opentelemetry_prometheus::exporter().with_registry(registry.clone()).build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { registry, provider })
    }

    /// The meter that creates instruments.
    pub fn meter(&self) -> Meter {
        self.provider.meter(METER)
    }

    /// Creates a histogram of seconds with the given upper bucket bounds.
    pub fn seconds_histogram(
        &self,
        name: &'static str,
        bounds_s: &[f64],
        description: &'static str,
    ) -> Histogram<f64> {
        self.meter()
            .f64_histogram(name)
            .with_unit("s")
            .with_boundaries(bounds_s.to_vec())
            .with_description(description)
            .build()
    }

    /// Creates a counter of lost log lines.
    pub fn observe_lost_lines(&self) {
        self.meter()
            .u64_observable_counter("agatesill.log.lost")
            .with_unit("{line}")
            .with_description("Log lines lost")
            .with_callback(|counter| counter.observe(logging::lost_lines(), &[]))
            .build();
    }

    /// All instruments in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut bytes = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut bytes) {
            log::warn!(event = "metrics_unencodable"; "{error}");
        }
        String::from_utf8_lossy(&bytes).into_owned()
    }
}
