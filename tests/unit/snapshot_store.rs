//! What one process leaves to the next, as it is written and read.
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

#[test]
fn a_record_is_read_as_written_and_half_of_one_is_an_error() {
    let process = ProcessId { pid: 7, started: 12 };
    let endpoints = vec![
        EndpointRecord::new(&snapshot(u64::MAX, Some(1.5), None), 100.0),
        EndpointRecord::new(&snapshot(2, None, Some(9.0)), 1.0),
    ];
    let state = ProcessRecord { process, list_version: Some(41), endpoints };
    let text = to_json(&state);
    assert_eq!(parse(PROCESS_FILE, Ok(Some(text.clone()))).ok(), Some(Some(state)));
    let json: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
    let fields: Vec<String> = json.as_object().map(|o| o.keys().cloned().collect()).unwrap_or_default();
    assert_eq!(fields.len(), 4);
    for field in fields.iter().filter(|field| *field != "list") {
        let mut half = json.clone();
        half.as_object_mut().and_then(|o| o.remove(field));
        assert!(parse::<ProcessRecord>(PROCESS_FILE, Ok(Some(half.to_string()))).is_err(), "{field}");
    }
    let overrides = OperatorOverrides { revision: 3, disabled: [1, u64::MAX].into() };
    assert_eq!(parse(OVERRIDES_FILE, Ok(Some(to_json(&overrides)))).ok(), Some(Some(overrides)));
}

#[test]
fn learned_times_are_restored_as_spans_on_the_clock_of_the_next_process() {
    let state = EndpointRecord::new(&snapshot(1, Some(4_000.0), Some(5_600.0)), 5_000.0);
    let next = state.snapshot(9e9);
    assert_eq!(next.started_at_ms, Some(9e9 - 1_000.0));
    assert_eq!(next.prat_ms, Some(9e9 + 600.0));
    // One whose time has come by then is due at once.
    let due = EndpointRecord::new(&snapshot(1, None, Some(4_000.0)), 5_000.0).snapshot(0.0);
    assert_eq!((due.started_at_ms, due.prat_ms), (None, Some(0.0)));
}

#[test]
fn a_file_of_version_1_is_read_without_its_times() {
    let text = r#"{"version":1,"pid":5,"calls":2,"out":["00000000000000ff"],"list":3,
        "backends":[{"id":"0000000000000001","cold_since_ms":1.0,"prat_ms":null,"cap":2.0,"served":1.0}]}"#;
    let records = Version1::parse(text).unwrap_or_else(|| unreachable!("it is whole"));
    assert_eq!(records.overrides, OperatorOverrides { revision: 2, disabled: [255].into() });
    assert_eq!((records.process.list_version, records.process.endpoints.len()), (Some(3), 0));
    assert!(Version1::parse(&text.replace("ff", "fg")).is_none());
    assert!(Version1::parse(&text.replace("\"version\":1", "\"version\":3")).is_none());
}
