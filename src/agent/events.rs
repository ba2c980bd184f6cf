//! Splitting a body of server-sent events into whole events.

use bytes::{Bytes, BytesMut};

/// Data of the event that ends a stream.
const END_DATA: &[u8] = b"data: [DONE]";
/// What separates two events.
const SEPARATOR: &[u8] = b"\n\n";

/// Collects bytes and gives out whole events.
///
/// A stream is whole once its last event is `[DONE]`; nothing after that is looked at.
#[derive(Debug, Default)]
pub(super) struct EventSplitter {
    pending: BytesMut,
    done: bool,
}

/// One or more whole events.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct EventBatch {
    /// Events that carry tokens: all but the one that ends the stream and comments.
    pub(super) tokens: u32,
    /// The events as they came.
    pub(super) bytes: Bytes,
}

impl EventSplitter {
    /// Adds bytes and gives the events that are whole now, if any.
    pub(super) fn push(&mut self, bytes: &[u8]) -> Option<EventBatch> {
        if self.done {
            return None;
        }
        self.pending.extend_from_slice(bytes);
        let mut taken = 0;
        let mut tokens = 0;
        while let Some(length) = find(&self.pending[taken..], SEPARATOR) {
            let event = &self.pending[taken..taken + length];
            taken += length + SEPARATOR.len();
            if event.starts_with(END_DATA) {
                self.done = true;
                break;
            }
            if event.starts_with(b"data:") {
                tokens += 1;
            }
        }
        if taken == 0 {
            return None;
        }
        Some(EventBatch { tokens, bytes: self.pending.split_to(taken).freeze() })
    }

    /// Whether the stream came to its end.
    pub(super) fn is_done(&self) -> bool {
        self.done
    }

    /// Bytes that wait for the rest of their event.
    pub(super) fn pending_bytes(&self) -> usize {
        self.pending.len()
    }
}

fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
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
        fn any_cut_gives_same_events(cuts in proptest::collection::vec(1_usize..9, 1..40)) {
            let whole = b"data: one\n\n: note\n\ndata: two\n\ndata: [DONE]\n\n".as_slice();
            let mut splitter = EventSplitter::default();
            let (mut rest, mut tokens, mut bytes) = (whole, 0, Vec::new());
            for cut in cuts.into_iter().cycle() {
                let (part, tail) = rest.split_at(cut.min(rest.len()));
                rest = tail;
                if let Some(batch) = splitter.push(part) {
                    tokens += batch.tokens;
                    bytes.extend_from_slice(&batch.bytes);
                }
                if rest.is_empty() {
                    break;
                }
            }
            prop_assert_eq!(tokens, 2);
            prop_assert_eq!(bytes.as_slice(), whole);
            prop_assert!(splitter.is_done());
        }
    }
}
