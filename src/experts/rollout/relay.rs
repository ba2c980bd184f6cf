//! Distribution of a long message to all ranks of a group over a tree, so that no link carries more
//! than a few copies of it.

/// Number of ranks to which each rank forwards the message.
const FAN_OUT: u16 = 4;

/// Returns the ranks to which `rank` forwards a message that starts at rank 0.
///
/// Every other rank of the group receives the message from exactly one rank.
///
/// ```
/// use alderbay::experts::relay_children;
/// assert_eq!(relay_children(0, 8), [1, 2, 3, 4]);
/// assert_eq!(relay_children(1, 8), [5, 6, 7]);
/// assert!(relay_children(2, 8).is_empty());
/// ```
pub fn relay_children(rank: u16, group_size: u16) -> Vec<u16> {
    let first = u32::from(rank) * u32::from(FAN_OUT) + 1;
    let last = (first + u32::from(FAN_OUT)).min(u32::from(group_size));
    (first..last).filter_map(|it| u16::try_from(it).ok()).collect()
}
