//! Builds the responses of the simulated servers, in all framings and at all paces.

use crate::http::response_bytes;
use crate::server::ServerMode;
use std::time::Duration;

/// The length by which the responses of [`ServerMode::WritingSlowly`] are longer than others. The nodes do not
/// buffer responses of this length.
const SLOW_RESPONSE_BYTES: usize = 150_000;
/// The number of parts in which such a response is written.
pub const SLOW_RESPONSE_PARTS: usize = 4;
/// The pauses before the parts of such a response, in turn.
const SLOW_RESPONSE_PAUSES: [Duration; 2] = [Duration::from_millis(300), Duration::from_millis(100)];
/// The largest number of chunks of a response.
const MAX_CHUNKS: usize = 50;

/// How a response marks the end of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    ContentLength,
    Chunked,
    /// The body ends with the connection.
    UntilClose,
}

impl Framing {
    /// The framings of successive responses, in turn; the more usual ones occur more often.
    const SEQUENCE: [Framing; 8] = [
        Framing::ContentLength,
        Framing::ContentLength,
        Framing::Chunked,
        Framing::ContentLength,
        Framing::ContentLength,
        Framing::UntilClose,
        Framing::ContentLength,
        Framing::Chunked,
    ];

    fn response_bytes(self, headers: &str, body: &[u8]) -> Vec<u8> {
        let head = |framing: &str| format!("HTTP/1.1 200 OK\r\n{headers}{framing}\r\n").into_bytes();
        match self {
            Framing::ContentLength => response_bytes("200 OK", headers, body),
            Framing::UntilClose => [&head("Connection: close\r\n"), body].concat(),
            Framing::Chunked => {
                let mut bytes = head("Transfer-Encoding: chunked\r\n");
                for chunk in body.chunks(body.len().div_ceil(MAX_CHUNKS).max(10)) {
                    bytes.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
                    bytes.extend_from_slice(chunk);
                    bytes.extend_from_slice(b"\r\n");
                }
                bytes.extend_from_slice(b"0\r\n\r\n");
                bytes
            }
        }
    }
}

/// A response to one request, as it is written to the connection.
pub struct ServerResponse {
    /// The head and the encoded body.
    pub bytes: Vec<u8>,
    /// Whether the connection stays open for another request.
    pub keeps_connection: bool,
    /// How the bytes are written.
    pub pace: Pace,
}

/// How a response is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pace {
    /// All bytes at once.
    AtOnce,
    /// In [`SLOW_RESPONSE_PARTS`] parts after the head, with a pause before each.
    InParts {
        /// The pause before each part.
        pause: Duration,
    },
}

impl ServerResponse {
    /// Returns a response that is written at once and keeps the connection open.
    pub fn keep_alive(bytes: Vec<u8>) -> ServerResponse {
        ServerResponse { bytes, keeps_connection: true, pace: Pace::AtOnce }
    }

    /// Returns the response to a request that a server in this mode ran. `number` counts the responses of the
    /// server, and `load` is the number of requests in flight that it reports.
    pub fn served(mode: ServerMode, mut body: String, number: u64, load: u32) -> ServerResponse {
        if mode == ServerMode::WritingSlowly {
            body.extend(std::iter::repeat_n('x', SLOW_RESPONSE_BYTES));
        }
        let headers = format!("Endpoint-Load-Metrics: TEXT inflight={load}\r\n");
        let framing = Framing::SEQUENCE[(number % Framing::SEQUENCE.len() as u64) as usize];
        let bytes = framing.response_bytes(&headers, body.as_bytes());
        let pace = match mode {
            ServerMode::WritingSlowly => {
                let turn = number as usize % SLOW_RESPONSE_PAUSES.len();
                Pace::InParts { pause: SLOW_RESPONSE_PAUSES[turn] }
            }
            _ => Pace::AtOnce,
        };
        let response = ServerResponse { bytes, keeps_connection: framing != Framing::UntilClose, pace };
        if mode == ServerMode::Corrupting && number.is_multiple_of(2) {
            response.corrupted(number)
        } else {
            response
        }
    }

    /// Returns the response garbled or truncated, after which the connection closes.
    fn corrupted(mut self, number: u64) -> ServerResponse {
        match number % 3 {
            0 => self.bytes.truncate(self.bytes.len() - 5),
            1 => self.bytes.truncate(20),
            _ => self.bytes[0] = b'?',
        }
        ServerResponse { keeps_connection: false, ..self }
    }
}

/// The body of the response to a request that a server ran. It names the request and the server, so that
/// the oracle can tell which attempt the response belongs to.
pub fn body(id: u64, server: usize, response_number: u64) -> String {
    format!("{id:016x} served by {server} as {response_number}")
}
