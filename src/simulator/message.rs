//! Splits one line of the simulator's protocol into its fields.
//!
//! A line is a message name and its fields, `name field=value field=value`, separated by single spaces.
//! Fields come in any order, and values contain no spaces. The exceptions are `config` and `text`: each is the
//! last field of its message, and its value runs to the end of the line, spaces included.

use thiserror::Error;

/// A line that is not a valid message.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum MessageError {
    /// A required field is absent; holds its name.
    #[error("field {0}: missing")]
    Missing(&'static str),
    /// A field is malformed or holds an invalid value.
    #[error("field {field}: {reason}")]
    Invalid {
        /// Name of the field, or the rest of the line if a field has no `=`.
        field: String,
        /// The reason, as a phrase that follows the field's name, such as "not a number".
        reason: String,
    },
    /// The protocol has no message with this name.
    #[error("unknown message {0:?}")]
    UnknownMessage(String),
}

impl MessageError {
    pub(super) fn invalid(field: &str, reason: impl Into<String>) -> MessageError {
        MessageError::Invalid { field: field.to_owned(), reason: reason.into() }
    }
}

/// Fields whose value runs to the end of the line and may contain spaces.
const TRAILING_FIELDS: [&str; 2] = ["config", "text"];

/// A field as it stands in the line.
#[derive(Debug)]
struct Field<'a> {
    name: &'a str,
    value: &'a str,
}

/// A message, borrowed from its line.
#[derive(Debug, Default)]
pub struct Message<'a> {
    /// Name of the message, the first word of the line.
    pub name: &'a str,
    fields: Vec<Field<'a>>,
}

impl<'a> Message<'a> {
    /// Splits a line, given without its line break. Field names and values are not checked.
    ///
    /// # Errors
    /// A field has no `=`.
    pub fn parse(line: &'a str) -> Result<Message<'a>, MessageError> {
        let (name, mut rest) = line.split_once(' ').unwrap_or((line, ""));
        let mut fields = Vec::with_capacity(8);
        while !rest.is_empty() {
            let (name, remainder) =
                rest.split_once('=').ok_or_else(|| MessageError::invalid(rest, "'=' is missing"))?;
            let is_trailing = TRAILING_FIELDS.contains(&name);
            let (value, tail) = if is_trailing {
                (remainder, "")
            } else {
                remainder.split_once(' ').unwrap_or((remainder, ""))
            };
            fields.push(Field { name, value });
            rest = tail;
        }
        Ok(Message { name, fields })
    }

    /// Returns the value of a field, or `None` if the field is absent. If a field is repeated, its first
    /// value counts.
    pub(super) fn get(&self, field: &str) -> Option<&'a str> {
        self.fields.iter().find(|candidate| candidate.name == field).map(|found| found.value)
    }

    /// Returns the value of a required field.
    ///
    /// # Errors
    /// The field is absent.
    pub fn required(&self, field: &'static str) -> Result<&'a str, MessageError> {
        self.get(field).ok_or(MessageError::Missing(field))
    }

    /// Reads a required field as a whole number.
    ///
    /// # Errors
    /// The field is absent, or its value is not a whole number of up to 64 bits.
    pub fn required_u64(&self, field: &'static str) -> Result<u64, MessageError> {
        self.required(field)?.parse().map_err(|_| MessageError::invalid(field, "not a whole number"))
    }

    /// Reads a required field as a finite number.
    pub(super) fn required_f64(&self, field: &'static str) -> Result<f64, MessageError> {
        self.optional_f64(field)?.ok_or(MessageError::Missing(field))
    }

    /// Reads a field as a finite number. Returns `Ok(None)` if the field is absent.
    pub(super) fn optional_f64(&self, field: &'static str) -> Result<Option<f64>, MessageError> {
        let Some(text) = self.get(field) else { return Ok(None) };
        match text.parse::<f64>() {
            Ok(number) if number.is_finite() => Ok(Some(number)),
            _ => Err(MessageError::invalid(field, "not a number")),
        }
    }

    /// Returns whether a field has the value `1`. An absent field and any other value mean false.
    pub(super) fn flag(&self, field: &'static str) -> bool {
        self.get(field) == Some("1")
    }
}
