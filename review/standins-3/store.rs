//! Stand-in of the platform's store: the two keyed topics that operators and servers write, read
//! as snapshots or from an offset, with reads that wait.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http::{read_message, respond, Message};

type Records = Vec<(String, Option<String>)>;

#[derive(Default)]
struct StoreState {
    topics: BTreeMap<String, Records>,
    era: u64,
    is_down: bool,
}

/// What a store held at some time.
pub struct StoreCopy(BTreeMap<String, Records>);

#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

impl Store {
    pub fn start(address: SocketAddr) -> std::io::Result<Self> {
        let store = Self::default();
        let listener = TcpListener::bind(address)?;
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Appends a record; `None` drops the key.
    pub fn put(&self, topic: &str, key: &str, value: Option<String>) {
        let mut state = self.state.0.lock().unwrap();
        state.topics.entry(topic.into()).or_default().push((key.into(), value));
        self.state.1.notify_all();
    }

    /// Copies what the store holds.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.state.0.lock().unwrap().topics.clone())
    }

    pub fn set_down(&self, is_down: bool) {
        self.state.0.lock().unwrap().is_down = is_down;
    }

    /// Comes back from a copy, in a new era.
    pub fn rewind(&self, copy: StoreCopy) {
        let mut state = self.state.0.lock().unwrap();
        state.topics = copy.0;
        state.era += 1;
        self.state.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        while let Ok(Some(request)) = read_message(&mut stream) {
            let path = request.target().split('?').next().unwrap_or("").to_owned();
            let is_down = self.state.0.lock().unwrap().is_down;
            let body = match path.as_str() {
                "/v1/log-newest" => Some(self.newest(&request).into_bytes()),
                "/v1/log-read" => self.read(&request),
                _ => None,
            };
            let number = self.state.0.lock().unwrap().era.to_string();
            let era = [("Store-Era", number.as_str())];
            let written = match path.as_str() {
                _ if is_down => respond(&mut stream, 503, &era, b""),
                "/v1/log-newest" => {
                    let headers = [era[0], ("Content-Type", "application/json")];
                    respond(&mut stream, 200, &headers, &body.unwrap_or_default())
                }
                "/v1/log-read" => match body {
                    Some(body) => respond(&mut stream, 200, &era, &body),
                    None => respond(&mut stream, 410, &era, b"{\"first-offset\":0}"),
                },
                _ => respond(&mut stream, 404, &era, b""),
            };
            if written.is_err() {
                return;
            }
        }
    }

    fn newest(&self, request: &Message) -> String {
        let topic = request.query("topic").unwrap_or_default();
        let state = self.state.0.lock().unwrap();
        let empty = Records::new();
        let records = state.topics.get(&topic).unwrap_or(&empty);
        let mut latest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            latest.insert(key, (offset, value));
        }
        let items: Vec<String> = latest
            .into_iter()
            .filter_map(|(key, (offset, value))| {
                let value = base64(value.as_ref()?.as_bytes());
                Some(format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}"))
            })
            .collect();
        let (items, end) = (items.join(","), records.len());
        format!("{{\"items\":[{items}],\"has-more\":false,\"end-offset\":{end}}}")
    }

    /// Records from an offset on, as soon as there is one or the wait has passed. `None` if the
    /// topic does not reach that far.
    fn read(&self, request: &Message) -> Option<Vec<u8>> {
        let topic = request.query("topic").unwrap_or_default();
        let number = |name| request.query(name).and_then(|it| it.parse::<u64>().ok());
        let from = number("range-start").unwrap_or(0) as usize;
        let deadline = Instant::now() + Duration::from_millis(number("wait-ms").unwrap_or(0));
        let mut state = self.state.0.lock().unwrap();
        loop {
            let records = state.topics.entry(topic.clone()).or_default();
            if from > records.len() {
                return None;
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if from < records.len() || left.is_zero() {
                return Some(encode(records, from));
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn encode(records: &Records, from: usize) -> Vec<u8> {
    let mut body = Vec::new();
    body.extend((records.len() as u64).to_be_bytes());
    body.extend(0_u64.to_be_bytes());
    for (key, value) in &records[from..] {
        let value = value.as_deref().unwrap_or("");
        body.extend((1 + key.len() as u32 + value.len() as u32).to_be_bytes());
        body.push(key.len() as u8);
        body.extend(key.as_bytes());
        body.extend(value.as_bytes());
    }
    body
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |n: usize| u32::from(chunk.get(n).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for n in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * n) & 63) as usize];
            text.push(if n <= chunk.len() { digit as char } else { '=' });
        }
    }
    text
}
