//! Splits a stream of server-sent events into complete events.

use bytes::{Bytes, BytesMut};
use smol_str::SmolStr;

/// Maximum size of an event; the attempt counts as lost if a server sends a larger one.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Length of the longest empty line that ends an event, with the end of the line before.
const MAX_EVENT_END: usize = 4;

/// One complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct StreamEvent {
    /// Bytes of the event, including the empty line at its end.
    pub(super) bytes: Bytes,
    /// Value of the `id` field; `None` if there is none or it is not UTF-8.
    pub(super) id: Option<SmolStr>,
}

/// Buffers the bytes of a stream and splits off complete events.
#[derive(Debug, Default)]
pub(super) struct SseSplitter {
    buffer: BytesMut,
    /// Number of bytes at the start of the buffer in which no event ends.
    searched: usize,
}

impl SseSplitter {
    /// Appends received bytes.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event, or `None` if there is none yet.
    pub(super) fn next_event(&mut self) -> Option<StreamEvent> {
        // The end may begin in the last bytes that were searched.
        let from = self.searched.saturating_sub(MAX_EVENT_END - 1);
        let Some(end) = event_end(&self.buffer[from..]).map(|it| from + it) else {
            self.searched = self.buffer.len();
            return None;
        };
        self.searched = 0;
        let bytes = self.buffer.split_to(end).freeze();
        let id = event_id(&bytes);
        Some(StreamEvent { bytes, id })
    }

    /// Whether the buffer holds a part of an event, once all complete ones are removed.
    pub(super) fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Whether the buffered bytes exceed the largest accepted event.
    pub(super) fn is_oversized(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }
}

fn event_end(buffer: &[u8]) -> Option<usize> {
    let lf_end = buffer.windows(2).position(|it| it == b"\n\n").map(|it| it + 2);
    let crlf_end = buffer.windows(4).position(|it| it == b"\r\n\r\n").map(|it| it + 4);
    match (lf_end, crlf_end) {
        (Some(lf_end), Some(crlf_end)) => Some(lf_end.min(crlf_end)),
        (one, other) => one.or(other),
    }
}

fn event_id(event: &[u8]) -> Option<SmolStr> {
    let line = event.split(|it| *it == b'\n').find_map(|it| it.strip_prefix(b"id:"))?;
    let text = std::str::from_utf8(line).ok()?;
    Some(text.trim().into())
}

/// Whether the caller has this event already: its numeric id is not above that of the last event.
/// `false` if either id is missing or not a number.
pub(super) fn is_repeated(id: Option<&str>, last: Option<&str>) -> bool {
    let number = |it: Option<&str>| it.and_then(|it| it.parse::<u64>().ok());
    match (number(id), number(last)) {
        (Some(id), Some(last)) => id <= last,
        (None, _) | (_, None) => false,
    }
}

#[cfg(test)]
mod tests {
    use googletest::prelude::*;

    use super::*;

    #[gtest]
    fn only_complete_events_are_returned() {
        let mut splitter = SseSplitter::default();
        splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");
        let first = splitter.next_event().unwrap();
        assert_that!(first.id.as_deref(), some(eq("1")));
        assert_that!(first.bytes.as_ref(), eq(b"id: 1\ndata: a\n\n".as_slice()));
        assert_that!(splitter.next_event(), none());
        assert_that!(splitter.has_partial(), eq(true));
        splitter.push(b"ta: b\n\n");
        assert_that!(splitter.next_event().and_then(|it| it.id).as_deref(), some(eq("2")));
        assert_that!(splitter.has_partial(), eq(false));
    }

    #[gtest]
    fn ends_that_arrive_in_pieces_are_found() {
        for end in ["\n\n", "\r\n\r\n"] {
            let mut splitter = SseSplitter::default();
            let text = format!("id: 1{end}");
            for byte in text.bytes() {
                assert_that!(splitter.next_event(), none());
                splitter.push(&[byte]);
            }
            let event = splitter.next_event().unwrap();
            assert_that!(event.bytes.as_ref(), eq(text.as_bytes()));
            splitter.push(format!("id: 2{end}x").as_bytes());
            assert_that!(splitter.next_event().and_then(|it| it.id).as_deref(), some(eq("2")));
            assert_that!(splitter.has_partial(), eq(true));
        }
    }

    #[gtest]
    fn repeated_events_are_detected() {
        assert_that!(is_repeated(Some("3"), Some("3")), eq(true));
        assert_that!(is_repeated(Some("4"), Some("3")), eq(false));
        assert_that!(is_repeated(None, Some("3")), eq(false));
    }
}
