//! Tests how the records that one process leaves to the next are serialized and parsed.
use super::*;

fn snapshot(endpoint: u64, started_at_ms: Option<f64>, prat_ms: Option<f64>) -> EndpointSnapshot {
    EndpointSnapshot {
        endpoint: EndpointId(endpoint),
        started_at_ms,
        prat_ms,
        concurrency_limit: 2.25,
        served_per_second: 7.5,
    }
}

/// A parser that filled in defaults would take a record with a missing field for a complete one. Only
/// "list" may be missing: it is optional. The largest endpoint id must survive, since ids are hashes that
/// use all 64 bits.
#[test]
fn a_record_is_read_as_written_and_a_record_without_a_field_is_an_error() {
    let process = ProcessId { pid: 7, start_ticks: 12 };
    let endpoints = vec![
        EndpointRecord::new(&snapshot(u64::MAX, Some(1.5), None), 100.0),
        EndpointRecord::new(&snapshot(2, None, Some(9.0)), 1.0),
    ];
    let record = ProcessRecord { process, list_version: Some(41), endpoints };
    let text = to_json(&record);
    assert_eq!(parse(PROCESS_FILE, Ok(Some(text.clone()))).ok(), Some(Some(record)));
    let json: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
    let fields: Vec<String> = json.as_object().map(|o| o.keys().cloned().collect()).unwrap_or_default();
    assert_eq!(fields.len(), 4);
    for field in fields.iter().filter(|field| *field != "list") {
        let mut incomplete = json.clone();
        incomplete.as_object_mut().and_then(|o| o.remove(field));
        assert!(
            parse::<ProcessRecord>(PROCESS_FILE, Ok(Some(incomplete.to_string()))).is_err(),
            "accepted without {field}"
        );
    }
    let overrides = OperatorOverrides { revision: 3, disabled: [1, u64::MAX].into() };
    assert_eq!(parse(OVERRIDES_FILE, Ok(Some(to_json(&overrides)))).ok(), Some(Some(overrides)));
}

/// The monotonic clocks of two processes have nothing in common, so a point in time on one of them means
/// nothing on the other.
#[test]
fn learned_times_are_restored_as_durations_on_the_clock_of_the_next_process() {
    let record = EndpointRecord::new(&snapshot(1, Some(4_000.0), Some(5_600.0)), 5_000.0);
    let restored = record.to_snapshot(9e9);
    assert_eq!(restored.started_at_ms, Some(9e9 - 1_000.0));
    assert_eq!(restored.prat_ms, Some(9e9 + 600.0));
    // A trial that was overdue when the record was written is due at once.
    let overdue = EndpointRecord::new(&snapshot(1, None, Some(4_000.0)), 5_000.0).to_snapshot(0.0);
    assert_eq!((overdue.started_at_ms, overdue.prat_ms), (None, Some(0.0)));
}

/// A node may be upgraded from a program that wrote version 1. Overrides must survive that; the wall clock
/// times in the file must not be used. A file with a malformed id or another version is not read at all.
#[test]
fn a_file_of_version_1_is_read_without_its_times() {
    let text = r#"{"version":1,"pid":5,"calls":2,"out":["00000000000000ff"],"list":3,
        "backends":[{"id":"0000000000000001","cold_since_ms":1.0,"prat_ms":null,"cap":2.0,"served":1.0}]}"#;
    let records = Version1File::parse(text).unwrap_or_else(|| unreachable!("the file is complete"));
    assert_eq!(records.overrides, OperatorOverrides { revision: 2, disabled: [255].into() });
    assert_eq!((records.process.list_version, records.process.endpoints.len()), (Some(3), 0));
    assert!(Version1File::parse(&text.replace("ff", "fg")).is_none());
    assert!(Version1File::parse(&text.replace("\"version\":1", "\"version\":3")).is_none());
}
