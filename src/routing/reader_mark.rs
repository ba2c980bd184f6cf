//! How a gateway learns of changes of the operators' stream.
//!
//! Each call of the platform's store costs money, and a change must be in force everywhere within a
//! bound. The reader of a failure domain polls the stream. The others ask the reader for its
//! directory several times within the bound anyway, learn how far it has read, and read the store
//! only when there is something new. A reader that is silent, or that has not reached the store
//! lately, is not relied on.

use std::time::Duration;

use crate::units::{Moment, StorePosition};

/// How far the reader of a failure domain has read the operators' stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReaderMark {
    /// Position from which the reader reads later changes.
    pub position: StorePosition,
    /// Time of the reader's latest response from the store.
    pub read_at: Moment,
}

/// What a gateway does next about the operators' stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorStep {
    /// Wait for the next reply of the reader, which has read nothing new.
    AwaitReader,
    /// Read the store at once, since the reader has read changes.
    ReadChanges,
    /// Poll the store, as there is no reader to rely on.
    PollStore,
}

/// Decides what to do next, given the mark of the reader and the own position. `max_age` is the age
/// up to which a mark is relied on.
///
/// ```
/// use std::time::Duration;
/// use alderbay::{routing::{OperatorStep, ReaderMark, next_operator_step}, units::Moment};
/// let mark = ReaderMark { position: "0:7".parse()?, read_at: Moment(5) };
/// let step = |own| next_operator_step(Some(mark), own, Duration::from_secs(1), Moment(9));
/// assert_eq!(step(Some("0:7".parse()?)), OperatorStep::AwaitReader);
/// assert_eq!(step(Some("0:6".parse()?)), OperatorStep::ReadChanges);
/// # Ok::<(), alderbay::units::QuantityError>(())
/// ```
pub fn next_operator_step(
    mark: Option<ReaderMark>,
    own: Option<StorePosition>,
    max_age: Duration,
    now: Moment,
) -> OperatorStep {
    let Some(mark) = mark.filter(|it| now.since(it.read_at) <= max_age) else {
        return OperatorStep::PollStore;
    };
    match own {
        Some(own) if own >= mark.position => OperatorStep::AwaitReader,
        Some(_) | None => OperatorStep::ReadChanges,
    }
}
