//! Log lines on standard error: few and bounded, since the event loop waits while one is written.
//!
//! There are lines on the node, and one line on each request that did not go well: what it met, by its id.
//! Both are bounded in number; `LB_TRACE=all` has a line on every request. A log that nobody reads must
//! neither end the node nor hold it up: a line that cannot be written at once is dropped and counted.

use nix::poll::{PollFd, PollFlags, PollTimeout, poll};
use std::cell::{Cell, OnceCell};
use std::fs::File;
use std::io::Write;
use std::os::fd::AsFd;
use std::os::unix::fs::{FileTypeExt, OpenOptionsExt};
use std::time::{Duration, Instant};

/// Lines on the node in one second; more than this says nothing new.
const LINES_PER_SECOND: u32 = 20;
/// Lines on requests in one second, and where all are wanted.
const REQUESTS_PER_SECOND: u32 = 5;
const ALL_REQUESTS_PER_SECOND: u32 = 5000;
/// Has a line written on every request where it says `all`.
const TRACE_VARIABLE: &str = "LB_TRACE";
/// The longest line, in bytes: a pipe that takes anything takes so much at once.
const MAX_LINE: usize = 4096;
const STANDARD_ERROR: &str = "/proc/self/fd/2";

/// Lines within one second.
#[derive(Clone, Copy, Default)]
struct LineBudget {
    second_began_at: Option<Instant>,
    /// Written in that second.
    written: u32,
    /// Left out since one was last written.
    left_out: u32,
}

impl LineBudget {
    /// Takes a line from the budget. Where that allows one, says how many were left out before it.
    fn take(cell: &'static std::thread::LocalKey<Cell<LineBudget>>, max_lines: u32) -> Option<u32> {
        let mut budget = cell.get();
        let now = Instant::now();
        if budget.second_began_at.is_none_or(|at| now.duration_since(at) >= Duration::from_secs(1)) {
            budget.second_began_at = Some(now);
            budget.written = 0;
        }
        let allowed = budget.written < max_lines;
        let left_out = budget.left_out;
        if allowed {
            budget.written += 1;
            budget.left_out = 0;
        } else {
            budget.left_out = left_out.saturating_add(1);
        }
        cell.set(budget);
        allowed.then_some(left_out)
    }
}

thread_local! {
    static NODE_LINES: Cell<LineBudget> = Cell::default();
    static REQUEST_LINES: Cell<LineBudget> = Cell::default();
    static ALL_REQUESTS: OnceCell<bool> = const { OnceCell::new() };
    static SINK: OnceCell<Sink> = const { OnceCell::new() };
    /// Lines that could not be written since one last was.
    static LOST_LINES: Cell<u64> = const { Cell::new(0) };
}

/// Writes a line, unless this second has had its share.
pub fn line(text: &str) {
    if LineBudget::take(&NODE_LINES, LINES_PER_SECOND).is_some() {
        urgent(text);
    }
}

/// Writes a line whatever has been written: for what must not happen, and happens seldom.
pub fn urgent(text: &str) {
    let mut line = format!("wheelpath-node: {text}");
    line.truncate(line.floor_char_boundary(MAX_LINE - 1));
    line.push('\n');
    let written = SINK.with(|sink| sink.get_or_init(Sink::open).write(line.as_bytes()));
    if !written {
        LOST_LINES.set(LOST_LINES.get() + 1);
        return;
    }
    let lost = LOST_LINES.take();
    if lost > 0 {
        let line = format!("wheelpath-node: {lost} lines of the log were lost: nobody took them\n");
        SINK.with(|sink| sink.get_or_init(Sink::open).write(line.as_bytes()));
    }
}

/// Where lines go.
enum Sink {
    /// The pipe that is standard error, opened anew: whether writes wait is then for this process alone to
    /// say.
    Pipe(File),
    /// Anything else, or a pipe that may not be opened: others may write to it, too.
    Shared,
}

impl Sink {
    fn open() -> Sink {
        let is_pipe = std::fs::metadata(STANDARD_ERROR).is_ok_and(|found| found.file_type().is_fifo());
        let opened = is_pipe.then(|| {
            let mut options = File::options();
            options.write(true).custom_flags(libc::O_NONBLOCK).open(STANDARD_ERROR).ok()
        });
        opened.flatten().map_or(Sink::Shared, Sink::Pipe)
    }

    /// Writes a line if that needs no wait; says whether it was written.
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

/// Whether standard error takes a line without a wait.
fn is_writable() -> bool {
    let stderr = std::io::stderr();
    let mut wanted = [PollFd::new(stderr.as_fd(), PollFlags::POLLOUT)];
    // Where the system cannot tell, a line is better than none.
    poll(&mut wanted, PollTimeout::ZERO).is_err()
        || wanted[0].revents().is_none_or(|ready| ready.contains(PollFlags::POLLOUT))
}

/// A line is wanted on every request.
pub fn all_requests() -> bool {
    ALL_REQUESTS
        .with(|all| *all.get_or_init(|| std::env::var(TRACE_VARIABLE).is_ok_and(|value| value == "all")))
}

/// Writes a line on a request, unless this second has had its share.
pub fn request(text: impl FnOnce() -> String) {
    let max_lines = if all_requests() { ALL_REQUESTS_PER_SECOND } else { REQUESTS_PER_SECOND };
    if let Some(left_out) = LineBudget::take(&REQUEST_LINES, max_lines) {
        let before = if left_out > 0 { format!(" ({left_out} more before it)") } else { String::new() };
        urgent(&format!("request {}{before}", text()));
    }
}
