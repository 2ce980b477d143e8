//! Converts messages of the simulator's protocol to events, and actions of the balancer to messages.
//!
//! The protocol has its own names for events, fields and states, and identifies endpoints by name. The
//! balancer uses the types of [`crate::policy`], which identify an endpoint by a number. The codec hashes each
//! endpoint name to that number, and remembers the name to write it in actions.

use super::message::{Message, MessageError};
use crate::load_report_text::field_mut;
use crate::policy::{
    Action, AttemptOutcome, EndpointId, EndpointState, EndpointUpdate, Event, LoadReport, Request,
    RequestId, WatchUpdate,
};
use crate::settings_file::NameIndex;
use crate::stable_hash::stable_hash;
use std::collections::HashMap;
use std::fmt::Write;

/// Converts the messages of one balancer instance, and holds the names that the instance has received.
#[derive(Debug)]
pub struct Codec {
    names: NameIndex,
    endpoint_names: HashMap<EndpointId, String>,
}

impl Codec {
    /// Creates a codec that knows no endpoints yet. `names` holds the class and zone names in the settings of
    /// the instance.
    pub fn new(names: NameIndex) -> Codec {
        Codec { names, endpoint_names: HashMap::new() }
    }

    /// Returns the id of the endpoint with this name, and remembers the name.
    fn intern_endpoint(&mut self, name: &str) -> EndpointId {
        let id = EndpointId(stable_hash(name));
        self.endpoint_names.entry(id).or_insert_with(|| name.to_owned());
        id
    }

    /// Reads the `backend` field, the name of an endpoint.
    fn read_endpoint_id(&mut self, message: &Message<'_>) -> Result<EndpointId, MessageError> {
        message.required("backend").map(|name| self.intern_endpoint(name))
    }

    /// Reads one `backend` line of an endpoint list.
    ///
    /// Absent fields have defaults: `locality` a zone that is none of the settings' zones, `pod` cell 0,
    /// `units` a weight of 1, and `readyAtMs` 0, a start long ago.
    ///
    /// # Errors
    /// `backend` or `health` is missing, or a field holds an invalid value.
    pub fn read_endpoint(&mut self, message: &Message<'_>) -> Result<EndpointUpdate, MessageError> {
        let state = match message.required("health")? {
            "U" => EndpointState::Active,
            "L" => EndpointState::Draining,
            "D" => EndpointState::Removed,
            other => return Err(MessageError::invalid("health", format!("unknown value {other:?}"))),
        };
        let cell = match message.get("pod") {
            Some(pod) => pod.parse().map_err(|_| MessageError::invalid("pod", "not a whole number"))?,
            None => 0,
        };
        Ok(EndpointUpdate {
            endpoint: self.read_endpoint_id(message)?,
            zone: self.names.zone_index(message.get("locality")),
            cell,
            state,
            weight: message.optional_f64("units")?.unwrap_or(1.0),
            started_at_ms: message.optional_f64("readyAtMs")?.unwrap_or(0.0),
        })
    }

    /// Reads a message that is one event for the balancer.
    ///
    /// [`host`](super::host) handles the other messages itself: `provision`, `shutdown` and `update`.
    ///
    /// # Errors
    /// The message is none of the events, or a field is missing or holds an invalid value.
    pub fn read_event(&mut self, message: &Message<'_>) -> Result<Event, MessageError> {
        let id = || message.required_u64("requestId").map(RequestId);
        let elapsed_ms = || Ok::<_, MessageError>(message.optional_f64("elapsedMs")?.unwrap_or(0.0));
        Ok(match message.name {
            "demand" => Event::Request(self.read_request(message)?),
            "result" => Event::AttemptEnded {
                id: id()?,
                attempt: required_u32(message, "attempt")?,
                endpoint: self.read_endpoint_id(message)?,
                outcome: parse_outcome(message.required("disposition")?)?,
                request_finished: message.flag("last"),
                elapsed_ms: elapsed_ms()?,
                load: read_load(message)?,
            },
            "begun" => Event::ResponseStarted {
                id: id()?,
                attempt: required_u32(message, "attempt")?,
                endpoint: self.read_endpoint_id(message)?,
                elapsed_ms: elapsed_ms()?,
            },
            "left" => Event::ClientDisconnected(id()?),
            "alarm" => Event::Timer(message.required_u64("keyBack")?),
            "probed" => Event::ProbeEnded {
                endpoint: self.read_endpoint_id(message)?,
                outcome: parse_outcome(message.required("disposition")?)?,
                elapsed_ms: elapsed_ms()?,
                load: read_load(message)?,
            },
            "inbox" => Event::PeerMessage {
                from: required_u32(message, "sender")?,
                bytes: decode_hex(message.required("msg")?)?,
            },
            other => return Err(MessageError::UnknownMessage(other.to_owned())),
        })
    }

    fn read_request(&self, message: &Message<'_>) -> Result<Request, MessageError> {
        Ok(Request {
            id: RequestId(message.required_u64("requestId")?),
            class: self.names.class_index(message.required("priority")?),
            key: message.get("nameKey").map(stable_hash),
            deadline_ms: message.required_f64("deadlineMs")?,
            estimated_cost_ms: message.optional_f64("effortMs")?,
            is_retry: message.flag("isRetry"),
            queued_ms: 0.0,
        })
    }

