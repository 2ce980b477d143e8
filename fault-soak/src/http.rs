//! As much of HTTP/1.1 as the stand-ins need.

use std::collections::HashMap;
use std::io;
use tokio::io::{AsyncBufReadExt, AsyncRead, AsyncReadExt, BufReader};

/// One message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Its first line.
    pub first_line: String,
    /// Its headers, by their names in small letters.
    pub headers: HashMap<String, String>,
    /// Its body.
    pub body: Vec<u8>,
}

/// What came in place of a complete message.
#[derive(Debug)]
pub enum ReadError {
    /// The end, with nothing before it.
    Closed,
    /// The end, or what cannot be read, in the middle of it.
    Midway,
}

impl Message {
    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    /// The status of an answer; 0 for none.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Reads one. `began` is called when its first byte has come.
    pub async fn read<R: AsyncRead + Unpin>(
        reader: &mut BufReader<R>,
        began: impl FnOnce(),
    ) -> Result<Message, ReadError> {
        match reader.fill_buf().await {
            Ok(bytes) if !bytes.is_empty() => began(),
            _ => return Err(ReadError::Closed),
        }
        Message::read_rest(reader).await.map_err(|_| ReadError::Midway)
    }

    async fn read_rest<R: AsyncRead + Unpin>(reader: &mut BufReader<R>) -> io::Result<Message> {
        let mut message = Message { first_line: line(reader).await?, ..Message::default() };
        loop {
            let line = line(reader).await?;
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
                    usize::from_str_radix(line(reader).await?.trim(), 16).map_err(io::Error::other)?;
                let mut chunk = vec![0; size];
                reader.read_exact(&mut chunk).await?;
                line(reader).await?;
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

async fn line<R: AsyncRead + Unpin>(reader: &mut BufReader<R>) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line).await? == 0 || !line.ends_with('\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_owned())
}

/// An answer in full.
pub fn answer(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes =
        format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n{headers}\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
