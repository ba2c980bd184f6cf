//! The gateway that reads the directory for its zone is partitioned from the store, and servers leave.
//! With `ZONES=3` there are three zones with two gateways each, and the reader of each is partitioned.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::fleet::{
    DRAIN_MS, Engine, GatewayAddresses, Link, Network, Process, Record, Run, Server, Store,
    agent_settings, lock, send, wait_until,
};

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// Time from the start of the partition until no more callers come; it heals when they are answered,
/// within the 5.5 s of the site's own `core_cut`.
const CUT: Duration = Duration::from_millis(5_100);
const ROUNDS: usize = 4;
/// How much longer than `drain-ms` a leaving server serves: "a little longer".
const LINGER: Duration = Duration::from_millis(250);
/// Time that a mandate takes: the site's are up to 220 ms.
const WORK: Duration = Duration::from_millis(200);

fn manifest() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-post","hostname":"dues.example","path-prefix":"/post/","kind":"unsafe","timeout-ms":1000,"target-latency-ms":150,"priority":2,"service":"ledger","max-attempts":2,"public":false}}],"services":[{{"name":"ledger","health-check-path":"/healthz","max-connections":110,"protocol":"h1","tls":false}},{{"name":"drafts","health-check-path":"/healthz","max-connections":418,"protocol":"h1","tls":false,"warmup-s":3.0,"warmup-per-s":36.0,"engine":{{"slots":12,"kv-capacity-tokens":494000,"link-mbps":92000.0,"stride":6,"models":[{{"name":"m"}}]}}}}],"tenants":[{{"name":"hule930","api-keys":["{KEY}"]}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":5000,"idle-timeout-ms":10000}}}}"#
    )
}

pub fn run(record: &Arc<Record>, has_trouble: bool) -> Result<bool, String> {
    let has_zones = std::env::var("ZONES").is_ok_and(|it| it == "3");
    let (zones, per_zone) = if has_zones { (3, 2) } else { (1, 3) };
    let network = Network::new();
    let store = Store::start(network.machine());
    store.put("keyed.op", "config", Some(manifest()));
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let start_server = |number: usize| {
        let id = format!("i-{number}");
        let zone = ZONES[number % zones];
        Server::start((&id, "ledger", zone), network.machine(), &store, record, &runs, WORK)
    };
    let mut servers: Vec<Arc<Server>> = (1..=3).map(start_server).collect();
    let engine = Engine::start(("i-engine", "drafts", ZONES[0]), network.machine(), &store);
    let mut gateways: Vec<GatewayAddresses> =
        (0..zones * per_zone).map(|_| GatewayAddresses::new(&network)).collect();
    gateways.sort_by_key(|it| it.control);
    // The lowest address of a zone is its reader's.
    let zone_of = |n: usize| ZONES[n / per_zone];
    let is_reader = |n: &usize| n % per_zone == 0;
    let count = gateways.len();
    let seeds: Vec<_> = gateways.iter().step_by(per_zone).map(|it| it.control).collect();
    let links: Vec<Arc<Link>> =
        gateways.iter().map(|it| Link::start(it.ip, store.address)).collect();
    let mut processes = Vec::new();
    for (n, gateway) in gateways.iter().enumerate() {
        let name = format!("front-{}", n + 1);
        let settings = gateway.settings(&network, (&name, zone_of(n)), &seeds, links[n].address);
        processes.push(Process::start(&network, &name, &settings));
    }
    let settings = agent_settings(&network, ("side-1", ZONES[0]), engine.address, "drafts");
    processes.push(Process::start(&network, "side-1", &settings));
    if !wait_until(Duration::from_secs(10), || gateways.iter().all(GatewayAddresses::is_ready)) {
        return Err("the gateways are not ready".into());
    }
    record.add("all gateways are ready");
    thread::sleep(Duration::from_secs(7));

    let next_id = AtomicU64::new(1);
    let post = &|n: usize| {
        let number = next_id.fetch_add(1, Ordering::SeqCst);
        let id = format!("{:016x}", number << 8 | n as u64 + 1);
        let request = format!(
            "POST /post/2f HTTP/1.1\r\nHost: dues.example\r\nRequest-Id: {id}\r\nTime-Budget-Ms: 1000\r\nAuthorization: Token {KEY}\r\nContent-Length: 2\r\n\r\nhi"
        );
        record.add(format!("client sends {id} to front-{}", n + 1));
        let answer = send(gateways[n].front, &request, Duration::from_millis(1_500));
        let text = match &answer {
            Some(it) => format!("{} {}", it.status(), String::from_utf8_lossy(&it.body).trim()),
            None => "no answer".to_owned(),
        };
        record.add(format!("client gets {id}: {text}"));
        answer.is_some_and(|it| it.status() == 200 && it.is_whole)
    };

    let mut is_broken = false;
    let mut unserved = 0;
    for round in 0..ROUNDS {
        // One request a gateway, as at night.
        for n in 0..gateways.len() {
            unserved += usize::from(!post(n));
        }
        let replacement = start_server(round + 4);
        thread::sleep(Duration::from_secs(3));
        let cut_at = Instant::now();
        if has_trouble {
            for n in (0..count).filter(is_reader) {
                links[n].cut();
                record.add(format!("front-{} is partitioned from the store (reset)", n + 1));
            }
        }
        thread::sleep(Duration::from_millis(700));
        let leaving = servers.remove(0);
        servers.push(replacement);
        let acknowledged = leaving.leave(LINGER);
        thread::sleep(Duration::from_millis(DRAIN_MS + 50));
        // Callers come, to the gateways that reach the store.
        let lost = thread::scope(|scope| {
            let mut callers = Vec::new();
            while cut_at.elapsed() < CUT {
                for n in (0..count).filter(|it| !is_reader(it)) {
                    callers.push(scope.spawn(move || post(n)));
                }
                thread::sleep(Duration::from_millis(40));
            }
            callers.into_iter().filter_map(|it| it.join().ok()).filter(|it| !it).count()
        });
        unserved += lost;
        links.iter().for_each(|it| it.heal());
        if has_trouble {
            record.add("all gateways reach the store again");
        }
        let late: Vec<Run> = lock(&runs)
            .iter()
            .filter(|it| it.server == leaving.id && it.at > acknowledged + DRAIN_MS)
            .cloned()
            .collect();
        for run in &late {
            record.add(format!(
                "DRAIN: {} reached {} {} ms after the acknowledgement that it leaves",
                run.request,
                run.server,
                run.at - acknowledged
            ));
        }
        is_broken |= !late.is_empty();
        thread::sleep(Duration::from_secs(5));
    }
    record.add(format!("{unserved} requests without a whole success"));
    let is_whole = processes.iter_mut().all(Process::is_running);
    if !is_whole {
        return Err("a process ended by itself".into());
    }
    if let Ok(folder) = std::env::var("KEEP_LOGS") {
        let _ =
            std::process::Command::new("cp").args(["-r"]).arg(&network.folder).arg(folder).status();
    }
    let _ = std::fs::remove_dir_all(&network.folder);
    Ok(is_broken)
}
