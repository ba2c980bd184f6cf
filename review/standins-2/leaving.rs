//! A server says in its answers that it leaves while the gateway is partitioned from the store. Its first
//! events come later than the gateway waits before it looks for another server.

use std::{
    io::{BufRead, BufReader, Write},
    net::TcpStream,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::fleet::{
    DRAIN_MS, EVENTS, GatewayAddresses, Link, ModelServer, Network, Process, Record, Store,
    agent_settings, lock, read_head, wait_until,
};

const ZONE: &str = "zone-a";
const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// A prompt that an engine reads in 1.75 s. Clients wait two seconds for the first event.
const PROMPT_TOKENS: u64 = 131_000;
/// Length of the partition, below the 5.5 s of the site's own `core_cut`.
const CUT_MS: u64 = 5_400;
/// How much longer than `drain-ms` the leaving server serves: "a little longer (at times many seconds)".
const LINGER_MS: u64 = 3_000;
/// When requests are sent, from the start of the partition on: the first are answered at 2 s.
const PAIRS_AT: [u64; 3] = [200, 2_200, 4_150];
const ROUNDS: usize = 5;

fn manifest() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-draft","hostname":"dues.example","path-prefix":"/draft/","kind":"streaming","timeout-ms":8000,"target-latency-ms":400,"priority":1,"service":"drafts","max-attempts":2,"public":false,"session-affinity":true,"resumable":true,"gap-target-ms":120}}],"services":[{{"name":"drafts","health-check-path":"/healthz","max-connections":418,"protocol":"h1","tls":false,"warmup-s":3.0,"warmup-per-s":36.0,"engine":{{"slots":12,"kv-capacity-tokens":494000,"link-mbps":92000.0,"stride":6,"models":[{{"name":"m"}}]}}}}],"tenants":[{{"name":"hule930","api-keys":["{KEY}"]}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":5000,"idle-timeout-ms":10000}}}}"#
    )
}

/// A client's request and its answer.
#[derive(Clone, Debug)]
struct Sent {
    id: String,
    at: u64,
    /// When the head of the answer came, and whether it said that its server leaves.
    head: Option<(u64, bool)>,
    server: String,
    is_whole: bool,
}

fn ask(record: &Record, gateway: GatewayAddresses, id: String) -> Sent {
    let at = record.add(format!("client sends {id}"));
    let mut sent = Sent { id, at, head: None, server: String::new(), is_whole: false };
    let request = format!(
        "POST /draft/2f HTTP/1.1\r\nHost: dues.example\r\nRequest-Id: {}\r\nModel: m\r\nToken-Counts: {PROMPT_TOKENS},80\r\nPrompt-Prefix: 5c1e07a2:40,{}:130960\r\nTime-Budget-Ms: 8000\r\nAuthorization: Token {KEY}\r\nContent-Length: 2\r\n\r\nhi",
        sent.id, sent.id
    );
    let Ok(mut stream) = TcpStream::connect(gateway.front) else { return sent };
    let _ = stream.set_nodelay(true);
    // Two seconds without an event, and what the gateway itself takes.
    let _ = stream.set_read_timeout(Some(Duration::from_millis(2_050)));
    if stream.write_all(request.as_bytes()).is_err() {
        return sent;
    }
    let mut reader = BufReader::new(stream);
    let Ok(Some(head)) = read_head(&mut reader) else {
        record.add(format!("client gives {} up", sent.id));
        return sent;
    };
    sent.server = head.header("instance-id").unwrap_or("-").to_owned();
    let is_leaving = head.header("server-leaving") == Some("1");
    let text = if is_leaving { ", Server-Leaving: 1" } else { "" };
    let now =
        record.add(format!("client gets {}: {} of {}{text}", sent.id, head.status(), sent.server));
    sent.head = Some((now, is_leaving));
    let mut events = 0;
    let mut line = String::new();
    while reader.read_line(&mut line).is_ok_and(|it| it > 0) {
        events += u64::from(line.starts_with("id:"));
        if line.trim_end() == "0" {
            sent.is_whole = events == EVENTS;
            break;
        }
        line.clear();
    }
    sent
}

