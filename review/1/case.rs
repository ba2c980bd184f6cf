//! A tenant loses its last key; what requests with that key, with a key that never was, and without
//! a key get afterwards.

#[path = "../standins/harness.rs"]
mod harness;

use std::{
    process::ExitCode,
    sync::{Arc, Mutex},
};

use harness::{Client, Daemon, KEY, Machine, Recorder, Store, Temporary, has_trouble, sleep_ms};

const NEVER_HELD_KEY: &str = "zzzzzzzzzzzzzzzzzzzz";

/// The manifest with these keys of its only tenant.
fn manifest(version: u32, keys: &str) -> String {
    let with_key = harness::plain_manifest(version, "unsafe", KEY);
    with_key.replace(&format!("[\"{KEY}\"]"), &format!("[{keys}]"))
}

fn main() -> ExitCode {
    let record = Recorder::create("review/1");
    let temporary = Temporary::create();
    let store = Store::start();
    let runs: Arc<Mutex<Vec<String>>> = Arc::default();
    let (listener, server) = harness::listen_on([127, 0, 0, 1]);
    let (log, server_runs) = (record.clone(), runs.clone());
    harness::serve(listener, move |request, stream| {
        let id = request.id();
        let tenant = request.header("tenant").unwrap_or("(none)").to_owned();
        log.note(format!("server runs {id}, Tenant {tenant}"));
        server_runs.lock().unwrap().push(id.clone());
        let headers =
            [("Request-Id", id.as_str()), ("Response-Stamp", "3e1b.07.5a2.600.0.c9f2a4d1")];
        harness::write_answer(stream, "200 OK", &headers, b"posted")
    });
    let entry = harness::server_entry("wuno96b", server, "a", 6);
    store.put("keyed.servers", "i-7f3a91c2", Some(&entry));
    store.put("keyed.op", "config", Some(&manifest(7, &format!("\"{KEY}\""))));
    let machine = Machine {
        name: "front-a-1",
        zone: "a",
        ip: [127, 0, 0, 1],
        udp_port: harness::free_udp_port(),
    };
    let gateway = Daemon::gateway(&machine, store.address, &temporary.0);
    if !gateway.wait_ready() {
        record.note("the gateway isn't ready");
        return ExitCode::from(2);
    }
    sleep_ms(500);
    let post = |id: &str, key: Option<&str>| {
        let authorization = key.map(|it| format!("Token {it}"));
        let mut headers =
            vec![("Host", "ficu95.example"), ("Request-Id", id), ("Time-Budget-Ms", "1000")];
        headers.extend(authorization.as_deref().map(|it| ("Authorization", it)));
        let answer = Client::connect(gateway.listen)
            .and_then(|mut it| it.call("POST", "/puxa403/2f", &headers, b"mandate"));
        let status = answer.map_or(0, |it| it.status);
        let has_run = runs.lock().unwrap().iter().any(|it| it == id);
        record
            .note(format!("client sent {id} with key {key:?}: status {status}, has run {has_run}"));
        (status, has_run)
    };
    let before = [
        post("before-held", Some(KEY)),
        post("before-never", Some(NEVER_HELD_KEY)),
        post("before-none", None),
    ];
    if before.map(|it| it.0) != [200, 401, 401] {
        record.note("the case can't run: the first manifest isn't in force");
        return ExitCode::from(2);
    }
    // The new version is written in both runs; it takes the key away only with the disruption.
    let keys = if has_trouble() { String::new() } else { format!("\"{KEY}\"") };
    store.put("keyed.op", "config", Some(&manifest(11, &keys)));
    record.note(format!("operator: version 11 confirmed, keys of hule930: [{keys}]"));
    // config-apply-ms is 2,000.
    sleep_ms(4_000);
    let mut is_broken = false;
    for n in 0..5 {
        let held = post(&format!("after-held-{n}"), Some(KEY));
        let never = post(&format!("after-never-{n}"), Some(NEVER_HELD_KEY));
        let none = post(&format!("after-none-{n}"), None);
        // CONFIG: a dropped key runs. ROUTE: a key runs that no manifest ever held.
        is_broken |= has_trouble() && held.1 || never.1 || none.1;
        if !has_trouble() && held.0 != 200 {
            record.note("the held key isn't served");
            return ExitCode::from(2);
        }
        sleep_ms(200);
    }
    record.note(if is_broken { "BROKEN: ROUTE, CONFIG" } else { "held" });
    ExitCode::from(u8::from(is_broken))
}
