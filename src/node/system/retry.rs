//! Makes a call again that failed.

use std::time::Duration;

/// Makes a call until it succeeds or fails with an error that `may_retry` denies, with a pause between two
/// attempts.
///
/// # Errors
/// The last error.
pub async fn retry<T, E>(
    pause: Duration,
    call: impl Fn() -> Result<T, E>,
    mut may_retry: impl FnMut(&E) -> bool,
) -> Result<T, E> {
    loop {
        match call() {
            Err(error) if may_retry(&error) => tokio::time::sleep(pause).await,
            ended => return ended,
        }
    }
}
