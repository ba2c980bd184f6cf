//! Inputs that answers have shown to be harmless.

use std::collections::HashMap;

use super::{EXCUSE_TTL, EvidenceTime};
use crate::units::InputDigest;

/// Number of parts, and of requests, remembered as harmless, twice: of the present and of the last
/// generation.
const MAX_HARMLESS_INPUTS: usize = 4_096;

/// Inputs of requests whose answers went on, with the latest time. Two generations bound the memory.
#[derive(Clone, Debug, Default)]
pub(super) struct HarmlessInputs {
    current: HashMap<InputDigest, EvidenceTime>,
    last: HashMap<InputDigest, EvidenceTime>,
}

impl HarmlessInputs {
    pub(super) fn insert(&mut self, input: InputDigest, at: EvidenceTime) {
        if self.current.len() >= MAX_HARMLESS_INPUTS && !self.current.contains_key(&input) {
            self.last = std::mem::take(&mut self.current);
        }
        self.current.insert(input, at);
    }

    /// Whether an answer with the input went on after, or not long before, a time.
    pub(super) fn excuses(&self, input: InputDigest, at: EvidenceTime) -> bool {
        let known = self.current.get(&input).or_else(|| self.last.get(&input));
        known.is_some_and(|it| it.after(EXCUSE_TTL) > at)
    }
}
