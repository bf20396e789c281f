//! Histograms per team and event counters, kept in memory and sent to statsd.
//!
//! Invariant: a histogram keeps three significant digits from 1 ms to one hour.

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};

use cadence::prelude::*;
use cadence::{NopMetricSink, StatsdClient, UdpMetricSink};
use control::Metric;
use hdrhistogram::Histogram;
use model::Name;
use serde::Serialize;

/// Maximum recorded value in ms; larger values are recorded as this one.
const MAX_MS: u64 = 3_600_000;
/// Significant decimal digits kept by histograms.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Quantiles of one histogram.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Quantiles {
    measure: &'static str,
    team: Name,
    count: u64,
    p50: u64,
    p99: u64,
    max: u64,
}

/// All metrics of the process.
pub(crate) struct Metrics {
    statsd: StatsdClient,
    histograms: BTreeMap<(&'static str, Name), Histogram<u32>>,
}

impl Metrics {
    /// Creates metrics that are also sent to a statsd server at `address`.
    pub(crate) fn new(address: Option<SocketAddr>) -> Self {
        let statsd = address.and_then(statsd_client);
        Self {
            statsd: statsd
                .unwrap_or_else(|| StatsdClient::from_sink("greengagemast", NopMetricSink)),
            histograms: BTreeMap::new(),
        }
    }

    /// Records a sample in ms in the histogram of its metric and team.
    pub(crate) fn record(&mut self, metric: Metric, team: &Name, value: u64) {
        let name = metric_name(metric);
        // A metric that cannot be sent is dropped.
        let _ = self
            .statsd
            .histogram_with_tags(name, value)
            .with_tag("team", team)
            .try_send();
        let key = (name, team.clone());
        let histogram = self.histograms.entry(key).or_insert_with(|| {
            Histogram::new_with_max(MAX_MS, SIGNIFICANT_DIGITS)
                .unwrap_or_else(|_| invalid_histogram_bounds())
        });
        histogram.saturating_record(value.min(MAX_MS));
    }

    /// Counts one log event under its number.
    pub(crate) fn count_event(&self, number: u16) {
        // A metric that cannot be sent is dropped.
        let _ = self
            .statsd
            .count_with_tags("event", 1)
            .with_tag("number", &number.to_string())
            .try_send();
    }

    /// Returns the quantiles of all histograms.
    pub(crate) fn quantiles(&self) -> Vec<Quantiles> {
        let summarize =
            |((measure, team), h): (&(&'static str, Name), &Histogram<u32>)| Quantiles {
                measure,
                team: team.clone(),
                count: h.len(),
                p50: h.value_at_quantile(0.5),
                p99: h.value_at_quantile(0.99),
                max: h.max(),
            };
        self.histograms.iter().map(summarize).collect()
    }
}

fn statsd_client(address: SocketAddr) -> Option<StatsdClient> {
    let socket = UdpSocket::bind("0.0.0.0:0").ok()?;
    socket.set_nonblocking(true).ok()?;
    let sink = UdpMetricSink::from(address, socket).ok()?;
    Some(StatsdClient::from_sink("greengagemast", sink))
}

const fn metric_name(metric: Metric) -> &'static str {
    match metric {
        Metric::RequestWait => "request_wait_ms",
        Metric::TaskWait => "task_wait_ms",
        Metric::UrgentWait => "urgent_wait_ms",
    }
}

/// Never called: the library accepts the constant bounds above.
fn invalid_histogram_bounds() -> Histogram<u32> {
    unreachable!("the constant histogram bounds are valid")
}
