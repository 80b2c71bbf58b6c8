//! Prometheus exporter of a balancer's counters.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
};

use anyhow::Context;
use metrics_exporter_prometheus::PrometheusBuilder;
use sassafrasmast_core::balancer::{Counters, Reason};

/// Starts the Prometheus exporter.
///
/// # Errors
///
/// If the address cannot be bound; the error names it.
pub(super) fn start(address: SocketAddr) -> anyhow::Result<()> {
    PrometheusBuilder::new()
        .with_http_listener(address)
        .install()
        .with_context(|| format!("metrics: cannot listen on {address}"))
}

/// Publishes the router's counters.
pub(super) fn publish(counters: &Counters) {
    let outcomes = [
        ("forwarded", &counters.forwarded),
        ("placed", &counters.placed),
        ("placed-again", &counters.placed_again),
        ("reset", &counters.reset),
        ("delivered", &counters.delivered),
    ];
    for (outcome, counter) in outcomes {
        metrics::counter!("sassafrasmast_balancer_datagrams_total", "outcome" => outcome)
            .absolute(load(counter));
    }
    for reason in Reason::ALL {
        metrics::counter!("sassafrasmast_balancer_dropped_total", "reason" => reason.name())
            .absolute(counters.dropped(reason));
    }
    let frames = [
        ("malformed", &counters.malformed_frames),
        ("foreign", &counters.foreign_frames),
    ];
    for (fault, counter) in frames {
        metrics::counter!("sassafrasmast_balancer_bad_frames_total", "fault" => fault)
            .absolute(load(counter));
    }
    metrics::counter!("sassafrasmast_balancer_probes_total").absolute(load(&counters.probes));
    metrics::counter!("sassafrasmast_balancer_control_bytes_total")
        .absolute(load(&counters.control_bytes));
    metrics::counter!("sassafrasmast_balancer_holds_total").absolute(load(&counters.holds));
}

fn load(counter: &AtomicU64) -> u64 {
    counter.load(Ordering::Relaxed)
}
