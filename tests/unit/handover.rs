//! What one process leaves to the next, as it is written and read.
use super::*;

#[test]
fn a_state_is_read_as_it_was_written_and_half_of_one_is_none() {
    let state = State {
        pid: 7,
        calls: 3,
        out: [BackendId(u64::MAX), BackendId(1)].into(),
        list: Some(41),
        backends: vec![
            Memory {
                backend: BackendId(1),
                cold_since_ms: Some(1.5),
                prat_ms: None,
                cap: 2.25,
                served: 7.5,
            },
            Memory {
                backend: BackendId(2),
                cold_since_ms: None,
                prat_ms: Some(9.0),
                cap: 0.5,
                served: 0.0,
            },
        ],
    };
    let json = state.to_json();
    assert_eq!(State::from_json(&json), Some(state));
    let fields: Vec<String> = json.as_object().map(|o| o.keys().cloned().collect()).unwrap_or_default();
    assert_eq!(fields.len(), 6);
    for field in fields {
        let mut less = json.clone();
        less.as_object_mut().map(|o| o.remove(&field));
        assert_eq!(State::from_json(&less), None, "without {field}");
        let mut other = json.clone();
        other[&field] = json!("x");
        assert_eq!(State::from_json(&other), None, "{field} of another kind");
    }
}
