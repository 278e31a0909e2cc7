use super::*;
use crate::fault_kind::FaultKind;

fn plan(amount: i64) -> MaintenancePlan {
    let fault =
        ScheduledFault { kind: FaultKind::Maintenance, at_ms: 0, for_ms: 0, targets: vec![0], amount };
    MaintenancePlan::of(&fault, 3)
}

#[test]
fn drawn_number_selects_endpoint_list_change_and_repetition() {
    let expected =
        |endpoint, list_change, is_repeated| MaintenancePlan { endpoint, list_change, is_repeated };
    assert_eq!(plan(0), expected(0, ListChange::None, false));
    assert_eq!(plan(2 + 3), expected(2, ListChange::LeavesInMaintenance, false));
    assert_eq!(plan(1 + 3 * 2 + 12), expected(1, ListChange::LeavesBefore, true));
    assert_eq!(plan(3 * 3 + 24), expected(0, ListChange::ReturnsInMaintenance, false));
}
