//! The project's daemons as processes, with settings filled in from the templates of the deploy
//! file, and the record of a case.

use std::{
    fs,
    io::Write,
    net::{IpAddr, SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::client::Client;

/// What was sent, answered and run, with the time since the case began.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<fs::File>>,
    began: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self { file: Arc::new(Mutex::new(fs::File::create(path)?)), began: Instant::now() })
    }

    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:9.4} {text}\n", self.now());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// Returns a TCP and UDP port that is free at all these addresses.
pub fn free_port(ips: &[IpAddr]) -> std::io::Result<u16> {
    loop {
        let port = TcpListener::bind((ips[0], 0))?.local_addr()?.port();
        let is_free = |ip: &IpAddr| {
            TcpListener::bind((*ip, port)).is_ok() && UdpSocket::bind((*ip, port)).is_ok()
        };
        if ips.iter().all(is_free) {
            return Ok(port);
        }
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis() as u64)
}

/// Ports that are the same on all machines.
#[derive(Clone, Copy)]
pub struct Ports {
    pub front: u16,
    pub ready: u16,
    pub control: u16,
    pub internal: u16,
    pub metrics: u16,
    pub app: u16,
}

impl Ports {
    pub fn choose(ips: &[IpAddr]) -> std::io::Result<Self> {
        let mut ports = Vec::new();
        while ports.len() < 6 {
            let port = free_port(ips)?;
            if !ports.contains(&port) {
                ports.push(port);
            }
        }
        let [front, ready, control, internal, metrics, app] = ports[..] else { unreachable!() };
        Ok(Self { front, ready, control, internal, metrics, app })
    }
}

/// Process ids of the daemons that have not been waited for.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all daemons and this process if the case takes longer than it may.
pub fn start_watchdog(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        for id in RUNNING.lock().unwrap().iter() {
            let _ = Command::new("kill").args(["-KILL", &id.to_string()]).status();
        }
        println!("the case could not run: it took too long");
        std::process::exit(2);
    });
}

/// A daemon; killed when dropped.
pub struct Daemon {
    child: Option<Child>,
    command: (PathBuf, PathBuf),
    log: PathBuf,
    pub ip: IpAddr,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Daemon {
    fn new(root: &Path, folder: &Path, name: &str, ip: IpAddr, settings: &str) -> std::io::Result<Self> {
        let path = folder.join(format!("{name}.json"));
        fs::write(&path, settings)?;
        let program = root.join("target/release/alderbayd");
        let log = folder.join(format!("{name}.log"));
        let mut daemon = Self { child: None, command: (program, path), log, ip };
        daemon.start()?;
        Ok(daemon)
    }

    pub fn start(&mut self) -> std::io::Result<()> {
        let log = fs::File::options().create(true).append(true).open(&self.log)?;
        let (program, settings) = &self.command;
        // The command of the deploy file.
        let child = Command::new(program)
            .arg("--settings")
            .arg(settings)
            .env("ALDERBAY_SETTINGS", settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        RUNNING.lock().unwrap().push(child.id());
        self.child = Some(child);
        Ok(())
    }

    /// Sends SIGKILL and waits for the end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            RUNNING.lock().unwrap().retain(|it| *it != child.id());
            let _ = child.wait();
        }
    }

    pub fn has_exited(&mut self) -> bool {
        self.child.as_mut().is_none_or(|it| !matches!(it.try_wait(), Ok(None)))
    }
}

/// Fills in the gateway's template as the platform does.
pub fn start_gateway(
    (root, folder): (&Path, &Path),
    (ip, zone): (IpAddr, &str),
    ports: &Ports,
    seeds: &[IpAddr],
    store: SocketAddr,
) -> std::io::Result<Daemon> {
    let name = format!("front-{zone}-{ip}");
    let template = fs::read_to_string(root.join("deploy/gateway.json.tmpl"))?;
    let seeds: Vec<String> = seeds.iter().map(|it| format!("\"{it}:{}\"", ports.control)).collect();
    let settings = template
        .replace("{{node-name}}", &name)
        .replace("{{zone}}", zone)
        .replace("{{ip}}:9464", &format!("{ip}:{}", ports.metrics))
        .replace("{{ip}}", &ip.to_string())
        .replace("{{listen.front}}", &format!("{ip}:{}", ports.front))
        .replace("{{listen.ready}}", &format!("{ip}:{}", ports.ready))
        .replace("{{listen.control}}", &format!("{ip}:{}", ports.control))
        .replace("{{seeds|json}}", &format!("[{}]", seeds.join(",")))
        .replace("{{platform.address}}", &store.to_string())
        .replace("{{bounds.drain-ms}}", "2000")
        .replace("{{bounds.config-apply-ms}}", "2000")
        .replace("{{limits.memory-mb}}", "260")
        .replace("{{bounds.retry-budget-ratio}}", "0.2")
        .replace("{{bounds.retry-slack}}", "94")
        .replace("{{bounds.warmup-overage}}", "1.5")
        .replace("{{bounds.warmup-slack}}", "5")
        .replace("{{internal-ports.0}}", &ports.internal.to_string())
        .replace("{{bounds.grace-s}}", "8");
    Daemon::new(root, folder, &name, ip, &settings)
}

/// Fills in the rank agent's template as the platform does.
pub fn start_agent(
    (root, folder): (&Path, &Path),
    (ip, zone): (IpAddr, &str),
    ports: &Ports,
    service: &str,
) -> std::io::Result<Daemon> {
    let name = format!("side-{zone}-{ip}");
    let template = fs::read_to_string(root.join("deploy/rank-agent.json.tmpl"))?;
    let settings = template
        .replace("{{node-name}}", &name)
        .replace("{{zone}}", zone)
        .replace("{{ip}}:9464", &format!("{ip}:{}", ports.metrics))
        .replace("{{ip}}", &ip.to_string())
        .replace("{{app}}", &format!("{ip}:{}", ports.app))
        .replace("{{service}}", service)
        .replace("{{internal-ports.0}}", &ports.internal.to_string())
        .replace("{{bounds.grace-s}}", "8");
    Daemon::new(root, folder, &name, ip, &settings)
}

/// Waits until a gateway says that it is ready, 20 s at most.
pub fn wait_ready(gateway: &Daemon, ports: &Ports) -> bool {
    let address = SocketAddr::new(gateway.ip, ports.ready);
    let deadline = Instant::now() + Duration::from_secs(20);
    while Instant::now() < deadline {
        let mut client = Client::connect(address);
        if let Ok(client) = &mut client {
            let sent = client.send("GET", "/v1/readyz", &[], b"");
            if sent.is_ok() && client.receive(Duration::from_secs(1)).is_ok_and(|it| it.status() == 200) {
                return true;
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}
