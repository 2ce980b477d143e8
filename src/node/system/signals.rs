//! Delivers signals from their handler to the event loop.
//!
//! The handler sets a flag and writes a byte to a socket pair, which wakes the event loop. An interrupted
//! call may lose the byte, so the flag is also checked periodically.

use signal_hook::consts::{SIGHUP, SIGTERM};
use signal_hook::{flag, low_level};
use std::io;
use std::os::unix::net::UnixStream as StdUnixStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::net::UnixStream;

/// How often the flag is checked: a signal whose byte was lost is noticed after this time.
const FLAG_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Receives one kind of signal. Several signals in quick succession may be received as one.
pub struct SignalReceiver {
    /// Set by the handler, cleared when the signal is received.
    is_raised: Arc<AtomicBool>,
    /// Becomes readable when the handler has run.
    wakeups: UnixStream,
}

impl SignalReceiver {
    /// Receives SIGTERM, on which the process shuts down.
    pub fn sigterm() -> io::Result<SignalReceiver> {
        SignalReceiver::register(SIGTERM)
    }

    /// Receives SIGHUP, on which the process reloads its configuration.
    pub fn sighup() -> io::Result<SignalReceiver> {
        SignalReceiver::register(SIGHUP)
    }

    fn register(signal: i32) -> io::Result<SignalReceiver> {
        let is_raised = Arc::new(AtomicBool::new(false));
        let (wakeups, handler_end) = StdUnixStream::pair()?;
        wakeups.set_nonblocking(true)?;
        // Handlers run in the order of registration, so the flag is set before the event loop is woken.
        flag::register(signal, is_raised.clone())?;
        low_level::pipe::register(signal, handler_end)?;
        Ok(SignalReceiver { is_raised, wakeups: UnixStream::from_std(wakeups)? })
    }

    /// Waits for the next signal.
    pub async fn recv(&mut self) {
        while !self.is_raised.swap(false, Ordering::SeqCst) {
            // A timeout and an error mean the same here: the flag is checked again.
            let _ = tokio::time::timeout(FLAG_CHECK_INTERVAL, self.wakeups.readable()).await;
            let mut bytes = [0; 64];
            let _ = self.wakeups.try_read(&mut bytes);
        }
    }
}
