//! The metrics of a node, which are read in the Prometheus text format.

mod cell;
#[cfg(test)]
mod tests;

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, Meter, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use teaselgap_core::{Span, job::LogEvent};

use self::cell::CellMetrics;
use crate::jobs::OwnerLoad;

/// Upper bounds of the buckets of histograms of times, in seconds.
const SECONDS: [f64; 14] =
    [0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 25.0, 60.0];

/// The instruments that record a node's metrics. Clones share them.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    /// Owns the reader that the registry collects from: once it is dropped, there are no metrics.
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    request_seconds: Histogram<f64>,
    store_calls: Counter<u64>,
    store_wait_seconds: Histogram<f64>,
    generation: Gauge<u64>,
    duties: Gauge<u64>,
    members: Gauge<u64>,
    owner: OwnerGauges,
    cell: CellMetrics,
}

/// The gauges of what an owner of a cell did in the last second.
#[derive(Clone, Debug)]
struct OwnerGauges {
    calls_in_flight: Gauge<u64>,
    oldest_call_ms: Gauge<u64>,
    held_back_starts: Gauge<u64>,
    starts_in_flight: Gauge<u64>,
    starts: Gauge<u64>,
    accepted: Gauge<u64>,
    refused: Gauge<u64>,
    holds: Gauge<u64>,
    unanswered: Gauge<u64>,
    repeated_starts: Gauge<u64>,
    start_bytes: Gauge<u64>,
    stops: Gauge<u64>,
    unanswered_holds: Gauge<u64>,
    listed_runs: Gauge<u64>,
    listed_ends: Gauge<u64>,
    known_ends: Gauge<u64>,
    hold_answer_bytes: Gauge<u64>,
    waiting_ends: Gauge<u64>,
    median_answer_ms: Gauge<u64>,
    longest_answer_ms: Gauge<u64>,
    longest_tick_us: Gauge<u64>,
    write_age_ms: Gauge<u64>,
    lease_left_ms: Gauge<u64>,
}

impl OwnerGauges {
    fn new(meter: &Meter) -> Self {
        let gauge = |name, description| meter.u64_gauge(name).with_description(description).build();
        Self {
            calls_in_flight: gauge("teaselgap_owner_calls_in_flight", "Calls to workers."),
            oldest_call_ms: gauge("teaselgap_owner_oldest_call_ms", "Age of the oldest call."),
            held_back_starts: gauge("teaselgap_owner_held_back_starts", "Starts that wait."),
            starts_in_flight: gauge(
                "teaselgap_owner_starts_in_flight",
                "Start orders without an outcome.",
            ),
            starts: gauge("teaselgap_owner_starts", "Start orders sent in a second."),
            accepted: gauge("teaselgap_owner_accepted", "Submissions accepted in a second."),
            refused: gauge("teaselgap_owner_refused", "Submissions refused in a second."),
            holds: gauge("teaselgap_owner_holds", "Holds sent in a second."),
            unanswered: gauge("teaselgap_owner_unanswered", "Calls without an answer in a second."),
            repeated_starts: gauge(
                "teaselgap_owner_repeated_starts",
                "Copies of start orders sent again in a second.",
            ),
            start_bytes: gauge("teaselgap_owner_start_bytes", "Bytes of start orders in a second."),
            stops: gauge("teaselgap_owner_stops", "Stop orders sent in a second."),
            unanswered_holds: gauge(
                "teaselgap_owner_unanswered_holds",
                "Holds without an answer in a second.",
            ),
            listed_runs: gauge("teaselgap_owner_listed_runs", "Runs listed in a second."),
            listed_ends: gauge("teaselgap_owner_listed_ends", "Ends listed in a second."),
            known_ends: gauge("teaselgap_owner_known_ends", "Ends listed again in a second."),
            hold_answer_bytes: gauge(
                "teaselgap_owner_hold_answer_bytes",
                "Bytes of answers to holds in a second.",
            ),
            waiting_ends: gauge(
                "teaselgap_owner_waiting_ends",
                "Ends that wait for copies of their orders.",
            ),
            median_answer_ms: gauge("teaselgap_owner_median_answer_ms", "Median time of orders."),
            longest_answer_ms: gauge("teaselgap_owner_longest_answer_ms", "Longest of orders."),
            longest_tick_us: gauge("teaselgap_owner_longest_tick_us", "Time of the longest tick."),
            write_age_ms: gauge("teaselgap_owner_write_age_ms", "Age of the pending log write."),
            lease_left_ms: gauge("teaselgap_owner_lease_left_ms", "Validity left of the lease."),
        }
    }
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
                .with_boundaries(SECONDS.to_vec())
                .build(),
            store_calls: counter("teaselgap_store_calls", "Calls to the platform's store."),
            store_wait_seconds: meter
                .f64_histogram("teaselgap_store_wait_seconds")
                .with_description("Time that calls to the store waited for this node's share.")
                .with_boundaries(SECONDS.to_vec())
                .build(),
            generation: gauge("teaselgap_generation", "Generation in force."),
            duties: gauge("teaselgap_duties", "Duties that this node owns."),
            owner: OwnerGauges::new(&meter),
            cell: CellMetrics::new(&meter),
            members: gauge("teaselgap_members", "Nodes that are alive or suspected."),
            registry,
            _provider: provider,
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

