//! Measurements for docs/CAPACITY.md: processor time, memory and control traffic of idle processes
//! as the number of agents, entries or accounts grows, each varied alone. Fits a line to each and
//! writes plots to docs/.

#[path = "../tests/support.rs"]
mod support;

use std::{sync::atomic::Ordering, time::Duration};

use alderbay::{
    config::{AccountRecord, EntryValue, KeyHash},
    units::VmId,
};
use plotters::prelude::*;
use support::{
    fleet::{Fleet, FleetPlan, FleetProcess, Launcher},
    usage::{cpu_nanoseconds, resident_bytes},
};
use tokio::time::sleep;

/// Numbers of agents and of entries that are measured.
const SIZES: [usize; 4] = [4, 8, 16, 32];
/// Numbers of accounts that are measured.
const ACCOUNTS: [usize; 4] = [0, 700, 1_400, 2_800];
/// Wait before a measurement, so that the start of the fleet doesn't count.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Duration of a measurement.
const MEASURE_WINDOW: Duration = Duration::from_secs(10);

/// Resource use of one process while it serves no requests.
#[derive(Clone, Copy, Debug)]
struct IdleUse {
    /// Number of agents, entries or accounts.
    size: f64,
    /// Processor time as a fraction of one core.
    core_fraction: f64,
    resident_mb: f64,
    /// Control traffic with peers and the log, in kB per second.
    control_kb_s: f64,
}

fn launcher() -> Launcher {
    Launcher { program: env!("CARGO_BIN_EXE_alderbayd").into(), arguments: Vec::new() }
}

fn fleet_plan(entries: usize, agents: usize) -> FleetPlan {
    FleetPlan {
        domains: vec!["south-a"],
        entries_per_domain: entries,
        engines_per_domain: agents,
        ledgers_per_domain: 0,
        is_proxied: true,
        ..FleetPlan::default()
    }
}

/// Bytes that a process has exchanged with its peers and with the log.
fn control_bytes(fleet: &Fleet, process: &FleetProcess) -> u64 {
    let touches = |(entry, agent): &(VmId, VmId)| *entry == process.vm || *agent == process.vm;
    let links = fleet.links.iter().filter(|(pair, _)| touches(pair)).map(|(_, link)| link);
    let proxies = links.chain(&process.log_proxy);
    proxies.map(|it| it.faults.relayed_bytes.load(Ordering::Relaxed)).sum()
}

async fn measure(fleet: &Fleet, process: &FleetProcess, size: usize) -> IdleUse {
    sleep(SETTLE_TIME).await;
    let before = (cpu_nanoseconds(process.pid()), control_bytes(fleet, process));
    sleep(MEASURE_WINDOW).await;
    let after = (cpu_nanoseconds(process.pid()), control_bytes(fleet, process));
    IdleUse {
        size: size as f64,
        core_fraction: (after.0 - before.0) as f64 / MEASURE_WINDOW.as_nanos() as f64,
        resident_mb: resident_bytes(process.pid()) as f64 / f64::from(1 << 20),
        control_kb_s: (after.1 - before.1) as f64 / MEASURE_WINDOW.as_secs_f64() / 1e3,
    }
}

/// Least-squares fit: intercept and slope.
fn fit_line(points: &[(f64, f64)]) -> (f64, f64) {
    let n = points.len() as f64;
    let (mean_x, mean_y) = (
        points.iter().map(|it| it.0).sum::<f64>() / n,
        points.iter().map(|it| it.1).sum::<f64>() / n,
    );
    let sxy: f64 = points.iter().map(|it| (it.0 - mean_x) * (it.1 - mean_y)).sum();
    let sxx: f64 = points.iter().map(|it| (it.0 - mean_x).powi(2)).sum();
    let slope = sxy / sxx;
    (mean_y - slope * mean_x, slope)
}

