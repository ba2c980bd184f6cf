//! Latency and throughput through entry and agent over loopback, compared in one run with the same
//! load sent directly to the fake engine, and resident memory when idle and per open stream.

#[path = "../tests/support.rs"]
mod support;

use std::{net::SocketAddr, sync::atomic::Ordering, time::Duration};

use hdrhistogram::Histogram;
use serde_json::json;
use support::{
    callers::Caller,
    fleet::{Fleet, FleetPlan, Launcher, MODEL},
    usage::{cpu_nanoseconds, resident_bytes},
};
use tokio::time::Instant;

/// Sequential requests of the latency measurement.
const REQUESTS: usize = 3_000;
/// Concurrent streams of the throughput measurement.
const STREAMS: usize = 32;
/// Events of each of these streams.
const EVENTS: u64 = 20_000;
/// Concurrent slow streams of the memory measurement.
const OPEN_STREAMS: usize = 200;

fn launcher() -> Launcher {
    Launcher { program: env!("CARGO_BIN_EXE_alderbayd").into(), arguments: Vec::new() }
}

/// Latencies of sequential requests without streaming, in microseconds.
async fn latencies(to: SocketAddr) -> anyhow::Result<Histogram<u64>> {
    let mut histogram = Histogram::<u64>::new(3)?;
    let caller = Caller::new("dues");
    for n in 0..REQUESTS {
        let started = Instant::now();
        let answer = caller.draft(to, MODEL, "p", 1, false).await;
        anyhow::ensure!(answer.is_some_and(|it| it.status == 200), "request {n} failed");
        histogram.record(u64::try_from(started.elapsed().as_micros())?)?;
    }
    Ok(histogram)
}

/// Opens all streams at once and returns the events per second over all of them.
async fn stream_rate(to: SocketAddr) -> anyhow::Result<f64> {
    let started = Instant::now();
    let streams: Vec<_> = (0..STREAMS)
        .map(|n| {
            tokio::spawn(async move {
                let prompt = format!("p{n}");
                Caller::new("dues").draft(to, MODEL, &prompt, EVENTS, true).await
            })
        })
        .collect();
    for stream in streams {
        let answer = stream.await?;
        let is_complete =
            answer.is_some_and(|it| it.is_complete && it.text().ends_with("[DONE]\n\n"));
        anyhow::ensure!(is_complete, "a stream broke off");
    }
    Ok((STREAMS as u64 * EVENTS) as f64 / started.elapsed().as_secs_f64())
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let plan = FleetPlan {
        domains: vec!["south-a"],
        ledgers_per_domain: 0,
        capacity: json!({
            "cold_concurrency": 256, "warm_concurrency": 256, "warm_up_progress": 1, "slow_factor": 1e9
        }),
        ..FleetPlan::default()
    };
    let fleet = Fleet::start(plan, launcher()).await;
    let engine = fleet.engines.values().next().ok_or_else(|| anyhow::anyhow!("no engine"))?;
    engine.token_ms.store(0, Ordering::SeqCst);
    let (entry, agent) = (&fleet.entries[0], &fleet.agents[0]);
    let engine_address = fleet.backend_of(&agent.vm);
    let idle = (resident_bytes(entry.pid()), resident_bytes(agent.pid()));

    let direct = latencies(engine_address).await?;
    let relayed = latencies(entry.listen).await?;
    for quantile in [0.5, 0.99] {
        let (direct, relayed) =
            (direct.value_at_quantile(quantile), relayed.value_at_quantile(quantile));
        println!(
            "p{:<4} straight {direct} us, through alderbay {relayed} us, added {} us",
            quantile * 100.0,
            relayed.saturating_sub(direct)
        );
    }

    let direct = stream_rate(engine_address).await?;
    let before = (cpu_nanoseconds(entry.pid()), cpu_nanoseconds(agent.pid()));
    let relayed = stream_rate(entry.listen).await?;
    let events = (STREAMS as u64 * EVENTS) as f64;
    let per_core = |after: u64, before: u64| events / ((after - before) as f64 / 1e9);
    println!("events a second: straight {direct:.0}, through alderbay {relayed:.0}");
    println!(
        "events a second and core: entry {:.0}, agent {:.0}",
        per_core(cpu_nanoseconds(entry.pid()), before.0),
        per_core(cpu_nanoseconds(agent.pid()), before.1)
    );

    engine.token_ms.store(200, Ordering::SeqCst);
    let before = (resident_bytes(entry.pid()), resident_bytes(agent.pid()));
    let streams: Vec<_> = (0..OPEN_STREAMS)
        .map(|_| {
            let to = entry.listen;
            tokio::spawn(async move { Caller::new("dues").draft(to, MODEL, "p", 15, true).await })
        })
        .collect();
    tokio::time::sleep(Duration::from_secs(2)).await;
    let after = (resident_bytes(entry.pid()), resident_bytes(agent.pid()));
    let per_stream = |after: u64, before: u64| after.saturating_sub(before) / OPEN_STREAMS as u64;
    println!("resident idle: entry {} kB, agent {} kB", idle.0 >> 10, idle.1 >> 10);
    println!(
        "resident for each open stream: entry {} B, agent {} B",
        per_stream(after.0, before.0),
        per_stream(after.1, before.1)
    );
    for stream in streams {
        anyhow::ensure!(stream.await?.is_some_and(|it| it.is_complete), "a stream broke off");
    }
    Ok(())
}
