//! Steady load of streamed drafts, each answer checked token by token.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::{task::JoinHandle, time::Instant};

use super::{callers::Caller, engine::draft_text, fleet::MODEL};

/// What became of the requests of a load.
#[derive(Clone, Debug, Default)]
pub struct LoadTally {
    /// Whole answers with the right text.
    pub whole: u64,
    /// Refusals by code and outcome.
    pub refused: BTreeMap<(String, String), u64>,
    /// Answers that broke off, lacked their end, or held another text than their own.
    pub wrong: Vec<String>,
    /// Connections that ended without any answer.
    pub unanswered: u64,
    /// Time of each whole answer, from the request to its end.
    pub durations: Vec<Duration>,
}

impl LoadTally {
    pub fn refusals(&self) -> u64 {
        self.refused.values().sum()
    }

    pub fn total(&self) -> u64 {
        self.whole + self.refusals() + self.wrong.len() as u64 + self.unanswered
    }
}

/// A running load.
pub struct SteadyLoad {
    is_stopping: Arc<AtomicBool>,
    tally: Arc<Mutex<LoadTally>>,
    next: Arc<AtomicU64>,
    workers: Vec<JoinHandle<()>>,
}

impl SteadyLoad {
    /// Starts `workers` callers for each entry, each with one request at a time.
    pub fn start(caller: &Caller, entries: &[SocketAddr], workers: usize, tokens: u64) -> Self {
        let mut load = Self {
            is_stopping: Arc::default(),
            tally: Arc::default(),
            next: Arc::default(),
            workers: Vec::new(),
        };
        for entry in entries {
            for _ in 0..workers {
                let worker = run_worker(
                    caller.clone(),
                    *entry,
                    tokens,
                    load.is_stopping.clone(),
                    load.tally.clone(),
                    load.next.clone(),
                );
                load.workers.push(tokio::spawn(worker));
            }
        }
        load
    }

    pub fn so_far(&self) -> LoadTally {
        self.tally.lock().unwrap().clone()
    }

    /// Waits until this many further answers were whole.
    pub async fn wait_whole(&self, count: u64) {
        let target = self.so_far().whole + count;
        let is_met = super::callers::wait_until(super::fleet::SOON, || async {
            self.so_far().whole >= target
        })
        .await;
        assert!(is_met, "the load makes no progress: {:?}", self.so_far());
    }

    /// Lets requests in progress end and gives the tally.
    pub async fn stop(self) -> LoadTally {
        self.is_stopping.store(true, Ordering::SeqCst);
        for worker in self.workers {
            worker.await.unwrap();
        }
        self.tally.lock().unwrap().clone()
    }
}

async fn run_worker(
    caller: Caller,
    entry: SocketAddr,
    tokens: u64,
    is_stopping: Arc<AtomicBool>,
    tally: Arc<Mutex<LoadTally>>,
    next: Arc<AtomicU64>,
) {
    while !is_stopping.load(Ordering::SeqCst) {
        let prompt = format!("prompt {}", next.fetch_add(1, Ordering::SeqCst));
        let started = Instant::now();
        let answer = caller.draft(entry, MODEL, &prompt, tokens, true).await;
        let is_served = {
            let mut tally = tally.lock().unwrap();
            match answer {
                None => tally.unanswered += 1,
                Some(answer) if answer.status == 200 => {
                    let (text, is_done) = answer.stream();
                    if answer.is_whole && is_done && text == draft_text(&prompt, tokens) {
                        tally.whole += 1;
                        tally.durations.push(started.elapsed());
                    } else {
                        tally.wrong.push(answer.text());
                    }
                }
                Some(answer) => *tally.refused.entry(answer.error()).or_default() += 1,
            }
            tally.unanswered == 0 && tally.refused.is_empty()
        };
        if !is_served {
            // A caller that was refused waits a little, as it is told to.
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}
