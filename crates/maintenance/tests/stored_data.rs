//! Compatibility with the maintenance file of the previous version (commit 64fb5b4), in both directions.

use mountshift_maintenance::{AdminRequest, MaintenanceState};
use std::time::Duration;

const TEXT: &str = include_str!("../../relay/tests/fixtures/64fb5b4/maintenance");

#[test]
fn reads_and_writes_the_maintenance_file_as_the_previous_version() {
    let mut maintenance = MaintenanceState::from_text(TEXT);
    assert!(maintenance.is_in_maintenance("e12-maintenance") && !maintenance.is_in_maintenance("e12"));
    assert_eq!(maintenance.to_text(), TEXT);
    // The same file changes nothing.
    assert_eq!(maintenance.follow(TEXT), []);
    // The endpoint is known before the first list arrives, so its maintenance can end.
    let (answer, _) = maintenance.handle(AdminRequest::Exit("e12-maintenance".into()), Duration::ZERO);
    assert_eq!((answer.code, maintenance.is_in_maintenance("e12-maintenance")), (200, false));
}
