use super::*;

fn entry(id: &str, destination: u32, phase: Phase) -> EndpointEntry {
    EndpointEntry {
        id: id.into(),
        address: ([127, 0, 0, 1], 80).into(),
        zone: "north".into(),
        kind: "single".into(),
        destination,
        phase,
        rate: 1.0,
        up_since_ms: 0,
    }
}

/// Returns which of the destinations 1 to 4 are known.
fn known(table: &EndpointTable) -> Vec<u32> {
    (1..=4).filter(|number| table.has_destination(DestinationId(*number))).collect()
}

#[test]
fn a_destination_is_known_while_it_has_an_endpoint_or_one_in_maintenance() {
    let mut table = EndpointTable::default();
    let first = table.update(&entry("e1", 1, Phase::Ready)).endpoint;
    let second = table.update(&entry("e2", 1, Phase::Ready)).endpoint;
    let third = table.update(&entry("e3", 2, Phase::Ready)).endpoint;
    table.update(&entry("e1", 1, Phase::Draining));
    assert_eq!(known(&table), [1, 2]);
    table.forget(first, false);
    assert_eq!(known(&table), [1, 2]);
    table.forget(second, false);
    assert_eq!(known(&table), [2]);
    table.forget(third, true);
    assert_eq!(known(&table), [2], "it is in maintenance");
    let back = table.restore_from_maintenance("e3").expect("known");
    assert_eq!(known(&table), [2]);
    table.forget(back, true);
    let listed = table.update(&entry("e3", 2, Phase::Ready)).endpoint;
    table.forget(listed, false);
    assert!(known(&table).is_empty());
}

#[test]
fn an_entry_with_another_destination_gets_a_new_endpoint_id() {
    let mut table = EndpointTable::default();
    let old = table.update(&entry("e1", 1, Phase::Ready)).endpoint;
    assert_eq!(table.retire_replaced_endpoint(&entry("e1", 1, Phase::Draining)), None);
    assert_eq!(table.retire_replaced_endpoint(&entry("e1", 3, Phase::Ready)), Some(old));
    let new = table.update(&entry("e1", 3, Phase::Ready)).endpoint;
    assert_ne!(new, old);
    assert_eq!(known(&table), [1, 3]);
    table.forget(old, false);
    assert_eq!((known(&table), table.id_of("e1")), (vec![3], Some(new)));
}

/// Returns the status of the endpoint of this name.
fn status(table: &EndpointTable, name: &str) -> Option<EndpointStatus> {
    Some(table.get(table.id_of(name)?)?.status)
}

// Guards against an endpoint that is put back as last listed although a full list left it out meanwhile.
#[test]
fn an_endpoint_missing_from_a_full_list_is_removed_also_in_maintenance() {
    let mut table = EndpointTable::default();
    let entries = ["e1", "e2", "e3"].map(|id| entry(id, 1, Phase::Ready));
    for listed in &entries {
        table.update(listed);
    }
    let forgotten = table.id_of("e3").expect("known");
    table.forget(forgotten, true);
    table.remove_absent(&entries[..1]);
    assert_eq!(status(&table, "e1"), Some(EndpointStatus::Ready));
    assert_eq!(status(&table, "e2"), Some(EndpointStatus::Removed));
    table.restore_from_maintenance("e3").expect("known");
    assert_eq!(status(&table, "e3"), Some(EndpointStatus::Removed));
    table.update(&entries[2]);
    assert_eq!(status(&table, "e3"), Some(EndpointStatus::Ready), "it is listed again");
}
