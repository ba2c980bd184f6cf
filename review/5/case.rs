//! A gateway gets SIGTERM; clients then use channels that they kept open for streams of some seconds.

#[path = "../standins/harness.rs"]
mod harness;

use std::{
    collections::BTreeSet,
    process::ExitCode,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use harness::{Client, Daemon, Machine, Recorder, Store, Temporary, has_trouble, sleep_ms};

/// Events of a stream and the pause between two: 60 times 95 ms are 5.7 s.
const EVENTS: u64 = 60;
const PAUSE_MS: u64 = 95;
/// When the clients send, after SIGTERM.
const SENT_MS: [u64; 5] = [3_100, 3_150, 3_200, 3_250, 3_300];

fn main() -> ExitCode {
    let record = Recorder::create("review/5");
    let temporary = Temporary::create();
    let store = Store::start();
    let passed_on: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    for n in 1..=2 {
        let (listener, server) = harness::listen_on([127, 0, 0, 1]);
        let (log, passed_on) = (record.clone(), passed_on.clone());
        harness::serve(listener, move |request, stream| {
            let id = request.id();
            log.note(format!("server {n} begins {id}"));
            passed_on.lock().unwrap().insert(id.clone());
            harness::begin_stream(stream, &id)?;
            for piece in request.last_event() + 1..=EVENTS {
                sleep_ms(PAUSE_MS);
                harness::send_event(stream, piece).inspect_err(|_| {
                    log.note(format!("server {n}: channel of {id} is gone at event {piece}"));
                })?;
            }
            harness::end_stream(stream)?;
            log.note(format!("server {n} has ended {id}, whole"));
            Ok(())
        });
        let entry = harness::server_entry("huvo11a", server, "a", 12);
        store.put("keyed.servers", &format!("i-{n}"), Some(&entry));
    }
    let manifest = harness::stream_manifest(7, r#""max-attempts":2,"resumable":true"#);
    store.put("keyed.op", "config", Some(&manifest));
    let udp_port = harness::free_udp_port();
    let machine = Machine { name: "front-a-1", zone: "a", ip: [127, 0, 0, 1], udp_port };
    let gateway = Daemon::gateway(&machine, store.address, &temporary.0);
    if !gateway.wait_ready() {
        record.note("the gateway isn't ready");
        return ExitCode::from(2);
    }
    sleep_ms(2_500);
    let mut channels = Vec::new();
    for n in 0..SENT_MS.len() {
        let Ok(client) = Client::connect_and_use(gateway.listen) else { return ExitCode::from(2) };
        record.note(format!("client {n}: channel open and used once"));
        channels.push(client);
    }
    sleep_ms(1_000);
    let started = Instant::now();
    if has_trouble() {
        gateway.signal("-TERM");
        record.note("platform: SIGTERM to the gateway; grace-s 8");
    }
    let ask = |(n, mut client): (usize, Client)| {
        let (record, passed_on) = (record.clone(), passed_on.clone());
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(SENT_MS[n]).saturating_sub(started.elapsed()));
            let id = format!("stream-{n}");
            let sent_at = started.elapsed().as_millis();
            let answer =
                client.send_stream_request(&id, harness::PARTS).and_then(|()| client.read());
            let ended_at = started.elapsed().as_millis();
            let was_passed_on = passed_on.lock().unwrap().contains(&id);
            let (seen, is_whole) = match answer {
                Ok(answer) => {
                    let pieces = answer.text().matches("id:").count();
                    let seen = format!("status {}, {pieces} of {EVENTS} events", answer.status);
                    (seen, answer.is_whole)
                }
                Err(error) => (format!("closed without an answer ({error})"), false),
            };
            record.note(format!(
                "client {n}: {id} sent at {sent_at}, ended at {ended_at}, passed on \
                 {was_passed_on}: {seen}, whole {is_whole}"
            ));
            (was_passed_on, is_whole)
        })
    };
    let clients: Vec<_> = channels.into_iter().enumerate().map(ask).collect();
    let seen: Vec<(bool, bool)> =
        clients.into_iter().map(|it| it.join().expect("client")).collect();
    if !has_trouble() && !seen.iter().all(|it| it.0) {
        return ExitCode::from(2);
    }
    // LOST: the process has read the request and passed it on, and the channel ends without a
    // complete answer.
    let cut = seen.iter().filter(|it| it.0 && !it.1).count();
    let verdict = if cut > 0 { "BROKEN: LOST" } else { "held" };
    record.note(format!("{cut} requests were passed on and cut: {verdict}"));
    ExitCode::from(u8::from(cut > 0))
}
