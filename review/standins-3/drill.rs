//! EVAC: a gateway that starts after the store came back from a copy sends to an evacuated zone.

use std::{error::Error, path::Path, thread, time::Duration};

use crate::{
    relearn::{CONTACT, send},
    setup::Deployment,
};

const EVACUATE: Duration = Duration::from_millis(5_000);

pub fn run(root: &Path, folder: &Path, has_trouble: bool) -> Result<bool, Box<dyn Error>> {
    let mut deployment = Deployment::start(root, folder, None, 2)?;
    let store = deployment.world.store.clone();
    thread::sleep(Duration::from_secs(3));
    let copy = store.copy();
    store.put("keyed.op", "evacuate/south-a", Some("{}".to_owned()));
    deployment.record.line("the evacuation of south-a is acknowledged");
    let evacuated = deployment.record.now();
    let mut clients = traffic(&deployment, 600, "a");
    thread::sleep(Duration::from_millis(500));
    if has_trouble {
        store.set_down(true);
        thread::sleep(Duration::from_millis(300));
        store.rewind(copy);
        store.set_down(false);
        deployment.record.line("the store is back from a copy");
    }
    thread::sleep(Duration::from_millis(300));
    deployment.record.line("a gateway is killed");
    deployment.gateways[2].kill();
    thread::sleep(Duration::from_millis(300));
    deployment.gateways[2].start()?;
    deployment.wait_ready()?;
    thread::sleep(CONTACT);
    let from = deployment.record.now();
    clients.extend(traffic(&deployment, 120, "b"));
    store.put("keyed.op", "evacuate/south-a", Some("{}".to_owned()));
    deployment.record.line("the operator writes the evacuation again");
    for client in clients {
        let _ = client.join();
    }
    deployment.check_alive()?;
    let arrivals = deployment.world.arrivals();
    let bound = (evacuated + EVACUATE.as_secs_f64()).max(from);
    // The path names the number of the request, which selects the gateway.
    let is_of_restarted = |path: &str| {
        let number = path.trim_start_matches(|it: char| !it.is_ascii_digit()).parse::<usize>();
        number.is_ok_and(|it| it % 3 == 2)
    };
    let late = arrivals.iter().filter(|it| {
        it.server.starts_with("i-127-31-1-") && it.at > bound && is_of_restarted(&it.path)
    });
    let late = late.count();
    let text = format!("{late} requests reached the evacuated zone from the gateway that was started again");
    deployment.record.line(&text);
    println!("{text}");
    Ok(late == 0)
}

fn traffic(deployment: &Deployment, count: usize, name: &str) -> Vec<thread::JoinHandle<()>> {
    let mut clients = Vec::new();
    for n in 0..count {
        clients.push(send(deployment, n, format!("/balances/{name}{n}")));
        thread::sleep(Duration::from_millis(10));
    }
    clients
}
