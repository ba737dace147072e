//! Sends metrics over `StatsD`; docs/METRICS.md lists them.

use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use cadence::{
    BufferedUdpMetricSink, Counted, Gauged, NopMetricSink, QueuingMetricSink, StatsdClient, Timed,
};

/// Prefix of the name of every metric.
const PREFIX: &str = "stairstall";

/// Client that sends metrics; clones share one connection.
#[derive(Debug, Clone)]
pub(crate) struct Metrics {
    client: std::sync::Arc<StatsdClient>,
}

impl Metrics {
    pub(crate) fn new(target: Option<SocketAddr>) -> std::io::Result<Self> {
        let client = match target {
            None => StatsdClient::from_sink(PREFIX, NopMetricSink),
            Some(target) => {
                let socket = UdpSocket::bind(("0.0.0.0", 0))?;
                socket.set_nonblocking(true)?;
                let sink =
                    BufferedUdpMetricSink::from(target, socket).map_err(std::io::Error::other)?;
                StatsdClient::from_sink(PREFIX, QueuingMetricSink::from(sink))
            }
        };
        Ok(Self {
            client: std::sync::Arc::new(client),
        })
    }

    /// Increments a counter by one; a metric that can't be sent is dropped.
    pub(crate) fn count(&self, name: &str) {
        let _ = self.client.count(name, 1);
    }

    pub(crate) fn time(&self, name: &str, took: Duration) {
        let _ = self.client.time(name, took);
    }

    pub(crate) fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }
}
