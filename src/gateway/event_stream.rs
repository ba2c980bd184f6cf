//! Cutting a stream of server-sent events into whole events.

use bytes::{Bytes, BytesMut};
use smol_str::SmolStr;

/// Largest event that is waited for.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One whole event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct StreamEvent {
    /// Its bytes, the empty line at its end included.
    pub(super) bytes: Bytes,
    /// Its id, where it has one.
    pub(super) id: Option<SmolStr>,
}

/// Bytes of a stream that are not a whole event yet.
#[derive(Debug, Default)]
pub(super) struct EventCutter {
    buffer: BytesMut,
}

impl EventCutter {
    /// Takes in bytes.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes out the next whole event.
    pub(super) fn next_event(&mut self) -> Option<StreamEvent> {
        let end = event_end(&self.buffer)?;
        let bytes = self.buffer.split_to(end).freeze();
        let id = event_id(&bytes);
        Some(StreamEvent { bytes, id })
    }

    /// Whether a part of an event is left.
    pub(super) fn has_rest(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Whether an event is longer than any that is waited for.
    pub(super) fn is_overlong(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }
}

fn event_end(buffer: &[u8]) -> Option<usize> {
    let lf = buffer.windows(2).position(|it| it == b"\n\n").map(|it| it + 2);
    let crlf = buffer.windows(4).position(|it| it == b"\r\n\r\n").map(|it| it + 4);
    match (lf, crlf) {
        (Some(lf), Some(crlf)) => Some(lf.min(crlf)),
        (one, other) => one.or(other),
    }
}

fn event_id(event: &[u8]) -> Option<SmolStr> {
    let line = event.split(|it| *it == b'\n').find_map(|it| it.strip_prefix(b"id:"))?;
    let text = std::str::from_utf8(line).ok()?;
    Some(text.trim().into())
}

/// Whether an event repeats what the caller has: its number is not above the last one's.
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
    fn events_are_cut_whole() {
        let mut cutter = EventCutter::default();
        cutter.push(b"id: 1\ndata: a\n\nid: 2\nda");
        let first = cutter.next_event().unwrap();
        assert_that!(first.id.as_deref(), some(eq("1")));
        assert_that!(first.bytes.as_ref(), eq(b"id: 1\ndata: a\n\n".as_slice()));
        assert_that!(cutter.next_event(), none());
        assert_that!(cutter.has_rest(), eq(true));
        cutter.push(b"ta: b\n\n");
        assert_that!(cutter.next_event().and_then(|it| it.id).as_deref(), some(eq("2")));
        assert_that!(cutter.has_rest(), eq(false));
    }

    #[gtest]
    fn repeated_events_show() {
        assert_that!(is_repeated(Some("3"), Some("3")), eq(true));
        assert_that!(is_repeated(Some("4"), Some("3")), eq(false));
        assert_that!(is_repeated(None, Some("3")), eq(false));
    }
}
