//! Tests the estimate of when a client had sent a body.

use super::*;
use std::time::Duration;

const MIB: u64 = 1024 * 1024;

/// Returns the estimate after a body of the announced `length` has grown by 1 MiB every 100 ms, `mib` times, while at most
/// 1 MiB was unread. The estimate counts from the start.
fn estimate_after_steady_growth(length: Option<u64>, mib: u64) -> Duration {
    let start = Instant::now();
    let mut clock = UploadClock::new(start, length);
    for n in 1..=mib {
        clock.record_received(start + Duration::from_millis(100 * n), n * MIB, || Some(MIB));
    }
    clock.sending_until(None).duration_since(start)
}

/// Guards against a clock that waits for the last byte: a body that fits into the buffers may be written at once.
#[test]
fn without_evidence_the_client_counts_as_finished_at_the_start() {
    for length in [Some(4 * MIB), None] {
        assert_eq!(estimate_after_steady_growth(length, 3), Duration::ZERO, "{length:?}");
    }
}

/// Guards against a body of 32 MiB that counts as sent at its start: most of it cannot have been written then.
#[test]
fn a_client_is_sending_while_more_is_missing_than_the_buffers_hold() {
    for length in [Some(32 * MIB), None] {
        // At 26 MiB, the buffers may have held 5 of the missing 6 MiB.
        assert_eq!(estimate_after_steady_growth(length, 32), Duration::from_millis(2600), "{length:?}");
    }
}

#[test]
fn a_client_is_sending_while_the_node_waits_for_its_bytes() {
    let start = Instant::now();
    let mut clock = UploadClock::new(start, Some(MIB));
    let awaited_at = start + Duration::from_secs(3);
    clock.record_received(awaited_at, MIB, || Some(0));
    assert_eq!(clock.sending_until(Some(awaited_at)), awaited_at);
    // Bytes of an earlier request on the connection are no evidence.
    assert_eq!(clock.sending_until(Some(start - Duration::from_secs(1))), start);
}

#[test]
fn an_unknown_amount_of_unread_bytes_is_no_evidence() {
    let start = Instant::now();
    let mut clock = UploadClock::new(start, Some(32 * MIB));
    clock.record_received(start + Duration::from_secs(1), MIB, || None);
    assert_eq!(clock.sending_until(None), start);
}
