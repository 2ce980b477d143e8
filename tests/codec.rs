//! Tests of the simulator's codec and of the settings reader: every message and setting, and lines that are
//! truncated, reordered or oversized.
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use wheelpath::policy::*;
use wheelpath::settings_file::read as read_settings;
use wheelpath::simulator::codec::{Codec, parse_watch_update};
use wheelpath::simulator::message::{Message, MessageError};

/// Valid settings, with keys that the reader does not know.
const CONFIG: &str = r#"{"areas": ["a", "b"], "zone": "b", "instances": 3, "unknownKey": [1],
 "classes": [{"name": "page", "semantics": "idempotent", "objectiveMs": 300.0, "hardLimitMs": 900.0, "value": 2.0},
             {"name": "bid", "semantics": "deduplicated", "group": "zone", "hardLimitMs": 400.0, "keyTtlMs": 50.0}],
 "tenants": [{"name": "t1", "quotaRps": 4.0}], "membershipMode": "on_request",
 "limits": {"attemptsCap": 4, "probing": true},
 "rules": {"coldMs": 20000, "startCapacity": 0.2, "fallMultiple": 3, "fallMs": 2000}}"#;

/// One valid line of each message that is read as an event.
const LINES: [&str; 7] = [
    "demand who=3 requestId=41 priority=page userGroup=t1 nameKey=k:x deadlineMs=99.5 effortMs=12.0 isRetry=1",
    "result who=3 requestId=41 disposition=done attempt=0 last=1 elapsedMs=18.5 backend=b1 pressure=busy:0.5,q:2",
    "begun who=3 requestId=41 elapsedMs=3 attempt=1 backend=b1",
    "left who=3 requestId=41",
    "alarm who=3 keyBack=77",
    "probed who=3 elapsedMs=1 disposition=etimedout backend=b1",
    "inbox who=3 sender=2 msg=0aff",
];

fn new_codec() -> Codec {
    let (_, names) = read_settings(CONFIG).expect("settings are valid");
    Codec::new(names)
}

fn read_event(codec: &mut Codec, line: &str) -> Result<Event, MessageError> {
    codec.read_event(&Message::parse(line)?)
}

/// Guards against a reader that rejects unknown keys, or that has a wrong default for an absent one.
#[test]
fn settings_are_read_with_defaults() {
    let (settings, _) = read_settings(CONFIG).expect("settings are valid");
    assert_eq!(
        (settings.node_count, settings.max_attempts, settings.discovery),
        (3, 4, DiscoveryMode::Poll)
    );
    assert_eq!(settings.classes[1].idempotency, Idempotency::WithKey(DeduplicationScope::Zone));
    assert_eq!(
        settings.classes[1].latency_objective_ms, 400.0,
        "an absent latency objective is the deadline"
    );
    assert!(settings.probes_allowed && !settings.cancellation_allowed);
    assert_eq!(
        (settings.zone, settings.node_index, settings.weight_meaning, settings.load_reporting),
        (Some(1), 0, WeightMeaning::None, LoadReporting::None)
    );
}

/// Guards against a setting that is read from another key or from none, and so keeps its default.
#[test]
fn every_setting_is_read() {
    let text = r#"{"areas": ["a"], "zone": "a", "slotNo": 4, "weights": "live", "worthBy": "work",
        "blend": {"whole": 0.4, "ninesPart": 0.2, "fullAtNines": 2.5},
        "classes": [{"name": "x", "hardLimitMs": 900, "aimStretch": 1.5}],
        "limits": {"peerMessages": true, "openCap": 10, "maxStreams": 2, "connIdleMs": 9, "connectTimeoutMs": 8,
                   "cpuUsPerS": 7},
        "prices": {"crossZone": 0.1, "handshake": 0.2, "connection": 0.3, "lateFail": 0.4, "waste": 0.5,
                   "probe": 0.6, "peer": 0.7},
        "reporting": {"via": "probe", "names": ["q"]},
        "rules": {"coldMs": 1, "startCapacity": 0.2, "fallMultiple": 3, "fallMs": 2,
                  "drainGraceMs": 50}}"#;
    let (settings, _) = read_settings(text).expect("settings are valid");
    assert_eq!(
        (settings.zone, settings.node_index, settings.weight_meaning, settings.load_reporting),
        (Some(0), 4, WeightMeaning::Live, LoadReporting::Probes)
    );
    assert_eq!(
        (
            settings.objective_weights.nines,
            settings.objective_weights.full_at_nines,
            settings.classes[0].objective_stretch
        ),
        (0.2, 2.5, 1.5)
    );
    assert_eq!(
        (settings.peer_messages_allowed, settings.max_open_requests, settings.max_streams),
        (true, 10, 2)
    );
    assert_eq!(
        (settings.idle_connection_timeout_ms, settings.connect_timeout_ms, settings.cpu_us_per_second),
        (9.0, 8.0, 7.0)
    );
    let costs = settings.costs;
    assert_eq!(
        (costs.cross_zone, costs.handshake, costs.connection, costs.late_failure),
        (0.1, 0.2, 0.3, 0.4)
    );
    assert_eq!((costs.wasted_work, costs.probe, costs.peer_message), (0.5, 0.6, 0.7));
    assert_eq!(settings.drain_grace_ms, 50.0);
    assert_eq!(
        settings.classes[0].idempotency,
        Idempotency::NotIdempotent,
        "absent semantics mean not idempotent"
    );
}

