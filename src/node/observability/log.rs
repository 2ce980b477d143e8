//! Writes log lines to standard error, at a bounded rate.
//!
//! The event loop waits while a line is written, so lines must be few. There are lines about the node, and
//! traces of requests, one line each. The trace of a request that was served by its first attempt, without
//! any other event, is not logged. Each of the two kinds has a limit per second. `LB_TRACE=all` logs the
//! trace of every request, each request that was rejected without a trace, and the end of each client's
//! connection, up to a higher limit.
//!
//! A reader that does not read the log must neither stop nor delay the node. A line that cannot be written
//! at once is therefore dropped and counted.

use nix::poll::{PollFd, PollFlags, PollTimeout, poll};
use std::cell::{Cell, OnceCell};
use std::fs::File;
use std::io::Write;
use std::os::fd::AsFd;
use std::os::unix::fs::{FileTypeExt, OpenOptionsExt};
use std::time::{Duration, Instant};

/// Limit of lines about the node per second. Lines beyond it are expected to repeat earlier ones.
const LINES_PER_SECOND: u32 = 20;
/// Limit of request traces per second, unless `LB_TRACE` is `all`.
const TRACES_PER_SECOND: u32 = 5;
/// Limit of request traces per second if `LB_TRACE` is `all`.
const ALL_TRACES_PER_SECOND: u32 = 5000;
/// The environment variable that selects the requests whose traces are logged. With the value `all`, these
/// are all requests.
const TRACE_VARIABLE: &str = "LB_TRACE";
/// Maximum length of a line, in bytes, including its line break. A pipe that is writable takes a write of
/// this size (`PIPE_BUF`) as a whole.
const MAX_LINE_BYTES: usize = 4096;
/// The path through which the pipe behind standard error can be opened a second time.
const STANDARD_ERROR_PATH: &str = "/proc/self/fd/2";

/// Counts the lines of one kind in the current second.
#[derive(Clone, Copy, Default)]
struct LineBudget {
    second_started_at: Option<Instant>,
    /// Lines allowed in the current second.
    allowed: u32,
    /// Lines suppressed since the last one that was allowed.
    suppressed: u32,
}

impl LineBudget {
    /// Takes one line from the budget of the current second. Returns how many lines were suppressed since
    /// the previous allowed one, or `None` if the limit of `max_lines` per second is used up.
    fn take(cell: &'static std::thread::LocalKey<Cell<LineBudget>>, max_lines: u32) -> Option<u32> {
        let mut budget = cell.get();
        let now = Instant::now();
        if budget.second_started_at.is_none_or(|at| now.duration_since(at) >= Duration::from_secs(1)) {
            budget.second_started_at = Some(now);
            budget.allowed = 0;
        }
        let is_allowed = budget.allowed < max_lines;
        let suppressed = budget.suppressed;
        if is_allowed {
            budget.allowed += 1;
            budget.suppressed = 0;
        } else {
            budget.suppressed = suppressed.saturating_add(1);
        }
        cell.set(budget);
        is_allowed.then_some(suppressed)
    }
}

thread_local! {
    static NODE_LINES: Cell<LineBudget> = Cell::default();
    static REQUEST_LINES: Cell<LineBudget> = Cell::default();
    static TRACES_ALL_REQUESTS: OnceCell<bool> = const { OnceCell::new() };
    static SINK: OnceCell<Sink> = const { OnceCell::new() };
    /// Lines dropped since the last one that was written, because standard error was not writable.
    static DROPPED_LINES: Cell<u64> = const { Cell::new(0) };
}

/// Writes a line about the node, or drops it if the limit per second is used up.
pub fn line(text: &str) {
    if LineBudget::take(&NODE_LINES, LINES_PER_SECOND).is_some() {
        line_without_rate_limit(text);
    }
}

/// Writes a line regardless of the limits per second. Outside of this module, it is for rare lines that must
/// not be missed.
pub fn line_without_rate_limit(text: &str) {
    let mut line = format!("wheelpath-node: {text}");
    line.truncate(line.floor_char_boundary(MAX_LINE_BYTES - 1));
    line.push('\n');
    let was_written = SINK.with(|sink| sink.get_or_init(Sink::open).write(line.as_bytes()));
    if !was_written {
        DROPPED_LINES.set(DROPPED_LINES.get() + 1);
        return;
    }
    let dropped = DROPPED_LINES.take();
    if dropped > 0 {
        let line =
            format!("wheelpath-node: {dropped} log lines dropped: standard error was not writable\n");
        SINK.with(|sink| sink.get_or_init(Sink::open).write(line.as_bytes()));
    }
}

/// The destination of log lines.
enum Sink {
    /// Standard error is a pipe, and this is a second open file description of it in non-blocking mode.
    /// Setting that mode on standard error itself would change it for every process that shares standard
    /// error.
    Pipe(File),
    /// Standard error itself, because it is not a pipe or the pipe cannot be opened again. Its mode is left
    /// as it is, since other processes may write to it, too.
    Shared,
}

impl Sink {
    fn open() -> Sink {
        let is_pipe = std::fs::metadata(STANDARD_ERROR_PATH).is_ok_and(|found| found.file_type().is_fifo());
        let opened = is_pipe.then(|| {
            let mut options = File::options();
            options.write(true).custom_flags(libc::O_NONBLOCK).open(STANDARD_ERROR_PATH).ok()
        });
        opened.flatten().map_or(Sink::Shared, Sink::Pipe)
    }

    /// Writes a line if that is possible without waiting. Returns `true` if the line was written.
    fn write(&self, line: &[u8]) -> bool {
        match self {
            Sink::Pipe(pipe) => {
                let mut pipe = pipe;
                pipe.write_all(line).is_ok()
            }
            Sink::Shared => is_writable() && std::io::stderr().write_all(line).is_ok(),
        }
    }
}

/// Returns `true` if standard error can be written to without waiting.
fn is_writable() -> bool {
    let stderr = std::io::stderr();
    let mut polled = [PollFd::new(stderr.as_fd(), PollFlags::POLLOUT)];
    // If `poll` fails, the line is written all the same: a possible wait is better than a missing line.
    poll(&mut polled, PollTimeout::ZERO).is_err()
        || polled[0].revents().is_none_or(|ready| ready.contains(PollFlags::POLLOUT))
}

/// Returns `true` if `LB_TRACE` asks for the traces of all requests. The variable is read once.
pub fn traces_all_requests() -> bool {
    TRACES_ALL_REQUESTS
        .with(|all| *all.get_or_init(|| std::env::var(TRACE_VARIABLE).is_ok_and(|value| value == "all")))
}

/// Does the same as [`request`] if `LB_TRACE` asks for the traces of all requests, and nothing otherwise.
pub fn request_detail(text: impl FnOnce() -> String) {
    if traces_all_requests() {
        request(text);
    }
}

/// Writes the trace of a request, or drops it if the limit per second is used up. `text` is called only if
/// the limit allows the line.
pub fn request(text: impl FnOnce() -> String) {
    let max_lines = if traces_all_requests() { ALL_TRACES_PER_SECOND } else { TRACES_PER_SECOND };
    if let Some(suppressed) = LineBudget::take(&REQUEST_LINES, max_lines) {
        let suppressed_text =
            if suppressed > 0 { format!(" ({suppressed} more before it)") } else { String::new() };
        line_without_rate_limit(&format!("request {}{suppressed_text}", text()));
    }
}
