use super::*;

#[test]
fn a_marker_says_something_while_its_process_holds_it() {
    let dir = tempfile::tempdir().expect("a folder");
    let (active, beside) = (HandoverMarker::new(dir.path()), HandoverMarker::new(dir.path()));
    assert_eq!(beside.raised_by(), None);
    active.raise("process-1");
    assert_eq!(beside.raised_by().as_deref(), Some("process-1"));
    // The process has ended: its descriptors are closed.
    drop(active);
    assert!(dir.path().join(HANDING_OVER_FILE).exists());
    assert_eq!(beside.raised_by(), None);
    beside.raise("process-2");
    assert_eq!(HandoverMarker::new(dir.path()).raised_by().as_deref(), Some("process-2"));
}

#[test]
fn a_marker_that_cannot_be_written_is_raised_once_it_can() {
    let dir = tempfile::tempdir().expect("a folder");
    let marker = HandoverMarker::new(dir.path());
    let in_the_way = dir.path().join("handing-over.new");
    std::fs::create_dir(&in_the_way).expect("a folder");
    marker.raise("process-1");
    assert!(marker.is_pending() && marker.raised_by().is_none());
    std::fs::remove_dir(&in_the_way).expect("no folder");
    marker.raise("process-1");
    assert!(!marker.is_pending() && marker.raised_by().is_some());
}
