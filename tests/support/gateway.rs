//! A gateway as a real process, and HTTP calls to it.

use std::{
    net::SocketAddr,
    path::Path,
    process::{Child, Command, Stdio},
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use serde_json::json;
use tokio::{net::TcpStream, time::Instant};

use super::{
    fleet::Launcher,
    ports::{free_address, spawn},
};

/// Time within which a started gateway must become ready.
pub const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Settings in which tests differ.
struct GatewayTuning {
    grace: Duration,
    /// Retries allowed at once, over all gateways.
    retry_burst: f64,
}

impl Default for GatewayTuning {
    fn default() -> Self {
        Self { grace: Duration::from_secs(8), retry_burst: 2_400.0 }
    }
}

/// A running gateway and the addresses of its listeners; killed on drop.
pub struct GatewayProcess {
    pub child: Child,
    /// Where callers reach the gateway.
    pub listen: SocketAddr,
    /// Serves the readiness check.
    pub ready: SocketAddr,
    /// Where other gateways reach this one.
    pub peer: SocketAddr,
    pub admin: SocketAddr,
    /// UDP listener.
    pub datagrams: SocketAddr,
    launcher: Launcher,
    folder: tempfile::TempDir,
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl GatewayProcess {
    /// Starts a gateway that reads from `store` and finds other gateways through `seeds`.
    pub fn start(launcher: &Launcher, store: SocketAddr, seeds: &[SocketAddr]) -> Self {
        Self::start_with(launcher, (store, seeds), GatewayTuning::default(), launch)
    }

    /// Starts a gateway with this grace period.
    pub fn start_with_grace(
        launcher: &Launcher,
        store: SocketAddr,
        seeds: &[SocketAddr],
        grace: Duration,
    ) -> Self {
        let tuning = GatewayTuning { grace, ..GatewayTuning::default() };
        Self::start_with(launcher, (store, seeds), tuning, launch)
    }

    /// Starts a gateway that may repeat this many requests at once, with all others together.
    pub fn start_with_burst(
        launcher: &Launcher,
        store: SocketAddr,
        seeds: &[SocketAddr],
        retry_burst: f64,
    ) -> Self {
        let tuning = GatewayTuning { retry_burst, ..GatewayTuning::default() };
        Self::start_with(launcher, (store, seeds), tuning, launch)
    }

    /// Starts a gateway whose standard output is a pipe that nobody reads.
    pub fn start_unread(launcher: &Launcher, store: SocketAddr) -> Self {
        let tuning = GatewayTuning::default();
        Self::start_with(launcher, (store, &[]), tuning, |launcher, folder| {
            spawn(command(launcher, folder).stdout(Stdio::piped()))
        })
    }

    fn start_with(
        launcher: &Launcher,
        (store, seeds): (SocketAddr, &[SocketAddr]),
        tuning: GatewayTuning,
        launch: impl Fn(&Launcher, &Path) -> Child,
    ) -> Self {
        let GatewayTuning { grace, retry_burst } = tuning;
        let [listen, ready, peer, admin, datagrams] = [(); 5].map(|()| free_address());
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("gateway.json");
        let settings = json!({
            "identity": {"vm": "g-1", "failure_domain": "a", "admin_listen": admin},
            "role": {"gateway": {
                "listen": listen, "ready_listen": ready, "peer_listen": peer, "seeds": seeds,
                "store": store, "budget": {"retry_ratio": 2.0, "retry_burst": retry_burst, "cold_factor": 1.5, "cold_burst": 5.0}
            }},
            "datagrams": datagrams,
            "grace_s": grace.as_secs_f64()
        });
        std::fs::write(&path, settings.to_string()).unwrap();
        let launcher = launcher.clone();
        let child = launch(&launcher, folder.path());
        Self { child, listen, ready, peer, admin, datagrams, launcher, folder }
    }

    /// Waits for the process to exit and starts it again with the same settings.
    pub fn restart(&mut self) {
        let _ = self.child.wait();
        self.child = launch(&self.launcher, self.folder.path());
    }

    /// Waits until the readiness check succeeds. Panics after `READY_TIMEOUT`.
    pub async fn wait_ready(&self) {
        let deadline = Instant::now() + READY_TIMEOUT;
        while get(self.ready, "/v1/readyz").await.map(|it| it.0) != Some(StatusCode::OK) {
            assert!(Instant::now() < deadline, "gateway is not ready in time: {}", self.log_text());
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Sends a signal to this process, by its id.
    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let status = spawn(Command::new("kill").args([signal, &id])).wait().unwrap();
        assert!(status.success());
    }

    /// Waits until the process has exited. Returns its exit code, or `None` after `max_wait`.
    pub async fn wait_exit(&mut self, max_wait: Duration) -> Option<i32> {
        let deadline = Instant::now() + max_wait;
        while Instant::now() < deadline {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        None
    }

    /// Lines of the log with this message.
    pub fn log_lines(&self, message: &str) -> Vec<serde_json::Value> {
        let lines = self.log_text();
        let lines = lines.lines().filter_map(|it| serde_json::from_str(it).ok());
        lines.filter(|it: &serde_json::Value| it["message"] == message).collect()
    }

    /// Standard output of all runs so far.
    pub fn log_text(&self) -> String {
        std::fs::read_to_string(self.folder.path().join("log")).unwrap_or_default()
    }
}

/// Starts gateways that know the first three of them, and waits until all are ready.
pub async fn start_gateways(
    count: usize,
    launcher: &Launcher,
    store: SocketAddr,
) -> Vec<GatewayProcess> {
    let mut gateways: Vec<GatewayProcess> = Vec::new();
    for _ in 0..count {
        let seeds: Vec<SocketAddr> = gateways.iter().take(3).map(|it| it.peer).collect();
        gateways.push(GatewayProcess::start(launcher, store, &seeds));
    }
    for gateway in &gateways {
        gateway.wait_ready().await;
    }
    gateways
}

fn launch(launcher: &Launcher, folder: &Path) -> Child {
    let log = std::fs::File::options().create(true).append(true).open(folder.join("log")).unwrap();
    spawn(command(launcher, folder).stdout(log))
}

fn command(launcher: &Launcher, folder: &Path) -> Command {
    let mut command = Command::new(&launcher.program);
    command.args(&launcher.arguments).arg("--settings").arg(folder.join("gateway.json"));
    command
}

/// Opens an HTTP/1 connection. None if it fails.
pub async fn connect(
    address: SocketAddr,
) -> Option<hyper::client::conn::http1::SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(address).await.ok()?;
    let io = hyper_util::rt::TokioIo::new(stream);
    let (sender, connection) = hyper::client::conn::http1::handshake(io).await.ok()?;
    tokio::spawn(connection);
    Some(sender)
}

/// Sends a GET request over a new connection. None if the connection breaks.
pub async fn get(address: SocketAddr, path: &str) -> Option<(StatusCode, String)> {
    let request = Request::get(path).header("host", "x").body(Full::default()).unwrap();
    read(connect(address).await?.send_request(request).await.ok()?).await
}

/// Reads an answer's body to its end. None if the connection breaks.
pub async fn read(answer: Response<hyper::body::Incoming>) -> Option<(StatusCode, String)> {
    let status = answer.status();
    let body = answer.into_body().collect().await.ok()?.to_bytes();
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
