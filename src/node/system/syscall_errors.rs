//! Classifies errors of system calls: interrupted, local and transient, or permanent.

use super::retry::retry;
use std::io;
use std::time::{Duration, Instant};

/// Pause before a call is retried after a transient local error.
pub const RETRY_PAUSE: Duration = Duration::from_millis(2);
/// For how long a starting process retries a call that it cannot start without.
const START_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns `true` if this process is at its limit of descriptors.
pub fn is_out_of_descriptors(error: &io::Error) -> bool {
    error.raw_os_error() == Some(libc::EMFILE)
}

/// Returns `true` if a signal interrupted the call before it did anything, so that it should be made again
/// at once.
pub fn is_interrupted(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::Interrupted
}

/// Returns `true` if the system lacks memory or buffers for the moment. The socket itself is intact.
pub fn is_out_of_buffers(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(libc::ENOBUFS | libc::ENOMEM))
}

/// Returns `true` if the call may succeed a moment later, because a signal interrupted it or the system
/// lacks a resource only for now.
fn is_transient(error: &io::Error) -> bool {
    let is_out_of_resources = matches!(error.raw_os_error(), Some(libc::ENFILE | libc::EAGAIN));
    is_interrupted(error) || is_out_of_buffers(error) || is_out_of_resources
}

/// Makes a call that the process cannot start without. Retries it for up to 5 s while it fails with
/// transient errors.
///
/// # Errors
/// The call failed permanently, or still failed after that time.
pub async fn retry_transient<T>(call: impl Fn() -> io::Result<T>) -> io::Result<T> {
    let give_up_at = Instant::now() + START_TIMEOUT;
    retry(RETRY_PAUSE, call, |error| is_transient(error) && Instant::now() < give_up_at).await
}
