//! Splits a stream of server-sent events at event boundaries.

use bytes::{Bytes, BytesMut};

/// Start of the event that marks the end of a stream.
const DONE_EVENT: &[u8] = b"data: [DONE]";
/// Bytes that end an event.
const SEPARATOR: &[u8] = b"\n\n";

/// Buffers received bytes until they form whole events.
///
/// A stream is complete at its `[DONE]` event; bytes after it are dropped.
#[derive(Debug, Default)]
pub(super) struct EventSplitter {
    pending: BytesMut,
    is_done: bool,
}

/// One or more complete events.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct EventBatch {
    /// Number of events that carry tokens, which excludes comments and `[DONE]`.
    pub(super) tokens: u32,
    /// The events, unchanged.
    pub(super) bytes: Bytes,
}

impl EventSplitter {
    /// Adds bytes and returns the events that are now complete, or `None` if there are none.
    pub(super) fn push(&mut self, bytes: &[u8]) -> Option<EventBatch> {
        if self.is_done {
            return None;
        }
        self.pending.extend_from_slice(bytes);
        let mut consumed = 0;
        let mut tokens = 0;
        while let Some(event_len) = find_bytes(&self.pending[consumed..], SEPARATOR) {
            let event = &self.pending[consumed..consumed + event_len];
            consumed += event_len + SEPARATOR.len();
            if event.starts_with(DONE_EVENT) {
                self.is_done = true;
                break;
            }
            if event.starts_with(b"data:") {
                tokens += 1;
            }
        }
        if consumed == 0 {
            return None;
        }
        Some(EventBatch { tokens, bytes: self.pending.split_to(consumed).freeze() })
    }

    /// Returns whether the `[DONE]` event has been seen.
    pub(super) fn is_done(&self) -> bool {
        self.is_done
    }

    /// Returns the number of buffered bytes of an incomplete event.
    pub(super) fn pending_len(&self) -> usize {
        self.pending.len()
    }
}

fn find_bytes(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack.windows(needle.len()).position(|it| it == needle)
}

#[cfg(test)]
mod tests {
    use googletest::prelude::*;
    use proptest::prelude::*;

    use super::*;

    #[gtest]
    fn ends_at_done() {
        let mut splitter = EventSplitter::default();
        let batch = splitter.push(b"data: a\n\ndata: [DONE]\n\nrest").unwrap();
        assert_that!(batch.tokens, eq(1));
        assert_that!(&batch.bytes[..], eq(b"data: a\n\ndata: [DONE]\n\n".as_slice()));
        assert_that!(splitter.is_done(), eq(true));
        assert_that!(splitter.push(b"data: late\n\n"), none());
    }

    proptest! {
        #[test]
        fn any_split_gives_same_events(cuts in proptest::collection::vec(1_usize..9, 1..40)) {
            let input = b"data: one\n\n: note\n\ndata: two\n\ndata: [DONE]\n\n".as_slice();
            let mut splitter = EventSplitter::default();
            let (mut rest, mut tokens, mut bytes) = (input, 0, Vec::new());
            for cut in cuts.into_iter().cycle() {
                let (chunk, tail) = rest.split_at(cut.min(rest.len()));
                rest = tail;
                if let Some(batch) = splitter.push(chunk) {
                    tokens += batch.tokens;
                    bytes.extend_from_slice(&batch.bytes);
                }
                if rest.is_empty() {
                    break;
                }
            }
            prop_assert_eq!(tokens, 2);
            prop_assert_eq!(bytes.as_slice(), input);
            prop_assert!(splitter.is_done());
        }
    }
}
