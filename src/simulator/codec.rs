//! The mapping between the protocol's names and [`crate::policy`]. No decisions.

use super::message::{Message, MessageError};
use crate::load_report_text::figure_mut;
use crate::policy::{
    Action, AttemptOutcome, EndpointId, EndpointState, EndpointUpdate, Event, LoadReport, Request,
    RequestId, WatchUpdate,
};
use crate::settings_file::NameIndex;
use crate::stable_hash::stable_hash;
use std::collections::HashMap;
use std::fmt::Write;

/// The codec of one instance: names as the instance has heard them, numbers as its decisions know them.
#[derive(Debug)]
pub struct Codec {
    names: NameIndex,
    endpoints: HashMap<EndpointId, String>,
}

impl Codec {
    /// A codec for an instance whose settings have these names.
    pub fn new(names: NameIndex) -> Codec {
        Codec { names, endpoints: HashMap::new() }
    }

    fn endpoint(&mut self, name: &str) -> EndpointId {
        let id = EndpointId(stable_hash(name));
        self.endpoints.entry(id).or_insert_with(|| name.to_owned());
        id
    }

    fn endpoint_of(&mut self, message: &Message<'_>) -> Result<EndpointId, MessageError> {
        message.need("backend").map(|name| self.endpoint(name))
    }

    /// Reads one `backend` line of an endpoint list.
    ///
    /// # Errors
    /// A field is missing or cannot be read.
    pub fn read_endpoint(&mut self, message: &Message<'_>) -> Result<EndpointUpdate, MessageError> {
        let state = match message.need("health")? {
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
            endpoint: self.endpoint_of(message)?,
            zone: self.names.zone_index(message.get("locality")),
            cell,
            state,
            weight: message.optional_number("units")?.unwrap_or(1.0),
            started_at_ms: message.optional_number("readyAtMs")?.unwrap_or(0.0),
        })
    }

    /// Reads an event other than `provision`, `shutdown` and `update`.
    ///
    /// # Errors
    /// The message is not known, or a field is missing or cannot be read.
    pub fn read_event(&mut self, message: &Message<'_>) -> Result<Event, MessageError> {
        let id = || message.integer("requestId").map(RequestId);
        let elapsed_ms = || Ok::<_, MessageError>(message.optional_number("elapsedMs")?.unwrap_or(0.0));
        Ok(match message.name {
            "demand" => Event::Request(self.read_request(message)?),
            "result" => Event::AttemptEnded {
                id: id()?,
                attempt: narrow(message, "attempt")?,
                endpoint: self.endpoint_of(message)?,
                outcome: outcome(message.need("disposition")?)?,
                request_finished: message.flag("last"),
                elapsed_ms: elapsed_ms()?,
                load: read_load(message)?,
            },
            "begun" => Event::ResponseStarted {
                id: id()?,
                attempt: narrow(message, "attempt")?,
                endpoint: self.endpoint_of(message)?,
                elapsed_ms: elapsed_ms()?,
            },
            "left" => Event::ClientDisconnected(id()?),
            "alarm" => Event::Timer(message.integer("keyBack")?),
            "probed" => Event::ProbeEnded {
                endpoint: self.endpoint_of(message)?,
                outcome: outcome(message.need("disposition")?)?,
                elapsed_ms: elapsed_ms()?,
                load: read_load(message)?,
            },
            "inbox" => Event::PeerMessage {
                from: narrow(message, "sender")?,
                bytes: bytes_from_hex(message.need("msg")?)?,
            },
            other => return Err(MessageError::UnknownMessage(other.to_owned())),
        })
    }

    fn read_request(&self, message: &Message<'_>) -> Result<Request, MessageError> {
        Ok(Request {
            id: RequestId(message.integer("requestId")?),
            class: self.names.class_index(message.need("priority")?),
            key: message.get("nameKey").map(stable_hash),
            deadline_ms: message.number("deadlineMs")?,
            estimated_cost_ms: message.optional_number("effortMs")?,
            is_retry: message.flag("isRetry"),
            queued_ms: 0.0,
        })
    }

    /// Writes an action of instance `who` as a line.
    pub fn write_action(&self, who: u64, action: &Action, out: &mut String) {
        let name = |id: &EndpointId| self.endpoints.get(id).map_or("unknown", String::as_str);
        // Writing to a String cannot fail.
        let _ = match action {
            Action::SendAttempt { id: RequestId(id), endpoint, timeout_ms, .. } => {
                let backend = name(endpoint);
                writeln!(
                    out,
                    "hand_off who={who} requestId={id} giveUpAfterMs={timeout_ms:.3} backend={backend}"
                )
            }
            Action::CancelAttempt { id: RequestId(id), attempt } => {
                writeln!(out, "recall who={who} requestId={id} attempt={attempt}")
            }
            Action::Reject { id: RequestId(id), retry_after_ms, .. } => {
                writeln!(out, "decline who={who} requestId={id} backoffMs={retry_after_ms:.3}")
            }
            Action::Fail { id: RequestId(id), .. } => {
                writeln!(out, "drop_request who={who} requestId={id}")
            }
            Action::Timer { token, at_ms } => {
                writeln!(out, "wake_me who={who} keyBack={token} instantMs={at_ms:.3}")
            }
            Action::CloseIdleConnections(endpoint) => {
                writeln!(out, "release who={who} backend={}", name(endpoint))
            }
            Action::SendPeerMessage { to, bytes } => {
                let to = to.map_or_else(|| "all".to_owned(), |node| node.to_string());
                writeln!(out, "announce who={who} neighbourId={to} msg={}", hex_from_bytes(bytes))
            }
            Action::SetWatch(on) => writeln!(out, "watch who={who} want={}", u8::from(*on)),
            Action::Log(event) => writeln!(out, "say_log who={who} text={event}"),
        };
    }
}

