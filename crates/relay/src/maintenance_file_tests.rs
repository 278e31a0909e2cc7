use super::*;
use crate::state_files::TEMPORARY_EXTENSION;

fn out(id: &str) -> Change {
    Change::EndpointOut(id.into())
}

#[test]
fn processes_keep_each_others_changes() {
    let dir = tempfile::tempdir().expect("create the folder");
    let (active, successor) = (MaintenanceFile::new(dir.path()), MaintenanceFile::new(dir.path()));
    active.record(out("e1"));
    successor.record(out("e2"));
    active.record(Change::EndpointBack("e1".into()));
    assert_eq!(successor.text().expect("a text"), "e2\n");
    assert!(!active.is_pending() && !successor.is_pending());
}

// Guards against a process that waits for another one, and against a change that is lost because it could not be written.
#[test]
fn change_is_pending_while_the_other_process_holds_the_lock_or_the_file_cannot_be_written() {
    let dir = tempfile::tempdir().expect("create the folder");
    let file = MaintenanceFile::new(dir.path());
    let lock = File::create(dir.path().join(MAINTENANCE_LOCK_FILE)).expect("create the lock file");
    lock.lock().expect("lock the file");
    file.record(out("e1"));
    assert!(file.is_pending());
    assert_eq!(file.text().expect("a text"), "e1\n");
    drop(lock);
    // A folder in the place of the temporary file fails the write.
    let temporary = dir.path().join(MAINTENANCE_FILE).with_extension(TEMPORARY_EXTENSION);
    std::fs::create_dir(&temporary).expect("create a folder");
    file.record(out("e2"));
    assert!(file.is_pending());
    std::fs::write(dir.path().join(MAINTENANCE_FILE), "e3\n").expect("write the file");
    std::fs::remove_dir(&temporary).expect("remove the folder");
    file.write_pending();
    assert!(!file.is_pending());
    let stored = std::fs::read_to_string(dir.path().join(MAINTENANCE_FILE)).expect("read the file");
    assert_eq!(stored, "e1\ne2\ne3\n");
}