    /// Appends an action of the instance `instance_id` to `out`, as one line.
    ///
    /// An endpoint that no message to this instance has named is written as `unknown`.
    pub fn write_action(&self, instance_id: u64, action: &Action, out: &mut String) {
        let name_of = |id: &EndpointId| self.endpoint_names.get(id).map_or("unknown", String::as_str);
        // Writing to a String cannot fail.
        let _ = match action {
            Action::SendAttempt { id: RequestId(id), endpoint, timeout_ms, .. } => {
                let backend = name_of(endpoint);
                writeln!(
                    out,
                    "hand_off who={instance_id} requestId={id} giveUpAfterMs={timeout_ms:.3} backend={backend}"
                )
            }
            Action::CancelAttempt { id: RequestId(id), attempt } => {
                writeln!(out, "recall who={instance_id} requestId={id} attempt={attempt}")
            }
            Action::Reject { id: RequestId(id), retry_after_ms, .. } => {
                writeln!(out, "decline who={instance_id} requestId={id} backoffMs={retry_after_ms:.3}")
            }
            Action::Fail { id: RequestId(id), .. } => {
                writeln!(out, "drop_request who={instance_id} requestId={id}")
            }
            Action::Timer { token, at_ms } => {
                writeln!(out, "wake_me who={instance_id} keyBack={token} instantMs={at_ms:.3}")
            }
            Action::CloseIdleConnections(endpoint) => {
                writeln!(out, "release who={instance_id} backend={}", name_of(endpoint))
            }
            Action::SendPeerMessage { to, bytes } => {
                let to = to.map_or_else(|| "all".to_owned(), |node| node.to_string());
                writeln!(out, "announce who={instance_id} neighbourId={to} msg={}", encode_hex(bytes))
            }
            Action::SetWatch(enabled) => {
                writeln!(out, "watch who={instance_id} want={}", u8::from(*enabled))
            }
            Action::Log(entry) => writeln!(out, "say_log who={instance_id} text={entry}"),
        };
    }
}

/// Parses the `form` field of an `update` message, the kind of endpoint list that follows.
///
/// # Errors
/// `value` is none of the protocol's values.
pub fn parse_watch_update(value: &str) -> Result<WatchUpdate, MessageError> {
    Ok(match value {
        "diff" => WatchUpdate::Delta,
        "snapshot" => WatchUpdate::Snapshot,
        "disk" => WatchUpdate::CachedSnapshot,
        "error" => WatchUpdate::Failure,
        other => return Err(MessageError::invalid("form", format!("unknown value {other:?}"))),
    })
}

/// Parses the value of `disposition`.
fn parse_outcome(value: &str) -> Result<AttemptOutcome, MessageError> {
    Ok(match value {
        "done" => AttemptOutcome::Answered,
        "err" => AttemptOutcome::ErrorResponse,
        "busy" => AttemptOutcome::Rejected,
        "etimedout" => AttemptOutcome::TimedOut,
        "econnrefused" => AttemptOutcome::ConnectFailed,
        "econnreset" => AttemptOutcome::ConnectionReset,
        "ecanceled" => AttemptOutcome::Cancelled,
        "skipped" => AttemptOutcome::NotSent,
        other => return Err(MessageError::invalid("disposition", format!("unknown value {other:?}"))),
    })
}

/// Reads a required field that holds a whole number of up to 32 bits.
fn required_u32(message: &Message<'_>, field: &'static str) -> Result<u32, MessageError> {
    u32::try_from(message.required_u64(field)?)
        .map_err(|_| MessageError::invalid(field, "larger than 32 bits"))
}

/// Reads the load report in `pressure`, a list of `name:value` pairs separated by commas.
///
/// Unknown names are ignored. The report is empty if the field is absent.
fn read_load(message: &Message<'_>) -> Result<LoadReport, MessageError> {
    let invalid = |reason: String| MessageError::invalid("pressure", reason);
    let mut report = LoadReport::default();
    let pairs = message.get("pressure").unwrap_or_default().split(',').filter(|pair| !pair.is_empty());
    for pair in pairs {
        let (name, value) =
            pair.split_once(':').ok_or_else(|| invalid(format!("':' is missing in {pair:?}")))?;
        let Some(field) = field_mut(&mut report, name) else { continue };
        let value = value.parse().ok().filter(|value: &f64| value.is_finite());
        *field = Some(value.ok_or_else(|| invalid(format!("{name} is not a number")))?);
    }
    Ok(report)
}

/// Writes bytes as pairs of hexadecimal digits, or as `-` if there are none.
fn encode_hex(bytes: &[u8]) -> String {
    if bytes.is_empty() {
        return "-".to_owned();
    }
    bytes.iter().fold(String::with_capacity(2 * bytes.len()), |mut text, byte| {
        // Writing to a String cannot fail.
        let _ = write!(text, "{byte:02x}");
        text
    })
}

/// Reads bytes that [`encode_hex`] has written.
fn decode_hex(text: &str) -> Result<Vec<u8>, MessageError> {
    if text == "-" {
        return Ok(Vec::new());
    }
    let digit = |character: char| character.to_digit(16).and_then(|digit| u8::try_from(digit).ok());
    let digits: Option<Vec<u8>> = text.chars().map(digit).collect();
    match digits {
        Some(digits) if digits.len() % 2 == 0 => {
            Ok(digits.chunks(2).map(|pair| pair[0] * 16 + pair[1]).collect())
        }
        _ => Err(MessageError::invalid("msg", "not hexadecimal bytes")),
    }
}