/// Errors must name the key and end with the value found, so that an operator can correct the settings.
#[test]
fn unusable_settings_name_the_field() {
    let error_text =
        |text: &str| read_settings(text).err().map(|error| error.to_string()).unwrap_or_default();
    assert!(error_text("[]").contains("not an object"));
    assert!(error_text("{").starts_with("field config"));
    assert!(error_text(r#"{"classes": []}"#).contains("config.rules.coldMs: missing"));
    assert!(error_text(r#"{"classes": [{"name": "x"}]}"#).contains("config.hardLimitMs"));
    assert!(
        error_text(&CONFIG.replace("\"instances\": 3", "\"instances\": -1")).contains("config.instances")
    );
    for (field, value, invalid_config) in [
        ("config.areas", "7", CONFIG.replace(r#"["a", "b"]"#, "7")),
        ("config.zone", "5", CONFIG.replace(r#""zone": "b""#, r#""zone": 5"#)),
        ("config.limits.probing", "\"yes\"", CONFIG.replace("true", "\"yes\"")),
        ("config.rules.coldMs", "\"long\"", CONFIG.replace("20000", "\"long\"")),
    ] {
        assert!(error_text(&invalid_config).contains(field), "{field}: {}", error_text(&invalid_config));
        assert!(error_text(&invalid_config).ends_with(value), "{value}: {}", error_text(&invalid_config));
    }
}

/// Guards against a field that is read from another name, and against a load report or a class whose unknown
/// names are errors.
#[test]
fn every_message_is_read() {
    let mut codec = new_codec();
    let Ok(Event::Request(request)) = read_event(&mut codec, LINES[0]) else {
        panic!("expected a request")
    };
    assert_eq!(
        (request.id, request.class, request.deadline_ms, request.is_retry),
        (RequestId(41), 0, 99.5, true)
    );
    let Ok(Event::AttemptEnded { outcome, request_finished, load, .. }) = read_event(&mut codec, LINES[1])
    else {
        panic!("expected the end of an attempt")
    };
    assert_eq!((outcome, request_finished), (AttemptOutcome::Answered, true));
    assert_eq!(load, LoadReport { utilization: Some(0.5), queued: Some(2.0), ..LoadReport::default() });
    let Ok(Event::ProbeEnded { load, .. }) = read_event(
        &mut codec,
        "probed who=3 disposition=done backend=b1 pressure=lat_ms:7,rif:3,rate:9,fail_rate:1,odd:x",
    ) else {
        panic!("expected the end of a probe")
    };
    let figures = (load.latency_ms, load.in_flight, load.requests_per_second, load.errors_per_second);
    assert_eq!(figures, (Some(7.0), Some(3.0), Some(9.0), Some(1.0)));
    assert_eq!(read_event(&mut codec, LINES[4]), Ok(Event::Timer(77)));
    assert_eq!(read_event(&mut codec, LINES[6]), Ok(Event::PeerMessage { from: 2, bytes: vec![10, 255] }));
    let unknown_class = read_event(&mut codec, "demand who=3 requestId=1 priority=other deadlineMs=9");
    assert!(matches!(unknown_class, Ok(Event::Request(request)) if request.class == usize::MAX));
    assert_eq!(parse_watch_update("disk"), Ok(WatchUpdate::CachedSnapshot));
}

/// The protocol does not fix the order of fields, so the same fields in reverse must give the same event.
#[test]
fn fields_come_in_any_order() {
    let mut codec = new_codec();
    for line in LINES {
        let (name, rest) = line.split_once(' ').expect("line has fields");
        let mut parts: Vec<_> = rest.split(' ').collect();
        parts.reverse();
        assert_eq!(
            read_event(&mut codec, line),
            read_event(&mut codec, &format!("{name} {}", parts.join(" ")))
        );
    }
}

/// Errors must name the message or field that is wrong. Otherwise, the fault in a line among thousands cannot be
/// found.
#[test]
fn errors_name_what_is_wrong() {
    let mut codec = new_codec();
    let error_text = |codec: &mut Codec, line: &str| {
        read_event(codec, line).err().map(|error| error.to_string()).unwrap_or_default()
    };
    assert_eq!(error_text(&mut codec, "left who=3"), "field requestId: missing");
    assert_eq!(error_text(&mut codec, "left who=3 requestId=x"), "field requestId: not a whole number");
    assert!(error_text(&mut codec, "dance who=3").contains("unknown message"));
    assert!(error_text(&mut codec, "inbox who=3 sender=2 msg=0").contains("not hex"));
    let result_line = "result who=3 requestId=1 attempt=0 backend=b1 disposition=done";
    assert!(error_text(&mut codec, &format!("{result_line} pressure=busy")).starts_with("field pressure"));
    assert!(
        error_text(&mut codec, &format!("{result_line} pressure=busy:x")).starts_with("field pressure")
    );
    assert!(
        error_text(&mut codec, "demand who=3 requestId=1 priority=page deadlineMs=NaN")
            .contains("deadlineMs")
    );
}

/// The balancer identifies endpoints by number. The simulator must get back the names that it sent, with the
/// figures in the format that it expects.
#[test]
fn actions_are_written_with_the_received_names() {
    let mut codec = new_codec();
    let entry = codec
        .read_endpoint(
            &Message::parse("backend locality=a health=U backend=b1").expect("line is a message"),
        )
        .expect("message is an endpoint");
    let mut out = String::new();
    let (id, endpoint) = (RequestId(7), entry.endpoint);
    codec.write_action(
        3,
        &Action::SendAttempt { id, endpoint, timeout_ms: 80.0, begin_within_ms: f64::INFINITY },
        &mut out,
    );
    codec.write_action(
        3,
        &Action::Reject {
            id: RequestId(7),
            retry_after_ms: 0.0,
            reason: RejectionReason::NoUsableEndpoint,
        },
        &mut out,
    );
    codec.write_action(3, &Action::CloseIdleConnections(entry.endpoint), &mut out);
    codec.write_action(3, &Action::SendPeerMessage { to: None, bytes: vec![104, 10] }, &mut out);
    codec.write_action(3, &Action::SendPeerMessage { to: Some(5), bytes: vec![] }, &mut out);
    let lines: Vec<_> = out.lines().collect();
    assert_eq!(lines[2], "release who=3 backend=b1");
    assert_eq!(lines[3], "announce who=3 neighbourId=all msg=680a");
    assert_eq!(lines[4], "announce who=3 neighbourId=5 msg=-");
    assert_eq!(lines[0], "hand_off who=3 requestId=7 giveUpAfterMs=80.000 backend=b1");
    assert_eq!(lines[1], "decline who=3 requestId=7 backoffMs=0.000");
}

/// Guards against a panic on a line that ends at any byte, has noise after it, or is thousands of characters
/// long, and against settings that are accepted although their JSON is cut off.
#[test]
fn truncated_and_malformed_lines_never_panic() {
    let config = Config { cases: 400, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]));
    let input = (0..LINES.len(), any::<prop::sample::Index>(), "\\PC{0,40}", 0_usize..5000);
    runner
        .run(&input, |(line_index, cut_at, noise, padding_length)| {
            let mut codec = new_codec();
            let line = LINES[line_index];
            let cut = &line[..cut_at.index(line.len())];
            for text in [
                cut.to_owned(),
                format!("{cut}{noise}"),
                format!("{line} x={}", "y".repeat(padding_length)),
            ] {
                let _ = read_event(&mut codec, &text);
            }
            let padded = read_event(&mut codec, &format!("{line} x={}", "y".repeat(padding_length)));
            prop_assert!(padded.is_ok());
            let cut = &CONFIG[..cut_at.index(CONFIG.len())];
            prop_assert!(read_settings(cut).is_err());
            Ok(())
        })
        .expect("the codec handles truncated, malformed and long lines");
}
