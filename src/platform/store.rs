//! Client of the platform's metadata store: partitioned logs over HTTP. Keyed logs are compacted,
//! that is, they retain at least the newest record of each key.
//!
//! The client only reads; operators and backend servers write.

use std::{net::SocketAddr, time::Duration};

use base64::{Engine, prelude::BASE64_STANDARD};
use bytes::{Buf, Bytes};
use serde::Deserialize;
use smol_str::SmolStr;
use volo_http::client::Client;

use super::{PlatformError, fetch, get_json};
use crate::units::LogOffset;

/// Timeout of one request to the store; a long poll adds its wait. It is below the shortest time
/// within which a change must reach the gateways.
const STORE_TIMEOUT: Duration = Duration::from_millis(900);
/// Size of the header of a page, which holds two offsets.
const PAGE_HEADER_BYTES: usize = 16;

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
}

/// Result of reading records from an offset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyedRead {
    /// Records from the requested offset in order, and the offset to read next.
    Records(Vec<KeyedRecord>, LogOffset),
    /// Records at the requested offset have expired: call [`StoreClient::read_newest`].
    Expired,
}

/// HTTP client of the store.
#[derive(Clone)]
pub struct StoreClient {
    client: Client,
    address: SocketAddr,
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
}

impl StoreClient {
    /// Creates a client of the store at `address`. It connects with its first request.
    ///
    /// # Errors
    ///
    /// The HTTP client cannot be built.
    pub fn new(address: SocketAddr) -> Result<Self, PlatformError> {
        let client = Client::builder().build().map_err(PlatformError::Client)?;
        Ok(Self { client, address })
    }

    /// Reads the newest record of each key, and returns them with the offset from which to read
    /// later changes.
    ///
    /// # Errors
    ///
    /// The store is unreachable, times out, or responds with an error.
    pub async fn read_newest(
        &self,
        stream: KeyedStream,
    ) -> Result<(Vec<KeyedRecord>, LogOffset), PlatformError> {
        let topic = stream.topic();
        let base = format!("http://{}/v1/log-newest?topic={topic}&part=0", self.address);
        let mut page: NewestPage = get_json(&self.client, base.clone(), STORE_TIMEOUT).await?;
        // The pages are not one consistent snapshot, so reading resumes from the end offset of the
        // first page, which repeats the changes made since.
        let end = page.end;
        let mut records = Vec::new();
        loop {
            let last = page.items.last().map(|it| it.key.clone());
            records.extend(page.items.into_iter().map(decode_item));
            let Some(last) = last.filter(|_| page.has_more) else { return Ok((records, end)) };
            let uri = format!("{base}&after={last}");
            page = get_json(&self.client, uri, STORE_TIMEOUT).await?;
        }
    }

    /// Reads records from offset `from`. A long poll: waits up to `wait` if there are none yet.
    ///
    /// # Errors
    ///
    /// The store is unreachable, times out, or responds with an error.
    pub async fn read(
        &self,
        stream: KeyedStream,
        from: LogOffset,
        wait: Duration,
    ) -> Result<KeyedRead, PlatformError> {
        let (address, topic, wait_ms) = (self.address, stream.topic(), wait.as_millis());
        let uri = format!(
            "http://{address}/v1/log-read?topic={topic}&part=0&range-start={from}&wait-ms={wait_ms}"
        );
        let (parts, body) = fetch(self.client.get(uri), STORE_TIMEOUT + wait).await?;
        match parts.status {
            http::StatusCode::OK => decode_page(body, from),
            http::StatusCode::GONE => Ok(KeyedRead::Expired),
            status => Err(PlatformError::Status(status.as_u16())),
        }
    }
}

/// Decodes the base64 value. An invalid or empty value becomes `None`, as in a tombstone.
fn decode_item(item: NewestItem) -> KeyedRecord {
    let value = BASE64_STANDARD.decode(item.value.as_bytes());
    if let Err(error) = &value {
        log::warn!(key:% = item.key, error:% = error; "store record has an invalid base64 value");
    }
    KeyedRecord { key: item.key, value: value.ok().filter(|it| !it.is_empty()).map(Bytes::from) }
}

/// Decodes a page: a header, then records that each follow their length as a big-endian `u32`.
fn decode_page(mut body: Bytes, from: LogOffset) -> Result<KeyedRead, PlatformError> {
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
        records.push(decode_record(body.split_to(length)));
    }
    let next = LogOffset(from.0 + records.len() as u64);
    Ok(KeyedRead::Records(records, next))
}

/// Decodes a record: the length of its key in one byte, the key, and the value.
fn decode_record(mut content: Bytes) -> KeyedRecord {
    if content.is_empty() {
        return KeyedRecord { key: SmolStr::default(), value: None };
    }
    let length = usize::from(content.get_u8()).min(content.len());
    let key = String::from_utf8_lossy(&content.split_to(length)).into();
    KeyedRecord { key, value: (!content.is_empty()).then_some(content) }
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
        let read = decode_page(page(&[b"\x01ab", b"\x02xy"]), LogOffset(7)).unwrap();
        let record = |key: &str, value: Option<&'static [u8]>| KeyedRecord {
            key: key.into(),
            value: value.map(Bytes::from_static),
        };
        let records = vec![record("a", Some(b"b")), record("xy", None)];
        assert_that!(read, eq(&KeyedRead::Records(records, LogOffset(9))));
    }

    #[gtest]
    fn truncated_page_is_rejected() {
        let mut body = page(&[b"\x01ab"]);
        body.truncate(body.len() - 1);
        assert_that!(decode_page(body, LogOffset(0)), err(anything()));
    }

    #[gtest]
    fn malformed_records_are_decoded_leniently() {
        assert_that!(decode_record(Bytes::new()).value, none());
        assert_that!(decode_record(Bytes::from_static(b"\xffab")).key, eq("ab"));
    }
}
