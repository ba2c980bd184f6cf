//! Servers preempt streams for 1.3 s as their memory runs out, around a planned stop of the gateway.

#[path = "../standins/harness.rs"]
mod harness;

use std::{
    process::ExitCode,
    thread,
    time::{Duration, Instant},
};

use harness::{Client, Daemon, Machine, Recorder, Store, Temporary, has_trouble, sleep_ms};

const STREAMS: usize = 3;
/// Events of a stream and the usual pause between two.
const EVENTS: u64 = 30;
const PAUSE_MS: u64 = 80;
/// Number of events of a run after which it is preempted, once, and for how long.
const PREEMPTED_AFTER: u64 = 8;
const PREEMPTED_MS: u64 = 1_300;

fn main() -> ExitCode {
    let record = Recorder::create("review/4");
    let temporary = Temporary::create();
    let store = Store::start();
    for n in 1..=2 {
        let (listener, server) = harness::listen_on([127, 0, 0, 1]);
        let log = record.clone();
        harness::serve(listener, move |request, stream| {
            let id = request.id();
            let first = request.last_event();
            log.note(format!("server {n} begins {id} after event {first}"));
            harness::begin_stream(stream, &id)?;
            for piece in first + 1..=EVENTS {
                sleep_ms(PAUSE_MS);
                if has_trouble() && piece == first + PREEMPTED_AFTER + 1 {
                    log.note(format!("server {n} preempts {id} before event {piece}"));
                    sleep_ms(PREEMPTED_MS);
                }
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
    for _ in 0..STREAMS {
        let Ok(client) = Client::connect_and_use(gateway.listen) else { return ExitCode::from(2) };
        channels.push(client);
    }
    sleep_ms(500);
    let started = Instant::now();
    gateway.signal("-TERM");
    record.note("platform: SIGTERM to the gateway; grace-s 8");
    let ask = |(n, mut client): (usize, Client)| {
        let record = record.clone();
        thread::spawn(move || {
            sleep_ms(200);
            let id = format!("stream-{n}");
            let sent_at = started.elapsed().as_millis();
            let mut longest_gap = Duration::ZERO;
            let mut read = || -> std::io::Result<(u16, u64, bool)> {
                client.send_stream_request(&id, harness::PARTS)?;
                let status = client.read_head()?.status;
                let (mut events, mut last) = (0, Instant::now());
                loop {
                    match client.read_chunk() {
                        Ok(chunk) if chunk.is_empty() => return Ok((status, events, true)),
                        Ok(_) => events += 1,
                        Err(_) => return Ok((status, events, false)),
                    }
                    longest_gap = longest_gap.max(last.elapsed());
                    last = Instant::now();
                }
            };
            let seen = read();
            let ended_at = started.elapsed().as_millis();
            record.note(format!(
                "client {n}: {id} sent at {sent_at}, ended at {ended_at}, longest gap {longest_gap:?}: \
                 (status, events of {EVENTS}, whole) {seen:?}"
            ));
            seen
        })
    };
    let clients: Vec<_> = channels.into_iter().enumerate().map(ask).collect();
    let seen: Vec<_> = clients.into_iter().map(|it| it.join().expect("client")).collect();
    // LOST: the channel ends without a complete answer although no server broke off.
    let is_cut = |it: &std::io::Result<(u16, u64, bool)>| match it {
        Ok((status, _, is_whole)) => *status == 200 && !is_whole,
        Err(_) => true,
    };
    let cut = seen.iter().filter(|it| is_cut(it)).count();
    let verdict = if cut > 0 { "BROKEN: LOST" } else { "held" };
    record.note(format!("{cut} of {STREAMS} requests were passed on and cut: {verdict}"));
    ExitCode::from(u8::from(cut > 0))
}
