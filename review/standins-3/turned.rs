//! BUDGET: a request that was answered before begins to crash the servers that run it.

use std::{error::Error, path::Path, thread, time::Duration};

use crate::{
    relearn::{CONTACT, CRASHES, HARMFUL, MAX_RETRIES, read_balances, send},
    setup::Deployment,
};

/// Pause between two copies, each at the next gateway.
const COPY_PAUSE: Duration = Duration::from_millis(700);
/// Number of copies before and after the request begins to crash servers.
const SOUND_COPIES: usize = 9;
const HARMFUL_COPIES: usize = 24;

pub fn run(root: &Path, folder: &Path, has_trouble: bool) -> Result<bool, Box<dyn Error>> {
    let mut deployment = Deployment::start(root, folder, Some(HARMFUL), 4)?;
    deployment.world.set_harmful(false);
    thread::sleep(Duration::from_secs(3));
    for n in 0..SOUND_COPIES {
        send_copy(&deployment, n);
    }
    deployment.world.set_harmful(has_trouble);
    deployment.record.line(if has_trouble { "the request crashes servers now" } else { "no trouble" });
    let began = deployment.record.now();
    for n in 0..HARMFUL_COPIES {
        send_copy(&deployment, n);
    }
    deployment.check_alive()?;
    let mut arrivals: Vec<f64> = deployment
        .world
        .arrivals()
        .iter()
        .filter(|it| has_trouble && it.path == HARMFUL && it.at >= began)
        .map(|it| it.at)
        .collect();
    arrivals.sort_by(f64::total_cmp);
    let bound_from = arrivals.get(CRASHES - 1).map(|it| it + CONTACT.as_secs_f64());
    let late = arrivals.iter().filter(|it| bound_from.is_some_and(|from| **it > from)).count();
    let text = format!(
        "{} servers crashed; {late} retries reached servers later than contact-ms after the third crash",
        arrivals.len()
    );
    deployment.record.line(&text);
    println!("{text}");
    Ok(late <= MAX_RETRIES)
}

/// Sends one copy beside sound requests of the same caller, and waits for the next.
fn send_copy(deployment: &Deployment, n: usize) {
    let client = send(deployment, n, HARMFUL.to_owned());
    read_balances(deployment);
    let _ = client.join();
    thread::sleep(COPY_PAUSE);
}
