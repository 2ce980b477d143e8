//! The commands that operators may give.

use thiserror::Error;

/// The longest command with its line's end, in bytes.
pub const MAX_LENGTH: usize = 256;
/// Characters of an unknown command that the answer shows.
const MAX_SHOWN: usize = 40;

/// A command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminCommand<'a> {
    /// Does this process take clients?
    Ready,
    /// Send nothing more to this endpoint.
    Disable(&'a str),
    /// This endpoint may serve again.
    Enable(&'a str),
    /// Send clients away.
    Drain,
    /// Take clients again.
    Resume,
    /// What has this process done so far?
    Counters,
}

/// Why a line is no command.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum CommandError {
    /// It never ended.
    #[error("no whole line came")]
    Unfinished,
    /// It is too long to be one.
    #[error("the line is longer than {MAX_LENGTH} bytes")]
    TooLong,
    /// It cannot be read.
    #[error("the line is not text")]
    NotText,
    /// There is nothing in it.
    #[error("the line is empty")]
    Empty,
    /// Its first word is unknown.
    #[error(
        "unknown call {0:?}; there are ready, disable-server ID, enable-server ID, drain, resume and counters"
    )]
    Unknown(String),
    /// It wants an id.
    #[error("{0} wants the id of a server")]
    MissingId(&'static str),
    /// There are words too many.
    #[error("words too many behind {0}")]
    ExtraWords(&'static str),
}

impl<'a> AdminCommand<'a> {
    /// Reads a line without its end.
    ///
    /// # Errors
    /// The line is no command.
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
            other => return Err(CommandError::Unknown(other.chars().take(MAX_SHOWN).collect())),
        };
        if words.next().is_some() { Err(CommandError::ExtraWords(usage)) } else { Ok(command) }
    }
}
