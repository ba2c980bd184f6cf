//! Metrics by `cadence`: aggregated in memory for the metrics endpoint, and sent to a statsd
//! server if one is configured. `docs/OPERATIONS.md` lists the names.

use std::{
    collections::BTreeMap,
    fmt::Write as _,
    io,
    net::{SocketAddr, UdpSocket},
    panic::RefUnwindSafe,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use cadence::{
    BufferedUdpMetricSink, CountedExt, Gauged, NopMetricSink, QueuingMetricSink, StatsdClient,
    Timed,
};
use hdrhistogram::Histogram;
use http::StatusCode;
use smol_str::SmolStr;
use thiserror::Error;
use tokio::sync::watch;

use crate::{
    http::{HttpListener, ListenerError, ListenerPhase, text_response},
    options::{HttpLimits, TelemetrySettings},
};

/// Prefix of every metric name.
const METRIC_PREFIX: &str = "alderbay";
/// Path of the metrics endpoint.
const METRICS_PATH: &str = "/metrics";
/// Quantiles of each duration that the endpoint reports.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 1.0];
/// Precision of the duration histograms, in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Why the metrics sink cannot be opened.
#[derive(Debug)]
#[derive(Error)]
pub enum MetricsError {
    /// The UDP socket to the statsd server cannot be opened.
    #[error("cannot open a socket for metrics: {0}")]
    Socket(#[from] io::Error),
    /// The address of the statsd server is invalid.
    #[error("cannot open the statsd sink: {0}")]
    Sink(#[from] cadence::MetricError),
}

/// Records metrics, and sends them to a statsd server if one is configured. Clones share the
/// recorded values. Names are given without the prefix.
#[derive(Clone, Debug)]
pub struct MetricSink {
    client: Arc<StatsdClient>,
    table: Arc<Mutex<MetricTable>>,
}

#[derive(Debug, Default)]
struct MetricTable {
    values: BTreeMap<SmolStr, u64>,
    durations: BTreeMap<SmolStr, Histogram<u64>>,
}

/// Records each metric that the statsd client emits, and passes it on to the next sink.
struct RecordingSink<S> {
    table: Arc<Mutex<MetricTable>>,
    next: S,
}

impl<S: cadence::MetricSink> cadence::MetricSink for RecordingSink<S> {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner).record(metric);
        self.next.emit(metric)
    }
}

impl MetricTable {
    /// Records one metric in the format of statsd: `name:value|type`. Malformed ones are ignored.
    fn record(&mut self, metric: &str) {
        let Some((name, sample)) = metric.split_once(':') else { return };
        let mut parts = sample.split('|');
        let value = parts.next().and_then(|it| it.parse::<u64>().ok());
        let (Some(value), Some(kind)) = (value, parts.next()) else { return };
        match kind {
            "c" => *self.values.entry(name.into()).or_default() += value,
            "g" => {
                self.values.insert(name.into(), value);
            }
            "ms" => self.record_duration(name, value),
            _ => {}
        }
    }

    fn record_duration(&mut self, name: &str, millis: u64) {
        if !self.durations.contains_key(name) {
            let Ok(histogram) = Histogram::new(SIGNIFICANT_DIGITS) else { return };
            self.durations.insert(name.into(), histogram);
        }
        if let Some(histogram) = self.durations.get_mut(name) {
            histogram.saturating_record(millis);
        }
    }

    /// Renders the metrics in the Prometheus text exposition format.
    fn render(&self) -> String {
        let mut text = String::new();
        for (name, value) in &self.values {
            // Writing to a string cannot fail.
            let _ = writeln!(text, "{} {value}", prometheus_name(name));
        }
        for (name, histogram) in &self.durations {
            let name = prometheus_name(name);
            for quantile in QUANTILES {
                let value = histogram.value_at_quantile(quantile);
                let _ = writeln!(text, "{name}_ms{{quantile=\"{quantile}\"}} {value}");
            }
            let _ = writeln!(text, "{name}_ms_count {}", histogram.len());
        }
        text
    }
}

/// Replaces characters that Prometheus does not allow in names.
fn prometheus_name(name: &str) -> String {
    name.replace(['.', '-'], "_")
}

impl MetricSink {
    /// Opens the sink, with a UDP socket if the settings name a statsd server.
    ///
    /// # Errors
    ///
    /// The socket cannot be opened.
    pub fn open(settings: &TelemetrySettings) -> Result<Self, MetricsError> {
        let table = Arc::new(Mutex::default());
        let Some(address) = settings.statsd else {
            return Ok(Self::with_sink(table, NopMetricSink));
        };
        let socket = UdpSocket::bind("0.0.0.0:0")?;
        socket.set_nonblocking(true)?;
        let sink = QueuingMetricSink::from(BufferedUdpMetricSink::from(address, socket)?);
        Ok(Self::with_sink(table, sink))
    }

    fn with_sink<S>(table: Arc<Mutex<MetricTable>>, next: S) -> Self
    where
        S: cadence::MetricSink + Send + Sync + RefUnwindSafe + 'static,
    {
        let sink = RecordingSink { table: table.clone(), next };
        Self { client: Arc::new(StatsdClient::from_sink(METRIC_PREFIX, sink)), table }
    }

    /// Adds one to a counter. A metric that cannot be sent is lost rather than delaying a request.
    pub fn count(&self, name: &str) {
        let _ = self.client.incr(name);
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    /// Adds a duration to a histogram, with millisecond resolution.
    pub fn time(&self, name: &str, value: Duration) {
        let _ = self.client.time(name, value);
    }

    /// Renders all recorded metrics in the Prometheus text exposition format.
    ///
    /// ```
    /// use alderbay::{options::TelemetrySettings, telemetry::MetricSink};
    /// let metrics = MetricSink::open(&TelemetrySettings::default())?;
    /// metrics.count("requests.arrived");
    /// assert_eq!(metrics.render(), "alderbay_requests_arrived 1\n");
    /// # Ok::<(), alderbay::telemetry::MetricsError>(())
    /// ```
    pub fn render(&self) -> String {
        self.table.lock().unwrap_or_else(PoisonError::into_inner).render()
    }
}

/// Starts a task that serves the metrics at `http://{address}/metrics` until the process ends.
///
/// # Errors
///
/// The address cannot be bound.
pub async fn serve_metrics(
    address: SocketAddr,
    limits: HttpLimits,
    metrics: MetricSink,
) -> Result<(), ListenerError> {
    let listener = HttpListener::bind(address, limits).await?;
    let handle = move |_, request: http::Request<hyper::body::Incoming>| {
        std::future::ready(match request.uri().path() {
            METRICS_PATH => text_response(StatusCode::OK, metrics.render()),
            _ => text_response(StatusCode::NOT_FOUND, "no such path\n"),
        })
    };
    let (phase_sender, phase) = watch::channel(ListenerPhase::Open);
    tokio::spawn(async move {
        listener.serve_with(handle, phase).await;
        drop(phase_sender);
    });
    Ok(())
}