    /// Records how long a call to the store waited for this node's share of the rate, in seconds.
    pub(crate) fn record_store_wait(&self, priority: &'static str, seconds: f64) {
        self.store_wait_seconds.record(seconds, &[KeyValue::new("priority", priority)]);
    }

    /// Records the generation in force and the numbers of owned duties and of members.
    pub(crate) fn record_control_state(&self, generation: u64, duties: usize, members: usize) {
        self.generation.record(generation, &[]);
        self.duties.record(duties as u64, &[]);
        self.members.record(members as u64, &[]);
    }

    /// Counts a decision of the owner of a cell.
    pub(crate) fn record_decision(&self, cell: &str, event: &LogEvent) {
        self.cell.record(cell, event);
    }

    /// Records the load of the owner of a cell in the last second.
    pub(crate) fn record_owner_load(
        &self,
        cell: &str,
        load: &OwnerLoad,
        write_age: Span,
        lease_validity: Span,
    ) {
        let labels = [KeyValue::new("cell", cell.to_owned())];
        let micros = u64::try_from(load.longest_tick.as_micros()).unwrap_or(u64::MAX);
        let gauges = &self.owner;
        gauges.calls_in_flight.record(load.calls_in_flight as u64, &labels);
        gauges.oldest_call_ms.record(load.oldest_call.0, &labels);
        gauges.held_back_starts.record(load.held_back_starts as u64, &labels);
        gauges.starts_in_flight.record(load.starts_in_flight as u64, &labels);
        gauges.starts.record(u64::from(load.starts), &labels);
        gauges.accepted.record(u64::from(load.accepted), &labels);
        gauges.refused.record(u64::from(load.refused), &labels);
        gauges.holds.record(u64::from(load.holds), &labels);
        gauges.unanswered.record(u64::from(load.unanswered), &labels);
        gauges.repeated_starts.record(u64::from(load.repeated_starts), &labels);
        gauges.start_bytes.record(load.start_bytes, &labels);
        gauges.stops.record(u64::from(load.stops), &labels);
        gauges.unanswered_holds.record(u64::from(load.unanswered_holds), &labels);
        gauges.listed_runs.record(load.lists.runs, &labels);
        gauges.listed_ends.record(load.lists.ends, &labels);
        gauges.known_ends.record(load.lists.known_ends, &labels);
        gauges.hold_answer_bytes.record(load.lists.bytes, &labels);
        gauges.waiting_ends.record(load.waiting_ends as u64, &labels);
        gauges.median_answer_ms.record(load.median_answer.0, &labels);
        gauges.longest_answer_ms.record(load.longest_answer.0, &labels);
        gauges.longest_tick_us.record(micros, &labels);
        gauges.write_age_ms.record(write_age.0, &labels);
        gauges.lease_left_ms.record(lease_validity.0, &labels);
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
