//! Makes one spool of two after an upgrade.

use crate::notifications::Notification;
use log::{info, warn};
use mountshift::interface::MessageId;
use mountshift_handover::Side;
use mountshift_spool::{FinalOutcome, Spool, StoredMessage};
use std::path::Path;

/// Makes the owner's spool one with what a taker took in beside it, in the order in which all was taken on,
/// before any number of it is used. What does not fit ends by a notice. The taker's spool is gone after.
pub(crate) fn merge_successor_spool(
    spool: &mut Spool,
    next: Spool,
    next_dir: &Path,
    notices: &async_channel::Sender<Notification>,
) -> Result<(), String> {
    let (owner, taker): (Vec<StoredMessage>, Vec<StoredMessage>) =
        (spool.messages().values().cloned().collect(), next.messages().values().cloned().collect());
    fn times(side: &[StoredMessage]) -> Vec<(&[u8], u64)> {
        side.iter().map(|k| (&k.accepted.id[..], k.accepted.accepted_at_us)).collect()
    }
    let order = mountshift_handover::merge(&times(&owner), &times(&taker));
    let merged = order
        .iter()
        .map(|(side, i)| if *side == Side::Active { owner[*i].clone() } else { taker[*i].clone() });
    let left = spool.replace_all(merged.collect()).map_err(|e| format!("spool: {e}"))?;
    for kept in left {
        warn!(
            "spool: no room for message {} of the process before; it ends as failed",
            String::from_utf8_lossy(&kept.accepted.id)
        );
        let _ = notices.try_send(Notification {
            message: MessageId(u64::MAX),
            id: kept.accepted.id,
            outcome: FinalOutcome::Failed,
        });
    }
    info!("took over {} messages taken in beside the owner", taker.len());
    drop(next);
    let path = next_dir.join(mountshift_spool::FILE_NAME);
    std::fs::remove_file(&path).map_err(|e| format!("{}: {e}", path.display()))
}
