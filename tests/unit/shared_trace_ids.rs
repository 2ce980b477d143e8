//! Tests the table in which the processes of a node claim trace ids.

use super::*;

/// A table of its own, in a file that is removed at the end of the test.
struct TestTable {
    path: std::path::PathBuf,
}

impl TestTable {
    fn new(name: &str) -> TestTable {
        let path = std::env::temp_dir().join(format!("wheelpath-test-ids-{}-{name}", std::process::id()));
        TestTable { path }
    }

    fn open(&self) -> SharedTraceIds {
        SharedTraceIds { file: open_table(&self.path).unwrap(), has_logged_failure: Cell::new(false) }
    }
}

impl Drop for TestTable {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

#[test]
fn an_id_is_claimed_once_by_all_processes() {
    let table = TestTable::new("once");
    let (first, second) = (table.open(), table.open());
    for hash in [0, 1, 7, u64::MAX] {
        assert!(first.claim(hash), "{hash}");
        assert!(!second.claim(hash) && !first.claim(hash), "{hash}");
    }
    assert!(!table.open().claim(7), "a later process does not know the id");
}

#[test]
fn a_released_id_can_be_claimed_again_and_a_replaced_one_is_kept() {
    let table = TestTable::new("release");
    let (first, second) = (table.open(), table.open());
    assert!(first.claim(7));
    first.release(7);
    assert!(second.claim(7));
    // The id with the same slot replaces the earlier one, whose release must not remove it.
    assert!(second.claim(7 + SLOT_COUNT));
    first.release(7);
    assert!(!first.claim(7 + SLOT_COUNT));
}
