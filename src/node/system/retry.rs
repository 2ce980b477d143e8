//! Retries a failing call at a fixed interval.

use std::time::Duration;

/// Makes a call until it succeeds, or until `may_retry` returns `false` for its error. Waits for `pause`
/// before each retry.
///
/// # Errors
/// The last error of the call.
pub async fn retry<T, E>(
    pause: Duration,
    call: impl Fn() -> Result<T, E>,
    mut may_retry: impl FnMut(&E) -> bool,
) -> Result<T, E> {
    loop {
        match call() {
            Err(error) if may_retry(&error) => tokio::time::sleep(pause).await,
            result => return result,
        }
    }
}
