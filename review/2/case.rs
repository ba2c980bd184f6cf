//! One part of prompts crashes each server that begins to write an answer on it. Requests with that
//! part come one a second.

#[path = "../standins/fragile.rs"]
mod fragile;
#[path = "../standins/harness.rs"]
mod harness;

use std::{process::ExitCode, time::Duration};

use fragile::SoundLoad;
use harness::{Daemon, Machine, Recorder, Store, Temporary, has_trouble, sleep_ms};

const SERVERS: usize = 8;
const DEADLY: usize = 20;
const DEADLY_PAUSE_MS: u64 = 1_000;
const SOUND_PER_S: u64 = 45;
/// `contact-ms` of the small deployments.
const CONTACT: Duration = Duration::from_millis(3_000);

fn main() -> ExitCode {
    let record = Recorder::create("review/2");
    let temporary = Temporary::create();
    let store = Store::start();
    let seen = fragile::start_servers(SERVERS, has_trouble(), &store, &record);
    let manifest = harness::stream_manifest(7, r#""max-attempts":2,"resumable":true"#);
    store.put("keyed.op", "config", Some(&manifest));
    let udp_port = harness::free_udp_port();
    let machine = Machine { name: "front-a-1", zone: "a", ip: [127, 0, 0, 1], udp_port };
    let gateway = Daemon::gateway(&machine, store.address, &temporary.0);
    if !gateway.wait_ready() {
        record.note("the gateway isn't ready");
        return ExitCode::from(2);
    }
    sleep_ms(3_500);
    let load = SoundLoad::start(gateway.listen, SOUND_PER_S, &record);
    sleep_ms(3_000);
    for n in 0..DEADLY {
        let sent = fragile::send_deadly(gateway.listen, n, &record);
        sleep_ms(DEADLY_PAUSE_MS);
        drop(sent);
    }
    let (sound, cut) = load.stop();
    let share = DEADLY as f64 / (sound + DEADLY) as f64;
    record
        .note(format!("{sound} sound requests, {cut} of them cut; share with the part {share:.3}"));
    let seen = seen.lock().unwrap();
    if seen.deadly_arrivals.is_empty() {
        return ExitCode::from(2);
    }
    // BUDGET counts from contact-ms after the fifth crash.
    let bound = seen.crashes.get(4).map(|it| *it + CONTACT);
    let is_late = |it: &&std::time::Instant| bound.is_some_and(|bound| **it > bound);
    let late = seen.deadly_arrivals.iter().filter(is_late).count();
    let verdict = if late > 3 { "BROKEN: BUDGET" } else { "held" };
    record.note(format!(
        "{} crashes; {late} requests with the part reached servers later than contact-ms after the \
         fifth: {verdict}",
        seen.crashes.len()
    ));
    ExitCode::from(u8::from(late > 3))
}
