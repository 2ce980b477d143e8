//! Runs the real node program as a process, with stubs for its endpoints, discovery service and clients on loopback.
#![allow(dead_code, unused_imports)]

pub mod client;
pub mod discovery_stub;
pub mod endpoint_stub;
pub mod faults;
pub mod http;
pub mod long_bodies;
pub mod node_process;
pub mod sockets;
pub mod state;
pub mod waiting;

pub use client::*;
pub use discovery_stub::*;
pub use endpoint_stub::*;
pub use http::*;
pub use long_bodies::*;
pub use node_process::*;
pub use sockets::*;
pub use state::create_state_dir;
pub use waiting::*;