pub fn run(record: &Arc<Record>, has_trouble: bool) -> Result<bool, String> {
    let network = Network::new();
    let store = Store::start(network.machine());
    store.put("keyed.op", "config", Some(manifest()));
    let start_server = |number: usize| {
        let id = format!("i-{number}");
        ModelServer::start((&id, "drafts", ZONE), network.machine(), &store, record)
    };
    let start_agent = |number: usize, server: &ModelServer| {
        let name = format!("side-{number}");
        let settings = agent_settings(&network, (&name, ZONE), server.address, "drafts");
        Process::start(&network, &name, &settings)
    };
    let mut servers: Vec<Arc<ModelServer>> = (1..=2).map(start_server).collect();
    let gateway = GatewayAddresses::new(&network);
    let link = Link::start(gateway.ip, store.address);
    let settings = gateway.settings(&network, ("front-1", ZONE), &[gateway.control], link.address);
    let mut processes = vec![Process::start(&network, "front-1", &settings)];
    processes.extend((1..).zip(&servers).map(|(number, it)| start_agent(number, it)));
    if !wait_until(Duration::from_secs(10), || gateway.is_ready()) {
        return Err("the gateway is not ready".into());
    }
    record.add("the gateway is ready");
    thread::sleep(Duration::from_secs(5));

    let sent: Mutex<Vec<Sent>> = Mutex::default();
    let next_id = AtomicU64::new(1);
    let mut leavers = Vec::new();
    thread::scope(|scope| {
        // A request for each of the two servers, which read one long prompt at a time.
        let ask_pair = || {
            for _ in 0..2 {
                scope.spawn(|| {
                    let id = format!("{:016x}", next_id.fetch_add(1, Ordering::SeqCst));
                    let answered = ask(record, gateway, id);
                    lock(&sent).push(answered);
                });
                thread::sleep(Duration::from_millis(10));
            }
        };
        for round in 0..ROUNDS {
            ask_pair();
            thread::sleep(Duration::from_secs(4));
            let cut_at = Instant::now();
            let wait_until = |ms: u64| {
                thread::sleep(Duration::from_millis(ms).saturating_sub(cut_at.elapsed()));
            };
            if has_trouble {
                link.cut();
                record.add("the gateway is partitioned from the store (reset)");
            }
            wait_until(100);
            let leaving = servers.remove(0);
            leaving.is_leaving.store(true, Ordering::SeqCst);
            leaving.check_in("draining");
            record.add(format!("store acknowledges that {} is draining", leaving.id));
            for at in PAIRS_AT {
                wait_until(at);
                ask_pair();
            }
            wait_until(100 + DRAIN_MS + LINGER_MS);
            leaving.end();
            record.add(format!("{} ends", leaving.id));
            wait_until(CUT_MS);
            if has_trouble {
                link.heal();
                record.add("the gateway reaches the store again");
            }
            leavers.push(leaving);
            let replacement = start_server(round + 3);
            processes.push(start_agent(round + 3, &replacement));
            servers.push(replacement);
            thread::sleep(Duration::from_secs(5));
        }
    });

    let sent = lock(&sent).clone();
    let (mut late, mut lost) = (0, 0);
    for leaving in &leavers {
        let told = sent.iter().filter(|it| it.server == leaving.id).filter_map(|it| it.head);
        let told_at = told.filter(|it| it.1).map(|it| it.0).min();
        for run in lock(&leaving.runs).iter() {
            let request = sent.iter().find(|it| it.id == run.request);
            let (Some(told_at), Some(request)) = (told_at, request) else { continue };
            if request.at > told_at + DRAIN_MS {
                late += 1;
                lost += u32::from(!request.is_whole);
                let end = if request.is_whole { "was served" } else { "got no whole answer" };
                record.add(format!(
                    "DRAIN: {} was sent {} ms after the gateway had passed on that {} leaves, reached it, and {end}",
                    run.request,
                    request.at - told_at,
                    leaving.id
                ));
            }
        }
    }
    let whole = sent.iter().filter(|it| it.is_whole).count();
    record.add(format!(
        "{whole} of {} answers were whole; {lost} of {late} late ones were not",
        sent.len()
    ));
    if !processes.iter_mut().all(Process::is_running) {
        return Err("a process ended by itself".into());
    }
    if let Ok(folder) = std::env::var("KEEP_LOGS") {
        let _ =
            std::process::Command::new("cp").args(["-r"]).arg(&network.folder).arg(folder).status();
    }
    let _ = std::fs::remove_dir_all(&network.folder);
    Ok(late > 0)
}
