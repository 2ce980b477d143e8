//! Reads HTTP/1.1 messages and builds responses, as far as the simulated clients, servers and discovery
//! need it.

use std::collections::HashMap;
use std::io;
use tokio::io::{AsyncBufReadExt, AsyncRead, AsyncReadExt, BufReader};

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or status line, without its line end.
    pub first_line: String,
    /// The header values, by lower-case header name. Of several headers with one name, the last counts.
    pub headers: HashMap<String, String>,
    /// The body, without its chunked framing.
    pub body: Vec<u8>,
}

/// The reason that a message could not be read.
#[derive(Debug)]
pub enum ReadError {
    /// The connection ended before the first byte of the message.
    Closed,
    /// The connection ended within the message, or the message is malformed.
    Incomplete,
}

impl Message {
    /// The value of a header, which must be named in lower case; `None` if the message does not have it.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    /// The status code of a response; 0 if the first line has none.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Reads a message. Calls `on_first_byte` once its first byte has arrived.
    ///
    /// # Errors
    /// The connection ended before the message was complete, or the message is malformed.
    pub async fn read<R: AsyncRead + Unpin>(
        reader: &mut BufReader<R>,
        on_first_byte: impl FnOnce(),
    ) -> Result<Message, ReadError> {
        match reader.fill_buf().await {
            Ok(bytes) if !bytes.is_empty() => on_first_byte(),
            _ => return Err(ReadError::Closed),
        }
        Message::read_rest(reader).await.map_err(|_| ReadError::Incomplete)
    }

    async fn read_rest<R: AsyncRead + Unpin>(reader: &mut BufReader<R>) -> io::Result<Message> {
        let mut message = Message { first_line: read_line(reader).await?, ..Message::default() };
        loop {
            let line = read_line(reader).await?;
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                message.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
            }
        }
        if message.header("transfer-encoding").is_some() {
            loop {
                let size =
                    usize::from_str_radix(read_line(reader).await?.trim(), 16).map_err(io::Error::other)?;
                let mut chunk = vec![0; size];
                reader.read_exact(&mut chunk).await?;
                read_line(reader).await?;
                if size == 0 {
                    return Ok(message);
                }
                message.body.append(&mut chunk);
            }
        }
        let length = message.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
        message.body = vec![0; length];
        reader.read_exact(&mut message.body).await?;
        Ok(message)
    }
}

/// Reads a line and removes its end. A line that the connection cuts short is an error.
async fn read_line<R: AsyncRead + Unpin>(reader: &mut BufReader<R>) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line).await? == 0 || !line.ends_with('\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_owned())
}

/// A response with a `Content-Length`. `status` is the code and its reason, and `headers` are complete
/// header lines.
pub fn response_bytes(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes =
        format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n{headers}\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
