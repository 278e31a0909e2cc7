use super::*;

#[test]
fn marker_is_effective_only_while_its_process_holds_the_lock() {
    let dir = tempfile::tempdir().expect("a folder");
    let (active, successor) = (HandoverMarker::new(dir.path()), HandoverMarker::new(dir.path()));
    assert_eq!(successor.writer(), None);
    active.write("process-1");
    assert_eq!(successor.writer().as_deref(), Some("process-1"));
    // Dropping the marker closes its file, like the exit of the process.
    drop(active);
    assert!(dir.path().join(HANDING_OVER_FILE).exists());
    assert_eq!(successor.writer(), None);
    successor.write("process-2");
    assert_eq!(HandoverMarker::new(dir.path()).writer().as_deref(), Some("process-2"));
}

#[test]
fn failed_write_of_the_marker_is_pending_until_a_retry_succeeds() {
    let dir = tempfile::tempdir().expect("a folder");
    let marker = HandoverMarker::new(dir.path());
    let blocking_dir = dir.path().join("handing-over.new");
    std::fs::create_dir(&blocking_dir).expect("a folder");
    marker.write("process-1");
    assert!(marker.is_pending() && marker.writer().is_none());
    std::fs::remove_dir(&blocking_dir).expect("no folder");
    marker.write("process-1");
    assert!(!marker.is_pending() && marker.writer().is_some());
}
