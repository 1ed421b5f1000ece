//! The metrics of a node, which are read in the Prometheus text format.

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// The instruments that record a node's metrics. Clones share them.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    requests: Counter<u64>,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    request_seconds: Histogram<f64>,
    store_calls: Counter<u64>,
    generation: Gauge<u64>,
    duties: Gauge<u64>,
    members: Gauge<u64>,
}

impl Metrics {
    /// Creates the instruments.
    pub(crate) fn new() -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|err| MetricsError(err.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("teaselgap");
        let counter =
            |name, description| meter.u64_counter(name).with_description(description).build();
        let gauge = |name, description| meter.u64_gauge(name).with_description(description).build();
        Ok(Self {
            requests: counter("teaselgap_requests", "Requests by service and outcome."),
            refusals: counter("teaselgap_refusals", "Requests refused as not run, by reason."),
            retries: counter("teaselgap_repeats", "Attempts beyond the first, by service."),
            request_seconds: meter
                .f64_histogram("teaselgap_request_seconds")
                .with_description("Time from a request's head to its answer's head.")
                .build(),
            store_calls: counter("teaselgap_store_calls", "Calls to the platform's store."),
            generation: gauge("teaselgap_generation", "Generation in force."),
            duties: gauge("teaselgap_duties", "Duties that this node owns."),
            members: gauge("teaselgap_members", "Nodes that are alive or suspected."),
            registry,
        })
    }

    /// Counts a request that has ended, and records its duration in seconds.
    pub(crate) fn record_request(&self, service: &str, outcome: &'static str, seconds: f64) {
        let labels =
            [KeyValue::new("service", service.to_owned()), KeyValue::new("outcome", outcome)];
        self.requests.add(1, &labels);
        self.request_seconds.record(seconds, &labels[..1]);
    }

    /// Counts a request that was refused without being run.
    pub(crate) fn record_refusal(&self, reason: &'static str) {
        self.refusals.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts an attempt beyond the first.
    pub(crate) fn record_retry(&self, service: &str) {
        self.retries.add(1, &[KeyValue::new("service", service.to_owned())]);
    }

    /// Counts a call to the store.
    pub(crate) fn record_store_call(&self, kind: &'static str, result: &'static str) {
        self.store_calls.add(1, &[KeyValue::new("kind", kind), KeyValue::new("result", result)]);
    }

    /// Records the generation in force and the numbers of owned duties and of members.
    pub(crate) fn record_control_state(&self, generation: u64, duties: usize, members: usize) {
        self.generation.record(generation, &[]);
        self.duties.record(duties as u64, &[]);
        self.members.record(members as u64, &[]);
    }

    /// Encodes all metrics in the Prometheus text format.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut buf = Vec::new();
        // Writing to memory can fail only for invalid names, which the registry does not accept.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut buf);
        buf
    }
}

/// The exporter of the metrics could not be created.
#[derive(Debug, thiserror::Error)]
#[error("cannot set up metrics: {0}")]
pub(crate) struct MetricsError(String);
