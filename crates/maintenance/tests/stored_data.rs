//! The maintenance file that the version before (commit 64fb5b4) left is read, and written as it would.

use mountshift_maintenance::{AdminRequest, MaintenanceState};
use std::time::Duration;

const TEXT: &str = include_str!("../../relay/tests/fixtures/64fb5b4/maintenance");

#[test]
fn the_maintenance_file_of_the_version_before_is_read_and_written_alike() {
    let mut maintenance = MaintenanceState::from_text(TEXT);
    assert!(maintenance.is_in_maintenance("e12-maintenance") && !maintenance.is_in_maintenance("e12"));
    assert_eq!(maintenance.to_text(), TEXT);
    // A successor that read the file has nothing to change.
    assert!(!maintenance.reload(TEXT));
    // Its endpoint is known before any list came, so that it can be put back.
    let (answer, _) = maintenance.handle(AdminRequest::Exit("e12-maintenance".into()), Duration::ZERO);
    assert_eq!((answer.code, maintenance.is_in_maintenance("e12-maintenance")), (200, false));
}
