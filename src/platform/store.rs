//! Client of the platform's metadata store: partitioned logs over HTTP. Keyed logs are compacted,
//! that is, they retain at least the newest record of each key.
//!
//! The client only reads; operators and backend servers write.

use std::{
    cmp::Ordering,
    net::SocketAddr,
    pin::pin,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering::Relaxed},
    },
    time::Duration,
};

use base64::{Engine, prelude::BASE64_STANDARD};
use bytes::{Buf, Bytes};
use futures_util::future::{Either, select};
use http::response::Parts;
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use serde::Deserialize;
use smol_str::SmolStr;
use tokio::time::{Instant, timeout};
use volo_http::client::Client;

use super::{PlatformError, fetch};
use crate::units::{LogOffset, StoreEra, StorePosition};

/// Timeout of one request to the store; a long poll adds its wait. It is below the shortest time
/// within which a change must reach the gateways.
const STORE_TIMEOUT: Duration = Duration::from_millis(900);
/// Time without a response after which the request is sent over a new connection too, since the one in
/// use may have fallen silent; a long poll adds its wait.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(300);
/// Size of the header of a page, which holds two offsets.
const PAGE_HEADER_BYTES: usize = 16;

/// Header with the number of times that the store has come back from a copy of itself.
const ERA_HEADER: &str = "store-era";

/// Topic that operators write: the route catalog and evacuations of failure domains.
const OPERATOR_TOPIC: &str = "keyed.op";
/// Topic that backend servers write: the directory.
const SERVER_TOPIC: &str = "keyed.servers";

/// A keyed stream of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyedStream {
    /// The route catalog and evacuations of failure domains, written by operators.
    Operator,
    /// The directory, in which backend servers register.
    Servers,
}

impl KeyedStream {
    fn topic(self) -> &'static str {
        match self {
            Self::Operator => OPERATOR_TOPIC,
            Self::Servers => SERVER_TOPIC,
        }
    }
}

/// A record of a keyed stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedRecord {
    /// Key of the record; a newer record with the same key replaces it.
    pub key: SmolStr,
    /// Value of the record; `None` is a tombstone that removes the key.
    pub value: Option<Bytes>,
    /// Offset of the record in its stream.
    pub offset: LogOffset,
}

/// Result of reading records from an offset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyedRead {
    /// Records from the requested position in order, and the position to read next.
    Records(Vec<KeyedRecord>, StorePosition),
    /// The store does not have the requested offset: call [`StoreClient::read_newest`].
    Expired,
    /// The store has started this later era: call [`StoreClient::read_newest`].
    Rewound(StoreEra),
}

/// HTTP client of the store. Clones share their connections.
#[derive(Clone)]
pub struct StoreClient {
    address: SocketAddr,
    connections: Arc<StoreConnections>,
}

struct StoreConnections {
    /// Replaced, with all its connections, when one of them is silent.
    client: Mutex<Client>,
    /// Whether the store itself was slow lately, so that a second request would only add to its load.
    is_slow: AtomicBool,
}

#[derive(Deserialize)]
struct NewestPage {
    items: Vec<NewestItem>,
    #[serde(rename = "has-more")]
    has_more: bool,
    #[serde(rename = "end-offset")]
    end: LogOffset,
}

#[derive(Deserialize)]
struct NewestItem {
    key: SmolStr,
    value: String,
    offset: LogOffset,
}

impl StoreClient {
    /// Creates a client of the store at `address`. It connects with its first request.
    ///
    /// # Errors
    ///
    /// The HTTP client cannot be built.
    pub fn new(address: SocketAddr) -> Result<Self, PlatformError> {
        let connections =
            StoreConnections { client: Mutex::new(new_client()?), is_slow: AtomicBool::new(false) };
        Ok(Self { address, connections: Arc::new(connections) })
    }

