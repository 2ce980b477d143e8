//! What an error of a system call means: whether it concerns this machine for a moment, or the other side.

use super::retry::retry;
use std::io;
use std::time::{Duration, Instant};

/// Pause before a call is made again that this machine could not do.
pub const RETRY_PAUSE: Duration = Duration::from_millis(2);
/// For so long a process that starts tries to get what it cannot do without.
const START_TIMEOUT: Duration = Duration::from_secs(5);

/// This process has as many descriptors as it may.
pub fn is_out_of_descriptors(error: &io::Error) -> bool {
    error.raw_os_error() == Some(libc::EMFILE)
}

/// The call was cut short before it did anything: it is to be made again.
pub fn is_interrupted(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::Interrupted
}

/// The system lacks memory or buffers for the moment; the connection itself is intact.
pub fn is_out_of_buffers(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(libc::ENOBUFS | libc::ENOMEM))
}

/// The system lacks something that it may have again in a moment.
fn is_transient(error: &io::Error) -> bool {
    let lacks = matches!(error.raw_os_error(), Some(libc::ENFILE | libc::EAGAIN));
    is_interrupted(error) || is_out_of_buffers(error) || lacks
}

/// Makes a call that the process cannot start without, again and again while the system cannot do it for
/// the moment.
///
/// # Errors
/// The call failed for another reason, or for too long.
pub async fn retry_transient<T>(call: impl Fn() -> io::Result<T>) -> io::Result<T> {
    let give_up_at = Instant::now() + START_TIMEOUT;
    retry(RETRY_PAUSE, call, |error| is_transient(error) && Instant::now() < give_up_at).await
}
