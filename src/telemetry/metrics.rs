//! Metrics, sent to a statsd server by `cadence`. `docs/OPERATIONS.md` lists the names.

use std::{io, net::UdpSocket, time::Duration};

use cadence::{
    BufferedUdpMetricSink, CountedExt, Gauged, NopMetricSink, QueuingMetricSink, StatsdClient,
    Timed,
};
use thiserror::Error;

use crate::options::TelemetrySettings;

/// First part of every name.
const PREFIX: &str = "alderbay";

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

/// Sends metrics, or drops them where no server is set.
#[derive(Debug)]
pub struct MetricSink {
    client: StatsdClient,
}

impl MetricSink {
    /// Opens the socket that the settings ask for.
    ///
    /// # Errors
    ///
    /// No socket could be opened.
    pub fn open(settings: &TelemetrySettings) -> Result<Self, MetricsError> {
        let Some(address) = settings.statsd else {
            return Ok(Self { client: StatsdClient::from_sink(PREFIX, NopMetricSink) });
        };
        let socket = UdpSocket::bind("0.0.0.0:0")?;
        socket.set_nonblocking(true)?;
        let sink = QueuingMetricSink::from(BufferedUdpMetricSink::from(address, socket)?);
        Ok(Self { client: StatsdClient::from_sink(PREFIX, sink) })
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
}
