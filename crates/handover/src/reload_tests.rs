use super::*;

fn reload(port: u16, read_at_ms: u64) -> Reload {
    Reload { discovery: SocketAddr::from(([127, 0, 0, 1], port)), read_at: Duration::from_millis(read_at_ms) }
}

fn started(is_successor: bool, published: Option<Reload>) -> ReloadState {
    ReloadState::at_start(reload(1, 100_000), is_successor, published, Duration::from_millis(100_500))
}

#[test]
fn reload_is_read_back_from_its_text() {
    let stored = reload(8_080, 12_345);
    assert_eq!(Reload::from_text(&stored.to_string()), Some(stored));
    let with_nanoseconds =
        Reload::new("[::1]:80".parse().expect("an address"), Duration::new(7, 123_456_789));
    assert_eq!(Reload::from_text(&with_nanoseconds.to_string()), Some(with_nanoseconds));
    for text in ["", "mountshift-reload-1", "mountshift-reload-2 5 127.0.0.1:80", "mountshift-reload-1 x y"] {
        assert_eq!(Reload::from_text(text), None, "{text}");
    }
}

#[test]
fn later_reload_counts_whichever_process_read_it() {
    let (mut active, mut successor) = (started(false, None), started(true, None));
    let (first, second) = (reload(2, 101_000), reload(3, 102_000));
    active.record(first);
    assert_eq!(successor.compare(Some(first)), ReloadStep::Follow(first));
    assert_eq!(successor.compare(Some(first)), ReloadStep::Keep);
    // Both processes reload, and the earlier reload is written last.
    successor.record(second);
    assert_eq!(active.compare(Some(first)), ReloadStep::Keep);
    assert_eq!(successor.compare(Some(first)), ReloadStep::Publish(second));
    assert_eq!(active.compare(Some(second)), ReloadStep::Follow(second));
    assert_eq!((active.discovery(), successor.discovery()), (second.discovery, second.discovery));
}

#[test]
fn reload_that_could_not_be_published_is_published_later() {
    let mut state = started(false, None);
    assert_eq!(state.compare(None), ReloadStep::Keep);
    state.record(reload(2, 101_000));
    assert_eq!(state.compare(None), ReloadStep::Publish(reload(2, 101_000)));
}

// The configuration of a successor may be a moment older than its start; any other process is started with the current one.
#[test]
fn only_a_successor_follows_a_reload_from_right_before_its_start() {
    let (recent, old) = (reload(2, 99_500), reload(2, 98_500));
    let meanwhile = reload(2, 100_200);
    assert_eq!(started(true, Some(meanwhile)).compare(Some(meanwhile)), ReloadStep::Follow(meanwhile));
    assert_eq!(started(true, Some(recent)).compare(Some(recent)), ReloadStep::Follow(recent));
    assert_eq!(started(true, Some(old)).compare(Some(old)), ReloadStep::Keep);
    assert_eq!(started(false, Some(recent)).compare(Some(recent)), ReloadStep::Keep);
}

// The monotonic clock of the machine begins anew when the machine restarts.
#[test]
fn reload_from_before_a_restart_of_the_machine_is_ignored() {
    let leftover = reload(2, 7_000_000);
    for is_successor in [false, true] {
        assert_eq!(started(is_successor, Some(leftover)).compare(Some(leftover)), ReloadStep::Keep);
    }
}
