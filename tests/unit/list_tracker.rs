//! Tests the order of endpoint lists.
use super::*;

fn tracker(numbering: u64, version: Option<u64>) -> ListTracker {
    let position = ListPosition { numbering, version };
    let state = ListState { position, highest_version: version, source: source(1) };
    ListTracker::new(state, DiscoveryMode::Push)
}

fn source(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// A restart of the version numbers must not make a later list look older than the one before it.
#[test]
fn each_update_from_discovery_is_later_than_the_list_before() {
    let tracker = tracker(0, None);
    for version in [7, 8, 2, 3, 1] {
        let before = tracker.state().position;
        tracker.record_update(version, source(2));
        assert!(tracker.state().position > before, "{version}");
    }
    let state = tracker.state();
    assert_eq!(state.position, ListPosition { numbering: 2, version: Some(1) });
    assert_eq!((state.highest_version, state.source), (Some(8), source(2)));
}

/// A process with a higher version than the previous one had is up to date, whether or not its present numbering
/// ever had that version.
#[test]
fn a_list_is_outdated_only_while_no_list_was_as_new_as_that_of_the_predecessor() {
    let tracker = tracker(0, Some(4));
    for (version, is_outdated) in [(None, false), (Some(4), false), (Some(5), true)] {
        tracker.set_predecessor_version(version);
        assert_eq!(tracker.is_outdated(), is_outdated, "{version:?}");
    }
    tracker.record_update(5, source(1));
    tracker.record_update(1, source(1));
    assert!(!tracker.is_outdated());
}

/// The task that writes the list to the file waits for changes. One that is reported for each answer of discovery
/// would have it write the same list again.
#[test]
fn subscribers_are_notified_of_another_list_only() {
    let tracker = tracker(0, Some(4));
    let mut changes = tracker.subscribe();
    tracker.record_update(4, source(1));
    assert_eq!(changes.has_changed().ok(), Some(false));
    let adopted =
        ListState { position: ListPosition { numbering: 1, version: Some(2) }, ..tracker.state() };
    tracker.record_adoption(adopted);
    assert_eq!(changes.has_changed().ok(), Some(true));
    assert_eq!(changes.borrow_and_update().highest_version, Some(4));
}
