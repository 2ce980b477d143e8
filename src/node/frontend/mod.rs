//! The client side: connections, the requests read from them, and the responses.

pub mod request_reader;
pub mod server;
