//! Metrics by `cadence`: kept for the metrics address, and sent to a statsd server where one is
//! set. `docs/OPERATIONS.md` lists the names.

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

/// First part of every name.
const PREFIX: &str = "alderbay";
/// Path on the metrics address.
const METRICS_PATH: &str = "/metrics";
/// Quantiles that are shown of a duration.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 1.0];
/// Significant digits of durations.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Why metrics cannot be sent.
#[derive(Debug)]
#[derive(Error)]
pub enum MetricsError {
    /// No socket could be opened.
    #[error("opening a socket for metrics: {0}")]
    Socket(#[from] io::Error),
    /// The sink refused its address.
    #[error("metrics: {0}")]
    Sink(#[from] cadence::MetricError),
}

/// Keeps metrics, and sends them where a server is set.
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

/// Keeps each metric that the client emits and passes it on.
struct RecordingSink<S> {
    table: Arc<Mutex<MetricTable>>,
    next: S,
}

impl<S: cadence::MetricSink> cadence::MetricSink for RecordingSink<S> {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner).keep(metric);
        self.next.emit(metric)
    }
}

impl MetricTable {
    /// Takes in one metric as statsd writes it: `name:value|type`.
    fn keep(&mut self, metric: &str) {
        let Some((name, rest)) = metric.split_once(':') else { return };
        let mut parts = rest.split('|');
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

    /// The metrics as text, in the exposition format that Prometheus reads.
    fn render(&self) -> String {
        let mut text = String::new();
        for (name, value) in &self.values {
            // Writing to a string cannot fail.
            let _ = writeln!(text, "{} {value}", exposed(name));
        }
        for (name, histogram) in &self.durations {
            let name = exposed(name);
            for quantile in QUANTILES {
                let value = histogram.value_at_quantile(quantile);
                let _ = writeln!(text, "{name}_ms{{quantile=\"{quantile}\"}} {value}");
            }
            let _ = writeln!(text, "{name}_ms_count {}", histogram.len());
        }
        text
    }
}

fn exposed(name: &str) -> String {
    name.replace(['.', '-'], "_")
}

impl MetricSink {
    /// Opens the socket that the settings ask for.
    ///
    /// # Errors
    ///
    /// No socket could be opened.
    pub fn open(settings: &TelemetrySettings) -> Result<Self, MetricsError> {
        let table = Arc::new(Mutex::default());
        let Some(address) = settings.statsd else {
            return Ok(Self::keeping(table, NopMetricSink));
        };
        let socket = UdpSocket::bind("0.0.0.0:0")?;
        socket.set_nonblocking(true)?;
        let sink = QueuingMetricSink::from(BufferedUdpMetricSink::from(address, socket)?);
        Ok(Self::keeping(table, sink))
    }

    fn keeping<S>(table: Arc<Mutex<MetricTable>>, next: S) -> Self
    where
        S: cadence::MetricSink + Send + Sync + RefUnwindSafe + 'static,
    {
        let sink = RecordingSink { table: table.clone(), next };
        Self { client: Arc::new(StatsdClient::from_sink(PREFIX, sink)), table }
    }

    /// Counts one event. A metric that cannot be sent is lost; requests matter more.
    pub fn count(&self, name: &str) {
        let _ = self.client.incr(name);
    }

    /// Sets a level.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    /// Records a duration.
    pub fn time(&self, name: &str, value: Duration) {
        let _ = self.client.time(name, value);
    }

    /// All metrics as text.
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

/// Serves the metrics on `address` until the process ends.
///
/// # Errors
///
/// The address cannot be used.
pub async fn serve_metrics(
    address: SocketAddr,
    limits: HttpLimits,
    metrics: MetricSink,
) -> Result<(), ListenerError> {
    let listener = HttpListener::bind(address, limits).await?;
    let answer = move |_, request: http::Request<hyper::body::Incoming>| {
        std::future::ready(match request.uri().path() {
            METRICS_PATH => text_response(StatusCode::OK, metrics.render()),
            _ => text_response(StatusCode::NOT_FOUND, "no such path\n"),
        })
    };
    let (phase, phases) = watch::channel(ListenerPhase::Open);
    tokio::spawn(async move {
        listener.serve_with(answer, phases).await;
        drop(phase);
    });
    Ok(())
}