    /// Reads the newest record of each key, and returns them with the position from which to read
    /// later changes.
    ///
    /// # Errors
    ///
    /// The store is unreachable, times out, responds with an error, or starts a new era meanwhile.
    pub async fn read_newest(
        &self,
        stream: KeyedStream,
    ) -> Result<(Vec<KeyedRecord>, StorePosition), PlatformError> {
        let topic = stream.topic();
        let base = format!("http://{}/v1/log-newest?topic={topic}&part=0", self.address);
        let (mut page, era) = self.fetch_newest_page(base.clone()).await?;
        // The pages are not one consistent snapshot, so reading resumes from the end offset of the
        // first page, which repeats the changes made since.
        let end = StorePosition { era, offset: page.end };
        let mut records = Vec::new();
        loop {
            let last = page.items.last().map(|it| it.key.clone());
            records.extend(page.items.into_iter().map(decode_item));
            let Some(last) = last.filter(|_| page.has_more) else { return Ok((records, end)) };
            // A key may hold any bytes, whoever wrote it.
            let last = utf8_percent_encode(&last, NON_ALPHANUMERIC);
            let uri = format!("{base}&after={last}");
            let (next_page, next_era) = self.fetch_newest_page(uri).await?;
            if next_era != era {
                return Err(PlatformError::EraChanged);
            }
            page = next_page;
        }
    }

    async fn fetch_newest_page(
        &self,
        uri: String,
    ) -> Result<(NewestPage, StoreEra), PlatformError> {
        let (parts, body) = self.fetch(&uri, &uri, Duration::ZERO).await?;
        if parts.status != http::StatusCode::OK {
            return Err(PlatformError::Status(parts.status.as_u16()));
        }
        Ok((serde_json::from_slice(&body)?, decode_era(&parts.headers)?))
    }

    /// Reads records from position `from`. A long poll: waits up to `wait` if there are none yet.
    ///
    /// # Errors
    ///
    /// The store is unreachable, times out, or responds with an error or from an earlier era.
    pub async fn read(
        &self,
        stream: KeyedStream,
        from: StorePosition,
        wait: Duration,
    ) -> Result<KeyedRead, PlatformError> {
        let offset = from.offset;
        let (address, topic) = (self.address, stream.topic());
        let uri = |wait: Duration| {
            let wait_ms = wait.as_millis();
            format!(
                "http://{address}/v1/log-read?topic={topic}&part=0&range-start={offset}&wait-ms={wait_ms}"
            )
        };
        let (parts, body) = self.fetch(&uri(wait), &uri(Duration::ZERO), wait).await?;
        // A later era is told apart by any response, since its offsets may seem to continue. Errors
        // of the network between may lack the header.
        let is_answer = matches!(parts.status, http::StatusCode::OK | http::StatusCode::GONE);
        if !is_answer {
            return Err(PlatformError::Status(parts.status.as_u16()));
        }
        let era = decode_era(&parts.headers)?;
        match era.cmp(&from.era) {
            Ordering::Less => Err(PlatformError::EraChanged),
            Ordering::Greater => Ok(KeyedRead::Rewound(era)),
            Ordering::Equal if parts.status == http::StatusCode::GONE => Ok(KeyedRead::Expired),
            Ordering::Equal => decode_page(body, from),
        }
    }

    /// Fetches `uri`, whose response may take as long as `wait` by intent. Without one in time,
    /// `second_uri` is fetched over a new connection, and the first response counts.
    async fn fetch(
        &self,
        uri: &str,
        second_uri: &str,
        wait: Duration,
    ) -> Result<(Parts, Bytes), PlatformError> {
        let (client, started) = (self.client(), Instant::now());
        let mut first = pin!(fetch(client.get(uri), STORE_TIMEOUT + wait));
        let silence_timeout = wait + SILENCE_TIMEOUT;
        if self.connections.is_slow.load(Relaxed) {
            let result = first.await;
            let is_slow = started.elapsed() >= silence_timeout;
            self.connections.is_slow.store(is_slow, Relaxed);
            if result.is_err() {
                self.replace_client()?;
            }
            return result;
        }
        if let Ok(result) = timeout(silence_timeout, first.as_mut()).await {
            return result;
        }
        let (client, second_started) = (self.replace_client()?, Instant::now());
        let second = pin!(fetch(client.get(second_uri), STORE_TIMEOUT));
        let (was_silent, result) = match select(first, second).await {
            Either::Left((Ok(response), _)) => (false, Ok(response)),
            Either::Left((Err(_), second)) => (true, second.await),
            Either::Right((Ok(response), _)) => {
                log::info!("connection to the store was silent, using a new one");
                (true, Ok(response))
            }
            Either::Right((Err(_), first)) => (false, first.await),
        };
        let is_slow = !was_silent || second_started.elapsed() >= SILENCE_TIMEOUT;
        self.connections.is_slow.store(is_slow, Relaxed);
        result
    }

