//! Two spools in one order.

/// Which spool a message comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    Active,
    Successor,
}

/// The order of one spool made of two: each side's messages `(id, taken at)` in their own order, merged
/// by the time they were taken on, the owner's first at a tie. Messages of one key are handed in one after
/// another, each once the one before was taken on, so this keeps every key's order. A taker's message whose
/// id the owner holds already is left out: the one that came first stands.
pub fn merge(owner: &[(&[u8], u64)], taker: &[(&[u8], u64)]) -> Vec<(Side, usize)> {
    let held: std::collections::BTreeSet<&[u8]> = owner.iter().map(|(id, _)| *id).collect();
    let taker: Vec<(usize, u64)> =
        taker.iter().enumerate().filter(|(_, (id, _))| !held.contains(id)).map(|(i, m)| (i, m.1)).collect();
    let (mut o, mut t, mut order) = (0, 0, Vec::with_capacity(owner.len() + taker.len()));
    while o < owner.len() || t < taker.len() {
        if t == taker.len() || (o < owner.len() && owner[o].1 <= taker[t].1) {
            order.push((Side::Active, o));
            o += 1;
        } else {
            order.push((Side::Successor, taker[t].0));
            t += 1;
        }
    }
    order
}
