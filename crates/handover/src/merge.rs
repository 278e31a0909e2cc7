//! Two spools merged into one.

use std::collections::BTreeSet;

/// Which spool a message comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpoolOwner {
    /// The active process's.
    Active,
    /// The successor's.
    Successor,
}

/// The order of one spool made of two, as sides and indexes in them. Each side gives its messages as id and time
/// of acceptance, in its own order; they are merged by these times, the active process's first at a tie. Messages
/// of one key are submitted one after another, each once the one before was accepted, so this keeps every key's
/// order. A successor's message whose id the active process holds already is left out: the one that came first
/// stands.
pub fn merge(active: &[(&[u8], u64)], successor: &[(&[u8], u64)]) -> Vec<(SpoolOwner, usize)> {
    let held: BTreeSet<&[u8]> = active.iter().map(|(id, _)| *id).collect();
    let new: Vec<usize> = (0..successor.len()).filter(|index| !held.contains(successor[*index].0)).collect();
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