/// Reads what an `update` contains.
///
/// # Errors
/// The word is not known.
pub fn watch_update(word: &str) -> Result<WatchUpdate, MessageError> {
    Ok(match word {
        "diff" => WatchUpdate::Delta,
        "snapshot" => WatchUpdate::Snapshot,
        "disk" => WatchUpdate::CachedSnapshot,
        "error" => WatchUpdate::Failure,
        other => return Err(MessageError::invalid("form", format!("unknown value {other:?}"))),
    })
}

fn outcome(word: &str) -> Result<AttemptOutcome, MessageError> {
    Ok(match word {
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

/// A whole number of 32 bits that must be there.
fn narrow(message: &Message<'_>, field: &'static str) -> Result<u32, MessageError> {
    u32::try_from(message.integer(field)?).map_err(|_| MessageError::invalid(field, "too large"))
}

/// Reads a load report, `name:value` pairs. NameIndex that nobody knows are skipped.
fn read_load(message: &Message<'_>) -> Result<LoadReport, MessageError> {
    let invalid = |reason: String| MessageError::invalid("pressure", reason);
    let mut report = LoadReport::default();
    let pairs = message.get("pressure").unwrap_or_default().split(',').filter(|pair| !pair.is_empty());
    for pair in pairs {
        let (name, value) = pair.split_once(':').ok_or_else(|| invalid(format!("no ':' in {pair:?}")))?;
        let Some(figure) = figure_mut(&mut report, name) else { continue };
        let value = value.parse().ok().filter(|value: &f64| value.is_finite());
        *figure = Some(value.ok_or_else(|| invalid(format!("{name} is not a number")))?);
    }
    Ok(report)
}

fn hex_from_bytes(bytes: &[u8]) -> String {
    if bytes.is_empty() {
        return "-".to_owned();
    }
    bytes.iter().fold(String::with_capacity(2 * bytes.len()), |mut text, byte| {
        // Writing to a String cannot fail.
        let _ = write!(text, "{byte:02x}");
        text
    })
}

fn bytes_from_hex(text: &str) -> Result<Vec<u8>, MessageError> {
    if text == "-" {
        return Ok(Vec::new());
    }
    let digit = |character: char| character.to_digit(16).and_then(|digit| u8::try_from(digit).ok());
    let digits: Option<Vec<u8>> = text.chars().map(digit).collect();
    match digits {
        Some(digits) if digits.len() % 2 == 0 => {
            Ok(digits.chunks(2).map(|pair| pair[0] * 16 + pair[1]).collect())
        }
        _ => Err(MessageError::invalid("msg", "not hex")),
    }
}
