//! Another writer leaves an entry with fields missing in the directory, under the id of a server that
//! is leaving.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::fleet::{
    DRAIN_MS, Engine, GatewayAddresses, Network, Process, Record, Run, Server, Store,
    agent_settings, lock, send, wait_until,
};

const ZONE: &str = "zone-a";
const KEY: &str = "n2ctnfzs989anu6wsjnb";
const ROUNDS: usize = 4;
/// How much longer than `drain-ms` a leaving server serves: "a little longer".
const LINGER: Duration = Duration::from_millis(650);
/// Time that a mandate takes: the site's are up to 220 ms.
const WORK: Duration = Duration::from_millis(200);

fn manifest() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-post","hostname":"dues.example","path-prefix":"/post/","kind":"unsafe","timeout-ms":1000,"target-latency-ms":150,"priority":2,"service":"ledger","max-attempts":2,"public":false}}],"services":[{{"name":"ledger","health-check-path":"/healthz","max-connections":110,"protocol":"h1","tls":false}},{{"name":"drafts","health-check-path":"/healthz","max-connections":418,"protocol":"h1","tls":false,"warmup-s":3.0,"warmup-per-s":36.0,"engine":{{"slots":12,"kv-capacity-tokens":494000,"link-mbps":92000.0,"stride":6,"models":[{{"name":"m"}}]}}}}],"tenants":[{{"name":"hule930","api-keys":["{KEY}"]}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":5000,"idle-timeout-ms":10000}}}}"#
    )
}

pub fn run(record: &Arc<Record>, has_trouble: bool) -> Result<bool, String> {
    let network = Network::new();
    let store = Store::start(network.machine());
    store.put("keyed.op", "config", Some(manifest()));
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let start_server = |id: &str| {
        Server::start((id, "ledger", ZONE), network.machine(), &store, record, &runs, WORK)
    };
    let mut servers: Vec<Arc<Server>> =
        (1..=3).map(|it| start_server(&format!("i-{it}"))).collect();
    let engine = Engine::start(("i-engine", "drafts", ZONE), network.machine(), &store);
    let gateways: Vec<GatewayAddresses> = (0..2).map(|_| GatewayAddresses::new(&network)).collect();
    let seeds: Vec<_> = gateways.iter().map(|it| it.control).collect();
    let mut processes = Vec::new();
    for (n, gateway) in gateways.iter().enumerate() {
        let name = format!("front-{}", n + 1);
        let settings = gateway.settings(&network, (&name, ZONE), &seeds, store.address);
        processes.push(Process::start(&network, &name, &settings));
    }
    let settings = agent_settings(&network, ("side-1", ZONE), engine.address, "drafts");
    processes.push(Process::start(&network, "side-1", &settings));
    if !wait_until(Duration::from_secs(10), || gateways.iter().all(GatewayAddresses::is_ready)) {
        return Err("the gateways are not ready".into());
    }
    record.add("all gateways are ready");
    thread::sleep(Duration::from_secs(6));

    let next_id = AtomicU64::new(1);
    let post = |n: usize| {
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
        let replacement = start_server(&format!("i-{}", round + 4));
        thread::sleep(Duration::from_secs(3));
        let leaving = servers.remove(0);
        servers.push(replacement);
        let lost = thread::scope(|scope| {
            let acknowledged = leaving.leave(LINGER);
            let began = Instant::now();
            let mut callers = Vec::new();
            let mut is_written = false;
            while began.elapsed() < Duration::from_millis(3_200) {
                if has_trouble && !is_written && began.elapsed() >= Duration::from_millis(DRAIN_MS)
                {
                    is_written = true;
                    // Without `version` and `warmup-left-ms`.
                    let entry = format!(
                        r#"{{"service":"ledger","address":"{}","zone":"{ZONE}","slots":6,"state":"ready","sequence":1}}"#,
                        leaving.address
                    );
                    store.put("keyed.servers", &leaving.id, Some(entry));
                    record.add(format!(
                        "another writer writes an entry with fields missing under {}",
                        leaving.id
                    ));
                }
                callers.push(scope.spawn(|| post(0)));
                callers.push(scope.spawn(|| post(1)));
                thread::sleep(Duration::from_millis(50));
            }
            let lost = callers.into_iter().filter_map(|it| it.join().ok()).filter(|it| !it).count();
            for run in lock(&runs).iter() {
                if run.server == leaving.id && run.at > acknowledged + DRAIN_MS {
                    is_broken = true;
                    record.add(format!(
                        "DRAIN: {} reached {} {} ms after the acknowledgement that it leaves",
                        run.request,
                        run.server,
                        run.at - acknowledged
                    ));
                }
            }
            lost
        });
        unserved += lost;
        thread::sleep(Duration::from_secs(4));
    }
    record.add(format!("{unserved} requests without a whole success"));
    if !processes.iter_mut().all(Process::is_running) {
        return Err("a process ended by itself".into());
    }
    if let Ok(folder) = std::env::var("KEEP_LOGS") {
        let _ =
            std::process::Command::new("cp").args(["-r"]).arg(&network.folder).arg(folder).status();
    }
    let _ = std::fs::remove_dir_all(&network.folder);
    Ok(is_broken)
}
