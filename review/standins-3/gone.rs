//! GONE: requests that may run once reach servers after their clients have left.

use std::{
    collections::HashMap,
    error::Error,
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{
    client::Client,
    setup::{Deployment, HOST, KEY},
};

/// How long the clients wait before they leave.
const PATIENCE: Duration = Duration::from_millis(400);
/// Time after the close from which a request must not reach a server any more.
const CLOSE_SLACK_S: f64 = 0.5;
/// "More than a few": more than this many break the rule.
const FEW: usize = 5;
const WARM_UP_REQUESTS: usize = 240;
const REQUESTS: usize = 120;

type Closes = Arc<Mutex<HashMap<String, f64>>>;

pub fn run(root: &Path, folder: &Path, has_trouble: bool) -> Result<bool, Box<dyn Error>> {
    let mut deployment = Deployment::start(root, folder, None, 1)?;
    thread::sleep(Duration::from_secs(3));
    let closes = Closes::default();
    // Usual traffic, which also earns the retries that the gateways may make.
    let mut clients = Vec::new();
    for n in 0..WARM_UP_REQUESTS {
        clients.push(send(&deployment, n, &closes));
        thread::sleep(Duration::from_millis(15));
    }
    if has_trouble {
        // Rank 1 of the first group.
        deployment.model_servers[1].crash_now();
    }
    thread::sleep(Duration::from_millis(30));
    for n in 0..REQUESTS {
        clients.push(send(&deployment, WARM_UP_REQUESTS + n, &closes));
        thread::sleep(Duration::from_millis(4));
    }
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_secs(4));
    deployment.check_alive()?;
    let closes = closes.lock().unwrap();
    let arrivals = deployment.world.arrivals();
    let late = arrivals.iter().filter_map(|it| {
        let closed = closes.get(&it.request)?;
        (it.at > closed + CLOSE_SLACK_S).then(|| (it, it.at - closed))
    });
    let late: Vec<_> = late.collect();
    for (arrival, delay) in &late {
        let text = format!(
            "LATE: {} reached {} {delay:.3} s after its client had closed",
            arrival.request, arrival.server
        );
        deployment.record.line(&text);
    }
    let text = format!(
        "{} clients left, {} requests reached a server over half a second later",
        closes.len(),
        late.len()
    );
    deployment.record.line(&text);
    println!("{text}");
    Ok(late.len() <= FEW)
}

/// Sends one order over a new connection, and closes that if no answer comes in time.
fn send(deployment: &Deployment, n: usize, closes: &Closes) -> thread::JoinHandle<()> {
    let (address, record, closes) = (deployment.front(n), deployment.record.clone(), closes.clone());
    thread::spawn(move || {
        let id = format!("{n:016x}");
        let headers = [
            ("Host", HOST),
            ("Request-Id", id.as_str()),
            ("Time-Budget-Ms", "8000"),
            ("Authorization", KEY),
            ("Model", "m"),
            ("Token-Counts", "700,80"),
            ("Prompt-Prefix", "5c1e07a2:40,e4402b7d:660"),
        ];
        let Ok(mut client) = Client::connect(address) else {
            record.line(&format!("request {id}: no connection"));
            return;
        };
        record.line(&format!("request {id} sent to {address}"));
        if client.send("POST", "/orders/2f", &headers, b"order").is_err() {
            record.line(&format!("request {id}: not sent"));
            return;
        }
        match client.receive(PATIENCE) {
            Ok(answer) => record.line(&format!("request {id}: client gets {}", answer.status())),
            Err(error) => {
                drop(client);
                closes.lock().unwrap().insert(id.clone(), record.now());
                record.line(&format!("request {id}: client closes its channel ({error})"));
            }
        }
    })
}
