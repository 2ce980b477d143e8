//! Tests the estimate of when a client had sent a body.

use super::*;
use std::time::Duration;

const MIB: u64 = 1024 * 1024;

/// Records that a body grows by 1 MiB every 100 ms from `start` on, `mib` times, while at most 1 MiB is unread.
fn receive_steadily(clock: &mut UploadClock, start: Instant, mib: u64) {
    for n in 1..=mib {
        clock.record_received(start + Duration::from_millis(100 * n), n * MIB, || Some(MIB));
    }
}

/// Guards against a clock that waits for the last byte: a body that fits into the buffers may be written at once.
#[test]
fn without_evidence_the_client_counts_as_finished_at_the_start() {
    let start = Instant::now();
    for length in [Some(4 * MIB), None] {
        let mut clock = UploadClock::new(start, length);
        receive_steadily(&mut clock, start, 3);
        assert_eq!(clock.sending_until(None), start, "{length:?}");
    }
}

/// Guards against a body of 32 MiB that counts as sent at its start: most of it cannot have been written then.
#[test]
fn a_client_is_sending_while_more_is_missing_than_the_buffers_hold() {
    let start = Instant::now();
    for length in [Some(32 * MIB), None] {
        let mut clock = UploadClock::new(start, length);
        receive_steadily(&mut clock, start, 32);
        // At 26 MiB, the buffers may have held 5 of the missing 6 MiB.
        assert_eq!(clock.sending_until(None), start + Duration::from_millis(2600), "{length:?}");
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
