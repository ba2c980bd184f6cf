//! BUDGET: a request that crashes its servers reaches servers again after all gateways were killed, or
//! after its route was moved.

use std::{error::Error, path::Path, sync::atomic::{AtomicU64, Ordering}, thread, time::Duration};

use crate::{
    client::Client,
    setup::{Deployment, HOST, KEY, LEDGER_TWO, manifest},
};

pub const HARMFUL: &str = "/balances/17";
pub const CONTACT: Duration = Duration::from_millis(3_000);
/// More retries than this break the rule.
pub const MAX_RETRIES: usize = 3;
/// Copies that one client sends at once: its request and three repeats.
const COPIES: usize = 4;
/// Crashes from which on the rule binds.
pub const CRASHES: usize = 3;
/// Pause between two copies.
const COPY_PAUSE: Duration = Duration::from_millis(200);

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// What makes the gateways learn anew.
pub enum Trouble {
    /// All gateways are killed and start again.
    Kill,
    /// A new manifest moves the route to another service.
    Move,
}

pub fn run(
    root: &Path,
    folder: &Path,
    trouble: Trouble,
    has_trouble: bool,
) -> Result<bool, Box<dyn Error>> {
    let mut deployment = Deployment::start(root, folder, Some(HARMFUL), 4)?;
    thread::sleep(Duration::from_secs(3));
    read_balances(&deployment);
    for _ in 0..8 {
        send_copies(&deployment, COPIES);
        thread::sleep(Duration::from_millis(700));
        if count(&deployment) >= CRASHES {
            break;
        }
    }
    let crashed = count(&deployment);
    deployment.record.line(&format!("{crashed} servers crashed"));
    if crashed < CRASHES {
        return Err("fewer than three servers crashed".into());
    }
    // The rule binds only later, so the gateways may still learn from further copies.
    for _ in 0..10 {
        send_copies(&deployment, 1);
        thread::sleep(COPY_PAUSE);
    }
    thread::sleep(CONTACT);
    let before = count(&deployment);
    for _ in 0..3 {
        send_copies(&deployment, COPIES);
        read_balances(&deployment);
        thread::sleep(Duration::from_millis(500));
    }
    let text = format!("{} reached servers before any trouble", count(&deployment) - before);
    deployment.record.line(&text);
    println!("{text}");
    if has_trouble {
        match trouble {
            Trouble::Kill => {
                deployment.record.line("all gateways are killed");
                deployment.gateways.iter_mut().for_each(|it| it.kill());
                thread::sleep(Duration::from_millis(500));
                for gateway in &mut deployment.gateways {
                    gateway.start()?;
                }
            }
            Trouble::Move => {
                let manifest = manifest(9, LEDGER_TWO);
                deployment.world.store.put("keyed.op", "config", Some(manifest));
                deployment.record.line("version 9 moves the route to another service");
            }
        }
    }
    deployment.wait_ready()?;
    thread::sleep(CONTACT + Duration::from_secs(1));
    read_balances(&deployment);
    for _ in 0..3 {
        send_copies(&deployment, COPIES);
        thread::sleep(Duration::from_secs(1));
    }
    deployment.check_alive()?;
    let retries = count(&deployment) - before;
    let text = format!("{retries} retries reached servers while all machines were in touch");
    deployment.record.line(&text);
    println!("{text}");
    Ok(retries <= MAX_RETRIES)
}

/// Number of times that the harmful request has reached a server.
fn count(deployment: &Deployment) -> usize {
    deployment.world.arrivals().iter().filter(|it| it.path == HARMFUL).count()
}

/// Sends copies of the harmful request at once, each to the next gateway.
fn send_copies(deployment: &Deployment, copies: usize) {
    let clients: Vec<_> = (0..copies).map(|n| send(deployment, n, HARMFUL.to_owned())).collect();
    for client in clients {
        let _ = client.join();
    }
}

/// Sends sound requests of the same caller.
pub fn read_balances(deployment: &Deployment) {
    let sound = |n| send(deployment, n, format!("/balances/{}", 100 + n));
    let clients: Vec<_> = (0..12).map(sound).collect();
    for client in clients {
        let _ = client.join();
    }
}

pub fn send(deployment: &Deployment, n: usize, path: String) -> thread::JoinHandle<()> {
    let (address, record) = (deployment.front(n), deployment.record.clone());
    thread::spawn(move || {
        let id = format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::Relaxed));
        let headers = [
            ("Host", HOST),
            ("Request-Id", id.as_str()),
            ("Time-Budget-Ms", "1000"),
            ("Authorization", KEY),
        ];
        let Ok(mut client) = Client::connect(address) else {
            record.line(&format!("request {id}: no connection"));
            return;
        };
        record.line(&format!("request {id} {path} sent to {address}"));
        if client.send("GET", &path, &headers, b"").is_err() {
            record.line(&format!("request {id}: not sent"));
            return;
        }
        match client.receive(Duration::from_millis(1_000)) {
            Ok(answer) => record.line(&format!("request {id}: client gets {}", answer.status())),
            Err(error) => record.line(&format!("request {id}: no answer ({error})")),
        }
    })
}