/// Label of a plotted quantity, and its value.
type Column = (&'static str, fn(&IdleUse) -> f64);

const COLUMNS: [Column; 3] = [
    ("% of a core", |it| it.core_fraction * 100.0),
    ("MB resident", |it| it.resident_mb),
    ("control kB/s", |it| it.control_kb_s),
];

/// Prints the measurements and fitted lines, and plots them to `docs/{file}.svg`.
fn print_and_plot(name: &str, file: &str, uses: &[IdleUse]) -> anyhow::Result<()> {
    println!("\n{name}");
    for it in uses {
        println!(
            "  {:>5}: {:.3}% of a core, {:.2} MB, {:.3} kB/s",
            it.size,
            it.core_fraction * 100.0,
            it.resident_mb,
            it.control_kb_s
        );
    }
    let path = format!("docs/{file}.svg");
    let area = SVGBackend::new(&path, (900, 300)).into_drawing_area();
    area.fill(&WHITE)?;
    for (panel, (label, column)) in area.split_evenly((1, 3)).into_iter().zip(COLUMNS) {
        let points: Vec<(f64, f64)> = uses.iter().map(|it| (it.size, column(it))).collect();
        let (intercept, slope) = fit_line(&points);
        println!("  {label}: {intercept:.4} + {slope:.6} each");
        plot(&panel, &format!("{name}: {label}"), &points, (intercept, slope))?;
    }
    area.present()?;
    Ok(())
}

fn plot(
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    caption: &str,
    points: &[(f64, f64)],
    (intercept, slope): (f64, f64),
) -> anyhow::Result<()> {
    let max_x = points.iter().map(|it| it.0).fold(0.0, f64::max);
    let max_y = points.iter().map(|it| it.1).fold(0.0, f64::max).max(1e-6) * 1.2;
    let mut chart = ChartBuilder::on(area)
        .margin(8)
        .caption(caption, ("sans-serif", 14))
        .x_label_area_size(24)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..max_x * 1.1, 0.0..max_y)?;
    chart.configure_mesh().disable_mesh().draw()?;
    chart.draw_series(LineSeries::new(
        [(0.0, intercept), (max_x, intercept + slope * max_x)],
        &RED,
    ))?;
    chart.draw_series(points.iter().map(|it| Circle::new(*it, 4, BLUE.filled())))?;
    Ok(())
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let mut uses = Vec::new();
    for agents in SIZES {
        let fleet = Fleet::start(fleet_plan(1, agents), launcher()).await;
        uses.push(measure(&fleet, &fleet.entries[0], agents).await);
    }
    print_and_plot("entry by agents kept", "capacity-entry-agents", &uses)?;

    uses.clear();
    for entries in SIZES {
        let fleet = Fleet::start(fleet_plan(entries, 1), launcher()).await;
        uses.push(measure(&fleet, &fleet.agents[0], entries).await);
    }
    print_and_plot("agent by entries", "capacity-agent-entries", &uses)?;

    uses.clear();
    for accounts in ACCOUNTS {
        let fleet = Fleet::start(fleet_plan(1, 1), launcher()).await;
        if accounts > 0 {
            publish_accounts(&fleet, accounts).await;
        }
        uses.push(measure(&fleet, &fleet.entries[0], accounts).await);
    }
    print_and_plot("entry by accounts", "capacity-entry-accounts", &uses)?;
    measure_edits().await;
    Ok(())
}

/// Publishes accounts in edits of 100 and waits until each edit is in force.
async fn publish_accounts(fleet: &Fleet, accounts: usize) {
    for first in (0..accounts).step_by(100) {
        let changes: Vec<(String, EntryValue)> = (first..first + 100)
            .map(|n| {
                let record = AccountRecord {
                    plan: "gold".parse().unwrap_or_else(|_| unreachable!("a plain word is an id")),
                    key_hashes: vec![KeyHash::of_secret(&format!("secret {n}"))],
                };
                (format!("account/many-{n}"), EntryValue::Account(record))
            })
            .collect();
        let changes =
            changes.iter().map(|(key, value)| (key.as_str(), Some(value.clone()))).collect();
        let version = fleet.edit(changes);
        fleet.wait_version(version).await;
    }
}

/// Measures the processor time that an entry spends on an edit, and the time until the edit is in
/// force on all processes.
async fn measure_edits() {
    const EDITS: u32 = 100;
    let fleet = Fleet::start(fleet_plan(4, 16), launcher()).await;
    publish_accounts(&fleet, 2_800).await;
    let entry = &fleet.entries[0];
    let before = cpu_nanoseconds(entry.pid());
    let mut waits = Vec::new();
    for n in 0..EDITS {
        let state = if n % 2 == 0 {
            alderbay::config::ServiceState::Out
        } else {
            alderbay::config::ServiceState::In
        };
        let version = fleet.set_state("vm/no-such-vm", state);
        waits.push(fleet.wait_version(version).await);
    }
    waits.sort();
    let nanoseconds_per_edit = (cpu_nanoseconds(entry.pid()) - before) / u64::from(EDITS);
    println!(
        "\nedits with 2800 accounts: {} us of an entry each, status questions included",
        nanoseconds_per_edit / 1_000
    );
    println!("in force on 20 processes: p50 {:?}, p99 {:?}", waits[49], waits[98]);
}
