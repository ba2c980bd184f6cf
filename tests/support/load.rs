//! A steady load of streamed drafts. The text of each answer is compared with the expected tokens.

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

/// Results of the requests of a load.
#[derive(Clone, Debug, Default)]
pub struct LoadTally {
    /// Complete answers with the expected text.
    pub completed: u64,
    /// Refusals by code and outcome.
    pub refused: BTreeMap<(String, String), u64>,
    /// Texts of answers that broke off, lacked `[DONE]`, or differed from the expected text.
    pub wrong: Vec<String>,
    /// Connections that ended without any answer.
    pub unanswered: u64,
    /// Duration of each completed request, from sending it to the end of its answer.
    pub durations: Vec<Duration>,
}

impl LoadTally {
    pub fn refusals(&self) -> u64 {
        self.refused.values().sum()
    }

    pub fn total(&self) -> u64 {
        self.completed + self.refusals() + self.wrong.len() as u64 + self.unanswered
    }
}

/// A running load; `stop` ends it.
pub struct SteadyLoad {
    is_stopping: Arc<AtomicBool>,
    tally: Arc<Mutex<LoadTally>>,
    /// Number of the next prompt; keeps prompts distinct.
    next_prompt: Arc<AtomicU64>,
    workers: Vec<JoinHandle<()>>,
}

impl SteadyLoad {
    /// Starts `workers` callers per entry; each sends one request at a time.
    pub fn start(caller: &Caller, entries: &[SocketAddr], workers: usize, tokens: u64) -> Self {
        let mut load = Self {
            is_stopping: Arc::default(),
            tally: Arc::default(),
            next_prompt: Arc::default(),
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
                    load.next_prompt.clone(),
                );
                load.workers.push(tokio::spawn(worker));
            }
        }
        load
    }

    /// Copy of the tally up to now.
    pub fn current_tally(&self) -> LoadTally {
        self.tally.lock().unwrap().clone()
    }

    /// Waits until `count` more requests have completed. Panics after `WAIT_TIMEOUT`.
    pub async fn wait_completed(&self, count: u64) {
        let target = self.current_tally().completed + count;
        let is_met = super::callers::wait_until(super::fleet::WAIT_TIMEOUT, || async {
            self.current_tally().completed >= target
        })
        .await;
        assert!(is_met, "load makes no progress: {:?}", self.current_tally());
    }

    /// Stops sending, waits for requests in progress, and returns the final tally.
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
    next_prompt: Arc<AtomicU64>,
) {
    while !is_stopping.load(Ordering::SeqCst) {
        let prompt = format!("prompt {}", next_prompt.fetch_add(1, Ordering::SeqCst));
        let started = Instant::now();
        let answer = caller.draft(entry, MODEL, &prompt, tokens, true).await;
        let has_no_refusals = {
            let mut tally = tally.lock().unwrap();
            match answer {
                None => tally.unanswered += 1,
                Some(answer) if answer.status == 200 => {
                    let (text, is_done) = answer.stream();
                    if answer.is_complete && is_done && text == draft_text(&prompt, tokens) {
                        tally.completed += 1;
                        tally.durations.push(started.elapsed());
                    } else {
                        tally.wrong.push(answer.text());
                    }
                }
                Some(answer) => *tally.refused.entry(answer.error()).or_default() += 1,
            }
            tally.unanswered == 0 && tally.refused.is_empty()
        };
        if !has_no_refusals {
            // Once any request of this load was refused or unanswered, callers pause between
            // requests, as a refusal tells them to.
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}
