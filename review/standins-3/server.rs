//! Stand-ins of the application servers: plain ones, and model servers that are ranks of a group.

use std::{
    collections::HashMap,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    fleet::{unix_ms, Record},
    http::{read_message, respond, Message},
    store::Store,
};

/// Interval at which servers write their entries, and after three of which without one the store
/// removes an entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// How long work waits that depends on a rank that has crashed.
pub const STALL: Duration = Duration::from_millis(1_500);
/// Time until a request of a model server begins to run, and until its answer after that.
const BEGIN_TIME: Duration = Duration::from_millis(20);
const RUN_TIME: Duration = Duration::from_millis(40);
/// Time after which a server is back that has crashed.
const DOWN_TIME: Duration = Duration::from_secs(3);

/// What is the same for all servers of a case.
#[derive(Clone)]
pub struct World {
    pub record: Record,
    pub store: Store,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    /// When a rank of each group crashed.
    broken: Arc<Mutex<HashMap<String, Instant>>>,
    /// Path of the request that crashes the servers that begin to run it.
    harmful: Option<String>,
    /// Whether it does so already.
    is_harmful: Arc<AtomicBool>,
}

/// A request that reached a server and was meant for it.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: f64,
    pub server: String,
    pub request: String,
    pub path: String,
}

impl World {
    pub fn new(record: Record, store: Store, harmful: Option<String>) -> Self {
        let is_harmful = Arc::new(AtomicBool::new(true));
        Self { record, store, arrivals: Arc::default(), broken: Arc::default(), harmful, is_harmful }
    }

    /// Sets whether the harmful request crashes the servers that begin to run it from now on.
    pub fn set_harmful(&self, is_harmful: bool) {
        self.is_harmful.store(is_harmful, Ordering::SeqCst);
    }

    fn crashes_servers(&self, path: &str) -> bool {
        self.harmful.as_deref() == Some(path) && self.is_harmful.load(Ordering::SeqCst)
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().unwrap().clone()
    }

    fn broken_since(&self, group: &str) -> Option<Instant> {
        self.broken.lock().unwrap().get(group).copied()
    }
}

#[derive(Clone)]
pub struct Place {
    pub service: &'static str,
    pub address: SocketAddr,
    pub zone: &'static str,
    pub slots: u32,
    /// Name of the group, rank and number of ranks.
    pub group: Option<(&'static str, u16, u16)>,
}

/// One lifetime of a server.
struct Lifetime {
    id: String,
    born: u64,
    is_alive: bool,
    streams: Vec<TcpStream>,
}

#[derive(Clone)]
pub struct Server {
    place: Place,
    world: World,
    life: Arc<Mutex<Lifetime>>,
}

impl Server {
    pub fn start(world: &World, place: Place) -> std::io::Result<Self> {
        let life = Lifetime { id: String::new(), born: 0, is_alive: false, streams: Vec::new() };
        let server = Self { place, world: world.clone(), life: Arc::new(Mutex::new(life)) };
        server.begin_life()?;
        let beating = server.clone();
        thread::spawn(move || beating.beat());
        Ok(server)
    }

    fn begin_life(&self) -> std::io::Result<()> {
        let listener = TcpListener::bind(self.place.address)?;
        listener.set_nonblocking(true)?;
        let born = unix_ms();
        let ip = self.place.address.ip().to_string();
        let id = format!("i-{}-{born}", ip.replace('.', "-"));
        *self.life.lock().unwrap() =
            Lifetime { id: id.clone(), born, is_alive: true, streams: Vec::new() };
        self.world.record.line(&format!("server {id} started ({})", self.place.service));
        let server = self.clone();
        thread::spawn(move || {
            while server.is_life(&id) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let (server, id) = (server.clone(), id.clone());
                        thread::spawn(move || server.serve(stream, &id));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        Ok(())
    }

    fn is_life(&self, id: &str) -> bool {
        let life = self.life.lock().unwrap();
        life.is_alive && life.id == id
    }

    fn id(&self) -> String {
        self.life.lock().unwrap().id.clone()
    }

    /// Ends the lifetime as a crash does: connections close, and the address refuses new ones.
    pub fn crash(&self, id: &str) -> bool {
        let mut life = self.life.lock().unwrap();
        if !life.is_alive || life.id != id {
            return false;
        }
        life.is_alive = false;
        for stream in life.streams.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.world.record.line(&format!("server {id} crashed"));
        if let Some((group, ..)) = self.place.group {
            self.world.broken.lock().unwrap().insert(group.to_owned(), Instant::now());
        }
        true
    }

    pub fn crash_now(&self) {
        let id = self.id();
        self.crash(&id);
    }

    /// Writes the server's entry regularly. The store removes that of a silent one.
    fn beat(&self) {
        let mut sequence = 0;
        loop {
            let (id, born, is_alive) = {
                let life = self.life.lock().unwrap();
                (life.id.clone(), life.born, life.is_alive)
            };
            if is_alive {
                sequence += 1;
                let entry = self.entry(born, sequence);
                self.world.store.put("keyed.servers", &id, Some(entry));
                thread::sleep(HEARTBEAT);
                continue;
            }
            let store = self.world.store.clone();
            thread::spawn(move || {
                thread::sleep(3 * HEARTBEAT);
                store.put("keyed.servers", &id, None);
            });
            while !self.life.lock().unwrap().is_alive {
                thread::sleep(Duration::from_millis(20));
            }
        }
    }

    fn group_json(&self) -> String {
        let Some((name, rank, size)) = self.place.group else { return String::new() };
        let is_broken = self.world.broken_since(name).is_some_and(|it| it.elapsed() >= STALL);
        let state = if is_broken { "broken" } else { "open" };
        format!(
            ",\"group\":{{\"name\":\"{name}\",\"epoch\":1,\"rank\":{rank},\"state\":\"{state}\"}},\"size\":{size}"
        )
    }

    fn entry(&self, born: u64, sequence: u64) -> String {
        let Place { service, address, zone, slots, .. } = &self.place;
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":{slots},\"state\":\"ready\",\"warmup-left-ms\":0,\"sequence\":{sequence},\
             \"born\":{born}{}}}",
            self.group_json()
        )
    }

    fn serve(&self, mut stream: TcpStream, id: &str) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        if let Ok(copy) = stream.try_clone() {
            let mut life = self.life.lock().unwrap();
            if !life.is_alive || life.id != id {
                return;
            }
            life.streams.push(copy);
        }
        while let Ok(Some(request)) = read_message(&mut stream) {
            if !self.is_life(id) || !self.answer(&mut stream, &request, id) {
                return;
            }
        }
    }