    fn client(&self) -> Client {
        self.connections.client.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Gives up all connections that are not in use. Returns a client without any.
    fn replace_client(&self) -> Result<Client, PlatformError> {
        let client = new_client()?;
        let mut current = self.connections.client.lock().unwrap_or_else(PoisonError::into_inner);
        current.clone_from(&client);
        Ok(client)
    }
}

fn new_client() -> Result<Client, PlatformError> {
    Client::builder().build().map_err(PlatformError::Client)
}

/// Returns the store's era. A store without eras does not send the header and stays in the first.
fn decode_era(headers: &http::HeaderMap) -> Result<StoreEra, PlatformError> {
    let Some(value) = headers.get(ERA_HEADER) else { return Ok(StoreEra::default()) };
    let era = value.to_str().ok().and_then(|it| it.trim().parse().ok());
    era.ok_or(PlatformError::InvalidEra)
}

/// Decodes the base64 value. An empty value becomes `None`, as in a tombstone. An invalid one is
/// kept as it is, since the key exists.
fn decode_item(item: NewestItem) -> KeyedRecord {
    let NewestItem { key, value, offset } = item;
    let value = BASE64_STANDARD.decode(value.as_bytes()).unwrap_or_else(|error| {
        log::warn!(key:% = key, error:% = error; "store record has an invalid base64 value");
        value.into_bytes()
    });
    let value = (!value.is_empty()).then(|| Bytes::from(value));
    KeyedRecord { key, value, offset }
}

/// Decodes a page: a header, then records that each follow their length as a big-endian `u32`.
fn decode_page(mut body: Bytes, from: StorePosition) -> Result<KeyedRead, PlatformError> {
    if body.len() < PAGE_HEADER_BYTES {
        return Err(PlatformError::Truncated);
    }
    body.advance(PAGE_HEADER_BYTES);
    let mut records = Vec::new();
    while !body.is_empty() {
        if body.len() < size_of::<u32>() {
            return Err(PlatformError::Truncated);
        }
        let length = body.get_u32() as usize;
        if length > body.len() {
            return Err(PlatformError::Truncated);
        }
        let offset = LogOffset(from.offset.0 + records.len() as u64);
        records.push(decode_record(body.split_to(length), offset));
    }
    let offset = LogOffset(from.offset.0 + records.len() as u64);
    Ok(KeyedRead::Records(records, StorePosition { offset, ..from }))
}

/// Decodes a record: the length of its key in one byte, the key, and the value.
fn decode_record(mut content: Bytes, offset: LogOffset) -> KeyedRecord {
    if content.is_empty() {
        return KeyedRecord { key: SmolStr::default(), value: None, offset };
    }
    let length = usize::from(content.get_u8()).min(content.len());
    let key = String::from_utf8_lossy(&content.split_to(length)).into();
    KeyedRecord { key, value: (!content.is_empty()).then_some(content), offset }
}

#[cfg(test)]
mod tests {
    use googletest::prelude::*;

    use super::*;

    fn page(contents: &[&[u8]]) -> Bytes {
        let mut body = vec![0; PAGE_HEADER_BYTES];
        for it in contents {
            body.extend((it.len() as u32).to_be_bytes());
            body.extend(*it);
        }
        body.into()
    }

    #[gtest]
    fn page_is_decoded() {
        let position = |offset| StorePosition { era: StoreEra(3), offset: LogOffset(offset) };
        let read = decode_page(page(&[b"\x01ab", b"\x02xy"]), position(7)).unwrap();
        let record = |key: &str, value: Option<&'static [u8]>, offset| KeyedRecord {
            key: key.into(),
            value: value.map(Bytes::from_static),
            offset: LogOffset(offset),
        };
        let records = vec![record("a", Some(b"b"), 7), record("xy", None, 8)];
        assert_that!(read, eq(&KeyedRead::Records(records, position(9))));
    }

    #[gtest]
    fn truncated_page_is_rejected() {
        let mut body = page(&[b"\x01ab"]);
        body.truncate(body.len() - 1);
        assert_that!(decode_page(body, StorePosition::default()), err(anything()));
    }

    #[gtest]
    fn malformed_records_are_decoded_leniently() {
        assert_that!(decode_record(Bytes::new(), LogOffset(0)).value, none());
        assert_that!(decode_record(Bytes::from_static(b"\xffab"), LogOffset(0)).key, eq("ab"));
    }
}
