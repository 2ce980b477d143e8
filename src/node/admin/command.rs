//! Parses the commands of the admin interface.

use thiserror::Error;

/// Maximum length of a command, in bytes, including its line break.
pub const MAX_COMMAND_BYTES: usize = 256;
/// How many characters of an unknown command the error shows.
const MAX_SHOWN_CHARACTERS: usize = 40;

/// A command. Its `Debug` form appears in the log, where operators' tools match it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminCommand<'a> {
    /// Asks whether this process accepts clients.
    Ready,
    /// Takes the endpoint with this name out of service.
    Disable(&'a str),
    /// Puts the endpoint with this name back into service.
    Enable(&'a str),
    /// Drains the node: the readiness check fails, responses close their connections, and idle connections
    /// are closed, so that clients go elsewhere.
    Drain,
    /// Ends a drain.
    Resume,
    /// Asks for the counters of this process.
    Counters,
}

/// Why a line is not a valid command.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum CommandError {
    /// The line break did not come in time, or the connection ended before it.
    #[error("no complete line was received")]
    Unfinished,
    /// The line is longer than [`MAX_COMMAND_BYTES`].
    #[error("the line is longer than {MAX_COMMAND_BYTES} bytes")]
    TooLong,
    /// The line is not UTF-8, or contains control characters other than white space.
    #[error("the line is not text")]
    NotText,
    /// The line contains no word.
    #[error("the line is empty")]
    Empty,
    /// No command has this name; holds its first [`MAX_SHOWN_CHARACTERS`] characters.
    #[error(
        "unknown command {0:?}; the commands are \
         ready, disable-server ID, enable-server ID, drain, resume and counters"
    )]
    Unknown(String),
    /// The named command needs the id of a server after it.
    #[error("{0} needs the id of a server")]
    MissingId(&'static str),
    /// More words follow than the command takes; holds its usage.
    #[error("too many words after {0}")]
    ExtraWords(&'static str),
}

impl<'a> AdminCommand<'a> {
    /// Parses a line without its line break.
    ///
    /// # Errors
    /// The line is not a valid command.
    pub fn parse(line: &'a [u8]) -> Result<AdminCommand<'a>, CommandError> {
        let text = std::str::from_utf8(line).map_err(|_| CommandError::NotText)?;
        if text.chars().any(|character| character.is_control() && !character.is_whitespace()) {
            return Err(CommandError::NotText);
        }
        let mut words = text.split_whitespace();
        let name = words.next().ok_or(CommandError::Empty)?;
        let mut id = |command| words.next().ok_or(CommandError::MissingId(command));
        let (command, usage) = match name {
            "ready" => (AdminCommand::Ready, "ready"),
            "disable-server" => (AdminCommand::Disable(id("disable-server")?), "disable-server ID"),
            "enable-server" => (AdminCommand::Enable(id("enable-server")?), "enable-server ID"),
            "drain" => (AdminCommand::Drain, "drain"),
            "resume" => (AdminCommand::Resume, "resume"),
            "counters" => (AdminCommand::Counters, "counters"),
            other => return Err(CommandError::Unknown(other.chars().take(MAX_SHOWN_CHARACTERS).collect())),
        };
        if words.next().is_some() { Err(CommandError::ExtraWords(usage)) } else { Ok(command) }
    }
}
