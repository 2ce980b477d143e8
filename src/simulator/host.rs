//! Runs instances of the balancer on the protocol. Instances share nothing.

use super::codec::{Codec, watch_update};
use super::message::{Message, MessageError};
use crate::policy::{Action, Balancer, Event, SettingsError, WatchUpdate};
use crate::settings_file::{self, SettingsFileError};
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use thiserror::Error;

/// Why the adapter cannot go on.
#[derive(Debug, Error)]
pub enum HostError {
    /// Standard input or output failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A line cannot be read.
    #[error("line {line}: {cause}")]
    Line {
        /// Its number, from 1.
        line: u64,
        /// What is wrong with it.
        cause: LineError,
    },
}

/// What is wrong with a line.
#[derive(Debug, Error)]
pub enum LineError {
    /// A field is missing or wrong.
    #[error(transparent)]
    Message(#[from] MessageError),
    /// The settings of a `provision` cannot be read.
    #[error(transparent)]
    SettingsFile(#[from] SettingsFileError),
    /// No balancer can run on the settings of a `provision`.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// Input ended inside an endpoint list, or failed.
    #[error(transparent)]
    Input(#[from] io::Error),
}

struct Instance {
    codec: Codec,
    balancer: Balancer,
}

/// The instances, and what they have to say at the end of the present batch.
#[derive(Default)]
struct Host {
    instances: BTreeMap<u64, Instance>,
    actions: Vec<Action>,
    reply: String,
    now_ms: f64,
}

impl Host {
    fn feed(&mut self, who: u64, event: Event) {
        let Some(instance) = self.instances.get_mut(&who) else { return };
        instance.balancer.handle(self.now_ms, event, &mut self.actions);
        for action in self.actions.drain(..) {
            instance.codec.write_action(who, &action, &mut self.reply);
        }
    }

    /// Takes one message; the lines of an endpoint list that follow it come from `lines`.
    fn take(&mut self, text: &str, lines: &mut Lines<impl BufRead>) -> Result<(), LineError> {
        let message = Message::parse(text)?;
        let who = message.integer("who")?;
        match message.name {
            "provision" => self.provision(who, &message),
            "shutdown" => {
                self.instances.remove(&who);
                Ok(())
            }
            "update" => self.update(who, &message, lines),
            _ => {
                if let Some(instance) = self.instances.get_mut(&who) {
                    let event = instance.codec.read_event(&message)?;
                    self.feed(who, event);
                }
                Ok(())
            }
        }
    }

    /// Starts an instance.
    fn provision(&mut self, who: u64, message: &Message<'_>) -> Result<(), LineError> {
        let (settings, names) = settings_file::read(message.need("config")?)?;
        let balancer = Balancer::new(settings, message.integer("prng")?)?;
        self.instances.insert(who, Instance { codec: Codec::new(names), balancer });
        self.feed(who, Event::Start);
        Ok(())
    }

    /// Reads an endpoint list, also where no instance wants it.
    fn update(
        &mut self,
        who: u64,
        message: &Message<'_>,
        lines: &mut Lines<impl BufRead>,
    ) -> Result<(), LineError> {
        let update = watch_update(message.need("form")?)?;
        let count = if update == WatchUpdate::Failure { 0 } else { message.integer("elements")? };
        let mut endpoints = Vec::new();
        for _ in 0..count {
            let line = lines.next_entry()?;
            let entry = Message::parse(line.trim_end())?;
            if entry.name != "backend" {
                let reason = format!("{count} announced, then {:?}", entry.name);
                return Err(MessageError::invalid("elements", reason).into());
            }
            if let Some(instance) = self.instances.get_mut(&who) {
                endpoints.push(instance.codec.read_endpoint(&entry)?);
            }
        }
        self.feed(who, Event::EndpointsChanged { update, endpoints });
        Ok(())
    }
}

/// Numbered lines of the input.
struct Lines<R> {
    input: R,
    number: u64,
}

impl<R: BufRead> Lines<R> {
    /// Reads the next line into `line`; false at the end of the input.
    fn next(&mut self, line: &mut String) -> io::Result<bool> {
        line.clear();
        self.number += 1;
        Ok(self.input.read_line(line)? > 0)
    }

    /// The next line of an endpoint list.
    fn next_entry(&mut self) -> Result<String, LineError> {
        let mut line = String::new();
        if self.next(&mut line)? {
            Ok(line)
        } else {
            Err(MessageError::invalid("elements", "the list is cut short").into())
        }
    }
}

/// Serves instances from `input` to `output` until the input ends.
///
/// # Errors
/// Input or output failed, or a line cannot be read.
pub fn run(input: impl BufRead, mut output: impl Write) -> Result<(), HostError> {
    let mut lines = Lines { input, number: 0 };
    let mut host = Host::default();
    let mut line = String::new();
    while lines.next(&mut line)? {
        let text = line.trim_end_matches(['\n', '\r']);
        if text == "eof_batch" {
            host.reply.push_str("end\n");
            output.write_all(host.reply.as_bytes())?;
            output.flush()?;
            host.reply.clear();
            continue;
        }
        let taken = match text.strip_prefix("round") {
            Some(rest) => read_time(rest).map(|now_ms| host.now_ms = now_ms).map_err(LineError::from),
            None if text.is_empty() => Ok(()),
            None => host.take(text, &mut lines),
        };
        taken.map_err(|cause| HostError::Line { line: lines.number, cause })?;
    }
    Ok(())
}

/// The time of a `round`, in milliseconds.
fn read_time(fields: &str) -> Result<f64, MessageError> {
    let value = fields.trim().strip_prefix("wallMs=").and_then(|value| value.parse::<f64>().ok());
    let time = value.filter(|time| time.is_finite());
    time.ok_or_else(|| MessageError::invalid("wallMs", "missing or not a number"))
}
