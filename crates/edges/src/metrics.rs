//! Encodes the counters of a process for the `/metrics` routes.

use model::{CloseCause, ErrorKind, LearnedPair, MessageKind, ProcessCounters};
use prometheus::{Encoder, GaugeVec, IntCounterVec, IntGauge, Opts, Registry, TextEncoder};
use strum::IntoEnumIterator;

use crate::duty_time::duty_seconds;

/// Renders the counters of a process in the Prometheus text format.
pub fn render(counters: &ProcessCounters) -> String {
    let registry = Registry::new();
    let filled = fill(&registry, counters);
    let mut page = Vec::new();
    let encoded = TextEncoder::new().encode(&registry.gather(), &mut page);
    match filled.and(encoded) {
        Ok(()) => String::from_utf8(page).unwrap_or_default(),
        Err(error) => format!("# metrics failed: {error}\n"),
    }
}

fn fill(registry: &Registry, counters: &ProcessCounters) -> prometheus::Result<()> {
    let messages = counter(registry, "cactuswing_messages_total", "Messages by kind", "kind")?;
    for kind in MessageKind::iter() {
        messages.with_label_values(&[<&str>::from(kind)]).inc_by(counters.messages(kind));
    }
    let failures =
        counter(registry, "cactuswing_failed_answers_total", "Failed answers by kind", "kind")?;
    for kind in ErrorKind::iter() {
        failures.with_label_values(&[<&str>::from(kind)]).inc_by(counters.failures(kind));
    }
    let name = "cactuswing_closed_connections_total";
    let closed = counter(registry, name, "Refused and closed connections by cause", "cause")?;
    for cause in CloseCause::iter() {
        closed.with_label_values(&[<&str>::from(cause)]).inc_by(counters.closed(cause));
    }
    let duty_time = GaugeVec::new(
        Opts::new("cactuswing_duty_seconds", "Processor time by duty so far, in seconds"),
        &["duty"],
    )?;
    registry.register(Box::new(duty_time.clone()))?;
    for (duty, seconds) in duty_seconds() {
        duty_time.with_label_values(&[&duty]).set(seconds);
    }
    let pairs = counters.learned_pairs();
    let pair_gauge = |name, help, value: fn(&LearnedPair) -> f64| {
        let gauges = GaugeVec::new(Opts::new(name, help), &["first", "second"])?;
        for pair in &pairs {
            gauges.with_label_values(&[&pair.first, &pair.second]).set(value(pair));
        }
        registry.register(Box::new(gauges))
    };
    let name = "cactuswing_interference_factor";
    pair_gauge(name, "Factor on run times by pair of queues", |pair| pair.factor)?;
    let name = "cactuswing_interference_samples";
    pair_gauge(name, "Jobs compared by pair of queues", |pair| pair.samples as f64)?;
    let name = "cactuswing_interference_age_seconds";
    pair_gauge(name, "Age of the latest report by pair of queues", |pair| pair.age.as_secs_f64())?;
    gauge(registry, "cactuswing_whole_answers", "Complete answers so far", counters.completed())?;
    gauge(registry, "cactuswing_waiting_tasks", "Waiting tasks", counters.waiting())?;
    gauge(registry, "cactuswing_in_progress", "Work in progress", counters.in_progress())?;
    gauge(registry, "cactuswing_known_slots", "Known slots for tasks", counters.slots())?;
    let dropped = counters.dropped_lines();
    gauge(
        registry,
        "cactuswing_dropped_log_lines",
        "Log lines dropped because the ring was full",
        dropped,
    )
}

fn counter(
    registry: &Registry,
    name: &str,
    help: &str,
    label: &str,
) -> prometheus::Result<IntCounterVec> {
    let counter = IntCounterVec::new(Opts::new(name, help), &[label])?;
    registry.register(Box::new(counter.clone()))?;
    Ok(counter)
}

fn gauge(registry: &Registry, name: &str, help: &str, value: u64) -> prometheus::Result<()> {
    let gauge = IntGauge::new(name, help)?;
    gauge.set(value as i64);
    registry.register(Box::new(gauge))
}