    /// Answers one request. Returns `false` if the connection is to close.
    fn answer(&self, stream: &mut TcpStream, request: &Message, id: &str) -> bool {
        let path = request.target().split('?').next().unwrap_or("").to_owned();
        let json = [("Content-Type", "application/json")];
        match path.as_str() {
            "/healthz" => respond(stream, 200, &[("Instance-Id", id)], b"").is_ok(),
            "/v1/report" => respond(stream, 200, &json, self.report().as_bytes()).is_ok(),
            "/v1/picked" => {
                let body = b"{\"step\":1,\"epoch\":1,\"counts\":[],\"map\":{\"version\":0,\"experts\":[]}}";
                respond(stream, 200, &json, body).is_ok()
            }
            "/v1/order" => respond(stream, 400, &json, b"{}").is_ok(),
            _ => self.run(stream, request, id, path),
        }
    }

    fn report(&self) -> String {
        let born = self.life.lock().unwrap().born;
        format!(
            "{{\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":false,\
             \"sequence\":0,\"queued\":0,\"active\":0,\"kv-used\":0,\"kv-total\":494000,\"handles\":0,\
             \"pace\":1.0,\"born\":{born}{}}}",
            self.group_json()
        )
    }

    fn run(&self, stream: &mut TcpStream, request: &Message, id: &str, path: String) -> bool {
        let request_id = request.header("request-id").unwrap_or("").to_owned();
        let echo = ("Request-Id", request_id.as_str());
        if request.header("expect-instance").is_some_and(|it| it != id) {
            return respond(stream, 421, &[echo, ("Instance-Id", id)], b"").is_ok();
        }
        self.world.record.line(&format!("request {request_id} {path} reaches {id}"));
        self.world.arrivals.lock().unwrap().push(Arrival {
            at: self.world.record.now(),
            server: id.to_owned(),
            request: request_id.clone(),
            path: path.clone(),
        });
        if self.world.crashes_servers(&path) {
            self.world.record.line(&format!("request {request_id} {path} begins to run at {id}"));
            if self.crash(id) {
                let server = self.clone();
                thread::spawn(move || {
                    thread::sleep(DOWN_TIME);
                    let _ = server.begin_life();
                });
            }
            return false;
        }
        thread::sleep(BEGIN_TIME);
        if self.wait_for_group() {
            self.world.record.line(&format!("request {request_id} {path} not run at {id}"));
            let headers = [echo, ("Not-Run", "1"), ("At-Server", "i-gone")];
            return respond(stream, 503, &headers, b"").is_ok();
        }
        self.world.record.line(&format!("request {request_id} {path} begins to run at {id}"));
        thread::sleep(RUN_TIME);
        if self.wait_for_group() || !self.is_life(id) {
            return false;
        }
        let stamp = format!("{id}.{request_id}");
        let body = format!("done {request_id}\n");
        self.world.record.line(&format!("request {request_id} {path} answered 200 by {id}"));
        respond(stream, 200, &[echo, ("Response-Stamp", &stamp)], body.as_bytes()).is_ok()
    }

    /// If a rank of the group has crashed, waits until its other ranks give the work up. Returns
    /// whether they do.
    fn wait_for_group(&self) -> bool {
        let Some((group, ..)) = self.place.group else { return false };
        let Some(since) = self.world.broken_since(group) else { return false };
        thread::sleep((since + STALL).saturating_duration_since(Instant::now()));
        true
    }
}
