//! One line of the protocol, split into its fields.

use thiserror::Error;

/// What is wrong with a line, and with which field.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum MessageError {
    /// A field is not there.
    #[error("field {0}: missing")]
    Missing(&'static str),
    /// A field cannot be read.
    #[error("field {field}: {reason}")]
    Invalid {
        /// The field.
        field: String,
        /// Why.
        reason: String,
    },
    /// A message of no known kind.
    #[error("unknown message {0:?}")]
    UnknownMessage(String),
}

impl MessageError {
    pub(super) fn invalid(field: &str, reason: impl Into<String>) -> MessageError {
        MessageError::Invalid { field: field.to_owned(), reason: reason.into() }
    }
}

/// Fields whose value runs to the end of the line.
const TRAILING_FIELDS: [&str; 2] = ["config", "text"];

/// A field and its value.
#[derive(Debug)]
struct Field<'a> {
    name: &'a str,
    value: &'a str,
}

/// A line: the message's name and its fields.
#[derive(Debug, Default)]
pub struct Message<'a> {
    /// The message's name.
    pub name: &'a str,
    fields: Vec<Field<'a>>,
}

impl<'a> Message<'a> {
    /// Splits a line.
    ///
    /// # Errors
    /// A field has no `=`.
    pub fn parse(line: &'a str) -> Result<Message<'a>, MessageError> {
        let (name, mut rest) = line.split_once(' ').unwrap_or((line, ""));
        let mut fields = Vec::with_capacity(8);
        while !rest.is_empty() {
            let (name, after) =
                rest.split_once('=').ok_or_else(|| MessageError::invalid(rest, "no '='"))?;
            let is_trailing = TRAILING_FIELDS.contains(&name);
            let (value, tail) =
                if is_trailing { (after, "") } else { after.split_once(' ').unwrap_or((after, "")) };
            fields.push(Field { name, value });
            rest = tail;
        }
        Ok(Message { name, fields })
    }

    /// A field, if it is there.
    pub(super) fn get(&self, field: &str) -> Option<&'a str> {
        self.fields.iter().find(|known| known.name == field).map(|known| known.value)
    }

    /// A field that must be there.
    ///
    /// # Errors
    /// It is not.
    pub fn need(&self, field: &'static str) -> Result<&'a str, MessageError> {
        self.get(field).ok_or(MessageError::Missing(field))
    }

    /// A whole number that must be there.
    ///
    /// # Errors
    /// It is not there, or is no whole number.
    pub fn integer(&self, field: &'static str) -> Result<u64, MessageError> {
        self.need(field)?.parse().map_err(|_| MessageError::invalid(field, "not a whole number"))
    }

    /// A number that must be there.
    pub(super) fn number(&self, field: &'static str) -> Result<f64, MessageError> {
        self.optional_number(field)?.ok_or(MessageError::Missing(field))
    }

    /// A number, if it is there.
    pub(super) fn optional_number(&self, field: &'static str) -> Result<Option<f64>, MessageError> {
        let Some(text) = self.get(field) else { return Ok(None) };
        match text.parse::<f64>() {
            Ok(number) if number.is_finite() => Ok(Some(number)),
            _ => Err(MessageError::invalid(field, "not a number")),
        }
    }

    /// A flag; absent means no.
    pub(super) fn flag(&self, field: &'static str) -> bool {
        self.get(field) == Some("1")
    }
}
