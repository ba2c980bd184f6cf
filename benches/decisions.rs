//! Time of single decisions: routing in the reducer as the number of known servers grows, and an
//! edit of a configuration with 2,800 accounts, compared with computing its digest from scratch.

use std::{collections::BTreeSet, hint::black_box, time::Instant};

use alderbay::{
    config::{ConfigLedger, ConfigRecord, KeyHash, ServiceState},
    core::{
        AttemptOutcome, CoreSettings, Event, ProcessState, RequestInfo, TimedEvent, VmRecord,
        reduce,
    },
    platform::{LogPage, LogRecord},
    units::{ConcurrencyLimit, IncarnationId, LogOffset, Moment, TokenCount, VmId},
    wire::{AgentReport, PeerHello, PeerRole, RunMode, WIRE_VERSION},
};
use serde_json::json;

const REQUESTS: u32 = 20_000;
const EDITS: u32 = 200;
const ACCOUNTS: usize = 2_800;

/// State of an entry before its first event.
fn new_entry() -> anyhow::Result<ProcessState> {
    Ok(ProcessState::new(CoreSettings::new("e".parse()?, PeerRole::Entry, "d0".parse()?)))
}

fn apply(state: &mut ProcessState, event: Event) {
    black_box(reduce(state, TimedEvent { at: Moment(0), event }));
}

/// Text of an edit record.
fn edit_text(id: u32, changes: serde_json::Value) -> String {
    json!({ "kind": "edit", "edit_id": format!("e{id}"), "author": "bench", "published_ms": 0,
            "changes": changes })
    .to_string()
}

/// A log page that holds one record.
fn page(offset: u64, text: String) -> LogPage {
    let records = vec![LogRecord { offset: LogOffset(offset), text }];
    LogPage { first: LogOffset(0), next: LogOffset(offset + 1), records }
}

/// Changes that add one plan and `ACCOUNTS` accounts.
fn account_changes() -> serde_json::Value {
    let hash = KeyHash::of_secret("s");
    let plan = json!({ "plan": { "services": ["llm"], "requests_per_second": 1e9,
        "tokens_per_second": 1e12, "concurrency": 4_000_000_000_u64 } });
    let mut changes = vec![json!({ "key": "plan/p", "replaces": 0, "value": plan })];
    changes.extend((0..ACCOUNTS).map(|n| {
        json!({ "key": format!("account/a{n}"), "replaces": 0,
                "value": { "account": { "plan": "p", "key_hashes": [hash] } } })
    }));
    changes.into()
}

/// Mean time in microseconds for the three events of a request, with `servers` known servers of
/// which `serving` serve its model.
fn route_micros(servers: usize, serving: usize) -> anyhow::Result<f64> {
    let mut state = new_entry()?;
    apply(&mut state, Event::ConfigRead(page(0, edit_text(0, account_changes()))));
    let mut vm_list = Vec::new();
    for n in 0..servers {
        let vm: VmId = format!("b-{n}").parse()?;
        let model = if n < serving { "llm".to_owned() } else { format!("other-{}", n % 21) };
        let failure_domain: alderbay::units::FailureDomain = format!("d{}", n % 6).parse()?;
        vm_list.push(VmRecord {
            vm: vm.clone(),
            role: PeerRole::Agent,
            failure_domain: failure_domain.clone(),
            address: ([127, 0, 0, 1], 1).into(),
            admin: ([127, 0, 0, 1], 1).into(),
            services: BTreeSet::new(),
            state: ServiceState::In,
        });
        apply(
            &mut state,
            Event::PeerConnected(PeerHello {
                wire_version: WIRE_VERSION,
                vm: vm.clone(),
                role: PeerRole::Agent,
                failure_domain,
                incarnation: IncarnationId(0),
                services: [model.parse()?].into(),
            }),
        );
        let report = AgentReport {
            limit: ConcurrencyLimit(16),
            running: 3,
            waiting: 0,
            state: ServiceState::In,
        };
        apply(&mut state, Event::PeerReport { vm, report });
    }
    apply(&mut state, Event::VmListRead(vm_list));
    let key_hash = KeyHash::of_secret("s");
    let started = Instant::now();
    for n in 0..REQUESTS {
        let request_id: alderbay::units::RequestId = format!("r{n}").parse()?;
        apply(
            &mut state,
            Event::RequestArrived(RequestInfo {
                request_id: request_id.clone(),
                account: "a7".parse()?,
                key_hash: key_hash.clone(),
                service: "llm".parse()?,
                deadline: Moment(1_000_000),
                mode: RunMode::Idempotent,
            }),
        );
        let server = state.requests().get(&request_id).and_then(|it| it.current_server.clone());
        let vm = server.ok_or_else(|| anyhow::anyhow!("request {n} was not routed"))?;
        let outcome = AttemptOutcome::Answered;
        apply(&mut state, Event::AttemptEnded { request_id: request_id.clone(), vm, outcome });
        apply(&mut state, Event::RequestEnded { request_id, tokens: TokenCount(1) });
    }
    Ok(started.elapsed().as_secs_f64() * 1e6 / f64::from(REQUESTS))
}

/// Measures an edit and the digest, and prints both with the size of a snapshot.
fn measure_edits() -> anyhow::Result<()> {
    let mut ledger = ConfigLedger::default();
    ledger.apply_page(page(0, edit_text(0, account_changes())));
    let mut revision = 0;
    let started = Instant::now();
    for n in 1..=EDITS {
        let change = json!([{ "key": "vm/v", "replaces": revision, "value": { "state": "out" } }]);
        ledger.apply_page(page(u64::from(n), edit_text(n, change)));
        revision = n + 1;
    }
    let edit_micros = started.elapsed().as_secs_f64() * 1e6 / f64::from(EDITS);
    anyhow::ensure!(
        ledger.verdicts().iter().all(|it| it.rejected.is_none()),
        "an edit was rejected"
    );
    let snapshot = ledger.snapshot();
    let text = serde_json::to_string(&ConfigRecord::Snapshot(snapshot.clone()))?;
    let started = Instant::now();
    ConfigLedger::default().restore(snapshot)?;
    let restore_micros = started.elapsed().as_secs_f64() * 1e6;
    println!(
        "edit with {ACCOUNTS} accounts: {edit_micros:.1} us; digest computed anew: {restore_micros:.1} us"
    );
    println!("snapshot of {ACCOUNTS} accounts: {} bytes", text.len());
    Ok(())
}

fn main() -> anyhow::Result<()> {
    for (servers, serving) in [(16, 6), (64, 6), (132, 6), (600, 6), (600, 27), (600, 600)] {
        let micros = route_micros(servers, serving)?;
        println!(
            "{servers:>4} servers known, {serving:>3} serve the model: {micros:.2} us a request"
        );
    }
    measure_edits()
}
