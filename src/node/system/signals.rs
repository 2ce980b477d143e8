//! Signals of the platform, on their way from a handler to the event loop.
//!
//! The handler sets a flag and writes a byte to a socket pair, which wakes the loop. A call that is
//! interrupted may lose the byte, so the flag is also checked now and then.

use signal_hook::consts::{SIGHUP, SIGTERM};
use signal_hook::{flag, low_level};
use std::io;
use std::os::unix::net::UnixStream as StdUnixStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::net::UnixStream;

/// How soon a signal is noticed whose byte was lost.
const FLAG_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// One kind of signal. Several that come at once may be reported as one.
pub struct SignalReceiver {
    raised: Arc<AtomicBool>,
    wake: UnixStream,
}

impl SignalReceiver {
    /// SIGTERM: the process is to end.
    pub fn terminate() -> io::Result<SignalReceiver> {
        SignalReceiver::of(SIGTERM)
    }

    /// SIGHUP: there is a new configuration.
    pub fn hangup() -> io::Result<SignalReceiver> {
        SignalReceiver::of(SIGHUP)
    }

    fn of(signal: i32) -> io::Result<SignalReceiver> {
        let raised = Arc::new(AtomicBool::new(false));
        let (wake, handler) = StdUnixStream::pair()?;
        wake.set_nonblocking(true)?;
        // In this order, the flag is set when the loop is woken.
        flag::register(signal, raised.clone())?;
        low_level::pipe::register(signal, handler)?;
        Ok(SignalReceiver { raised, wake: UnixStream::from_std(wake)? })
    }

    /// Waits for the next one.
    pub async fn recv(&mut self) {
        while !self.raised.swap(false, Ordering::SeqCst) {
            // Late or in error, the flag decides.
            let _ = tokio::time::timeout(FLAG_CHECK_INTERVAL, self.wake.readable()).await;
            let mut bytes = [0; 64];
            let _ = self.wake.try_read(&mut bytes);
        }
    }
}
