//! Runs balancer instances that a simulator drives through its text protocol.
//!
//! The simulator simulates many nodes in virtual time and expects each of them to decide on its own. The
//! host keeps one balancer for each instance id; the instances share no state but the clock. A `round` line
//! sets the time, the lines after it are messages to instances, and `eof_batch` ends the batch. The host
//! then writes the actions that the balancers returned, in the order of the messages, and a line `end`.

use super::codec::{Codec, parse_watch_update};
use super::message::{Message, MessageError};
use crate::policy::{Action, Balancer, Event, SettingsError, WatchUpdate};
use crate::settings_file::{self, SettingsFileError};
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use thiserror::Error;

/// An error that ends [`run`].
#[derive(Debug, Error)]
pub enum HostError {
    /// Reading the input or writing the output failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A line of the input cannot be processed.
    #[error("line {line}: {cause}")]
    Line {
        /// Number of the line in the input, from 1. For an `update`, the line of its list at which the
        /// fault was found.
        line: u64,
        /// The reason.
        cause: LineError,
    },
}

/// The reason why a line cannot be processed.
#[derive(Debug, Error)]
pub enum LineError {
    /// The line is not a valid message.
    #[error(transparent)]
    Message(#[from] MessageError),
    /// The `config` field of a `provision` cannot be read as settings.
    #[error(transparent)]
    SettingsFile(#[from] SettingsFileError),
    /// The settings of a `provision` were read, but the balancer rejects one of their values.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// Reading the lines of an endpoint list failed.
    #[error(transparent)]
    Input(#[from] io::Error),
}

/// One simulated node.
struct Instance {
    codec: Codec,
    balancer: Balancer,
}

/// The running instances, and the state of the current batch.
#[derive(Default)]
struct Host {
    /// By instance id, the `who` field of messages.
    instances: BTreeMap<u64, Instance>,
    /// Buffer for the actions of one event; empty between events.
    actions: Vec<Action>,
    /// The lines to write at the end of the current batch.
    pending_output: String,
    /// Virtual time, in milliseconds, as the last `round` has set it.
    now_ms: f64,
}

impl Host {
    /// Passes an event to an instance and adds the instance's actions to the pending output. Does nothing if
    /// no instance has this id.
    fn dispatch(&mut self, instance_id: u64, event: Event) {
        let Some(instance) = self.instances.get_mut(&instance_id) else { return };
        instance.balancer.handle(self.now_ms, event, &mut self.actions);
        for action in self.actions.drain(..) {
            instance.codec.write_action(instance_id, &action, &mut self.pending_output);
        }
    }

    /// Handles one message. An `update` reads its endpoint list from `lines`. Events for an instance that
    /// is not running are ignored.
    fn handle_message(
        &mut self,
        text: &str,
        lines: &mut LineReader<impl BufRead>,
    ) -> Result<(), LineError> {
        let message = Message::parse(text)?;
        let instance_id = message.required_u64("who")?;
        match message.name {
            "provision" => self.start_instance(instance_id, &message),
            "shutdown" => {
                self.instances.remove(&instance_id);
                Ok(())
            }
            "update" => self.update_endpoints(instance_id, &message, lines),
            _ => {
                if let Some(instance) = self.instances.get_mut(&instance_id) {
                    let event = instance.codec.read_event(&message)?;
                    self.dispatch(instance_id, event);
                }
                Ok(())
            }
        }
    }

    /// Handles `provision`: starts an instance, in place of one with the same id.
    fn start_instance(&mut self, instance_id: u64, message: &Message<'_>) -> Result<(), LineError> {
        let (settings, names) = settings_file::read(message.required("config")?)?;
        let balancer = Balancer::new(settings, message.required_u64("prng")?)?;
        self.instances.insert(instance_id, Instance { codec: Codec::new(names), balancer });
        self.dispatch(instance_id, Event::Start);
        Ok(())
    }

    /// Handles `update`: reads the endpoint list that follows the message and passes it to the instance.
    ///
    /// The list is read even if the instance is not running, because its lines must be consumed.
    fn update_endpoints(
        &mut self,
        instance_id: u64,
        message: &Message<'_>,
        lines: &mut LineReader<impl BufRead>,
    ) -> Result<(), LineError> {
        let update = parse_watch_update(message.required("form")?)?;
        let count = if update == WatchUpdate::Failure { 0 } else { message.required_u64("elements")? };
        let mut endpoints = Vec::new();
        for _ in 0..count {
            let line = lines.read_list_entry()?;
            let entry = Message::parse(line.trim_end())?;
            if entry.name != "backend" {
                let reason = format!("expected {count} \"backend\" lines, found {:?}", entry.name);
                return Err(MessageError::invalid("elements", reason).into());
            }
            if let Some(instance) = self.instances.get_mut(&instance_id) {
                endpoints.push(instance.codec.read_endpoint(&entry)?);
            }
        }
        self.dispatch(instance_id, Event::EndpointsChanged { update, endpoints });
        Ok(())
    }
}

/// Reads the input line by line and counts the lines.
struct LineReader<R> {
    input: R,
    /// Number of the line read last, from 1; 0 before the first.
    line_number: u64,
}

impl<R: BufRead> LineReader<R> {
    /// Replaces the content of `line` by the next line. Returns false at the end of the input.
    fn read_into(&mut self, line: &mut String) -> io::Result<bool> {
        line.clear();
        self.line_number += 1;
        Ok(self.input.read_line(line)? > 0)
    }

    /// Reads the next line of an endpoint list. The input must not end inside the list.
    fn read_list_entry(&mut self) -> Result<String, LineError> {
        let mut line = String::new();
        if self.read_into(&mut line)? {
            Ok(line)
        } else {
            Err(MessageError::invalid("elements", "input ended inside the endpoint list").into())
        }
    }
}

/// Reads messages from `input` and writes the instances' actions to `output`, until the input ends.
///
/// If the input ends before the `eof_batch` of the last batch, the actions of that batch are not written.
///
/// # Errors
/// Reading `input` or writing `output` failed, or a line cannot be processed.
pub fn run(input: impl BufRead, mut output: impl Write) -> Result<(), HostError> {
    let mut lines = LineReader { input, line_number: 0 };
    let mut host = Host::default();
    let mut line = String::new();
    while lines.read_into(&mut line)? {
        let text = line.trim_end_matches(['\n', '\r']);
        if text == "eof_batch" {
            host.pending_output.push_str("end\n");
            output.write_all(host.pending_output.as_bytes())?;
            output.flush()?;
            host.pending_output.clear();
            continue;
        }
        let handled = match text.strip_prefix("round") {
            Some(rest) => read_time(rest).map(|now_ms| host.now_ms = now_ms).map_err(LineError::from),
            None if text.is_empty() => Ok(()),
            None => host.handle_message(text, &mut lines),
        };
        handled.map_err(|cause| HostError::Line { line: lines.line_number, cause })?;
    }
    Ok(())
}

/// Reads the field of a `round` line, the virtual time in milliseconds.
fn read_time(fields: &str) -> Result<f64, MessageError> {
    let value = fields.trim().strip_prefix("wallMs=").and_then(|value| value.parse::<f64>().ok());
    let time = value.filter(|time| time.is_finite());
    time.ok_or_else(|| MessageError::invalid("wallMs", "missing or not a number"))
}
