//! Merges the spools of two processes.

use std::collections::BTreeSet;

/// The spool that a message comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpoolOwner {
    /// The spool of the active process.
    Active,
    /// The spool of the successor.
    Successor,
}

/// Returns the merged order of two spools, as pairs of owner and index in that owner's spool.
///
/// Each spool lists its messages as id and time of acceptance, in its own order. Messages are merged by time
/// of acceptance; at a tie the active process's message is first. Clients submit the messages of one key one
/// after another, each once the previous one was accepted, so the merge keeps the order of every key. A
/// successor's message whose id the active process also has is omitted: the active process's message is kept.
pub fn merge(active: &[(&[u8], u64)], successor: &[(&[u8], u64)]) -> Vec<(SpoolOwner, usize)> {
    let active_ids: BTreeSet<&[u8]> = active.iter().map(|(id, _)| *id).collect();
    let new: Vec<usize> =
        (0..successor.len()).filter(|index| !active_ids.contains(successor[*index].0)).collect();
    let mut order = Vec::with_capacity(active.len() + new.len());
    let mut next_active = 0;
    let mut next_new = 0;
    while next_active < active.len() || next_new < new.len() {
        let active_is_next = match (active.get(next_active), new.get(next_new)) {
            (Some((_, accepted_at)), Some(index)) => *accepted_at <= successor[*index].1,
            (Some(_), None) => true,
            (None, _) => false,
        };
        if active_is_next {
            order.push((SpoolOwner::Active, next_active));
            next_active += 1;
        } else {
            order.push((SpoolOwner::Successor, new[next_new]));
            next_new += 1;
        }
    }
    order
}
