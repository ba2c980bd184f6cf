//! A gateway as a process, and calls of it.

use std::{
    net::SocketAddr,
    path::Path,
    process::{Child, Command},
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

pub const READY_LIMIT: Duration = Duration::from_secs(20);

pub struct GatewayProcess {
    pub child: Child,
    pub listen: SocketAddr,
    pub ready: SocketAddr,
    pub peer: SocketAddr,
    pub admin: SocketAddr,
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
    pub fn start(launcher: &Launcher, store: SocketAddr, seeds: &[SocketAddr]) -> Self {
        let [listen, ready, peer, admin, datagrams] = [(); 5].map(|()| free_address());
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("gateway.json");
        let settings = json!({
            "identity": {"vm": "g-1", "failure_domain": "a", "admin_listen": admin},
            "role": {"gateway": {
                "listen": listen, "ready_listen": ready, "peer_listen": peer, "seeds": seeds,
                "store": store, "budget": {"retry_ratio": 0.2, "retry_burst": 90.0,  "cold_factor": 1.5, "cold_burst": 5.0}
            }},
            "datagrams": datagrams,
            "grace_s": 8
        });
        std::fs::write(&path, settings.to_string()).unwrap();
        let launcher = launcher.clone();
        let child = launch(&launcher, folder.path());
        Self { child, listen, ready, peer, admin, datagrams, launcher, folder }
    }

    /// Starts it again after its end.
    pub fn restart(&mut self) {
        let _ = self.child.wait();
        self.child = launch(&self.launcher, self.folder.path());
    }

    pub async fn wait_ready(&self) {
        let deadline = Instant::now() + READY_LIMIT;
        while get(self.ready, "/v1/readyz").await.map(|it| it.0) != Some(StatusCode::OK) {
            assert!(Instant::now() < deadline, "the gateway does not become ready");
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

    pub fn log_text(&self) -> String {
        std::fs::read_to_string(self.folder.path().join("log")).unwrap_or_default()
    }
}

fn launch(launcher: &Launcher, folder: &Path) -> Child {
    let log = std::fs::File::options().create(true).append(true).open(folder.join("log")).unwrap();
    let mut command = Command::new(&launcher.program);
    command
        .args(&launcher.arguments)
        .arg("--settings")
        .arg(folder.join("gateway.json"))
        .stdout(log);
    spawn(&mut command)
}

pub async fn connect(
    address: SocketAddr,
) -> Option<hyper::client::conn::http1::SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(address).await.ok()?;
    let io = hyper_util::rt::TokioIo::new(stream);
    let (sender, connection) = hyper::client::conn::http1::handshake(io).await.ok()?;
    tokio::spawn(connection);
    Some(sender)
}

pub async fn get(address: SocketAddr, path: &str) -> Option<(StatusCode, String)> {
    let request = Request::get(path).header("host", "x").body(Full::default()).unwrap();
    read(connect(address).await?.send_request(request).await.ok()?).await
}

pub async fn read(answer: Response<hyper::body::Incoming>) -> Option<(StatusCode, String)> {
    let status = answer.status();
    let body = answer.into_body().collect().await.ok()?.to_bytes();
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
