//! Log lines on standard error: sparse and bounded, since the loop waits while one is written.
//!
//! There are lines on the node, and one line on each request that did not go well: what it met, by its id. Both are
//! bounded in number; `LB_TRACE=all` has a line on every request.

use std::cell::{Cell, OnceCell};
use std::io::Write;
use std::time::{Duration, Instant};

/// Lines on the node in one second; more than this says nothing new.
const LINES_PER_SECOND: u32 = 20;
/// Lines on requests in one second, and where all are wanted.
const REQUESTS_PER_SECOND: u32 = 5;
const ALL_REQUESTS_PER_SECOND: u32 = 5000;
/// Has a line written on every request where it says `all`.
const TRACE: &str = "LB_TRACE";

/// So many lines in the second that began then, and so many more that were left out since one was last written.
#[derive(Clone, Copy, Default)]
struct Budget {
    begun: Option<Instant>,
    written: u32,
    left_out: u32,
}

impl Budget {
    /// Takes a line from the budget. Where that allows one, says how many were left out before it.
    fn take(cell: &'static std::thread::LocalKey<Cell<Budget>>, most: u32) -> Option<u32> {
        let mut budget = cell.get();
        let now = Instant::now();
        if budget.begun.is_none_or(|at| now.duration_since(at) >= Duration::from_secs(1)) {
            (budget.begun, budget.written) = (Some(now), 0);
        }
        let allowed = budget.written < most;
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
    static NODE: Cell<Budget> = Cell::default();
    static REQUESTS: Cell<Budget> = Cell::default();
    static ALL_REQUESTS: OnceCell<bool> = const { OnceCell::new() };
}

/// Writes a line, unless this second has had its share.
pub fn line(text: &str) {
    if Budget::take(&NODE, LINES_PER_SECOND).is_some() {
        urgent(text);
    }
}

/// Writes a line whatever has been written: for what must not happen, and happens seldom.
pub fn urgent(text: &str) {
    // A log that nobody can take must not end the node.
    let _ = writeln!(std::io::stderr(), "applemill: {text}");
}

/// A line is wanted on every request.
pub fn all_requests() -> bool {
    ALL_REQUESTS.with(|all| *all.get_or_init(|| std::env::var(TRACE).is_ok_and(|word| word == "all")))
}

/// Writes a line on a request, unless this second has had its share.
pub fn request(text: impl FnOnce() -> String) {
    let most = if all_requests() { ALL_REQUESTS_PER_SECOND } else { REQUESTS_PER_SECOND };
    if let Some(left_out) = Budget::take(&REQUESTS, most) {
        let before = if left_out > 0 { format!(" ({left_out} more before it)") } else { String::new() };
        urgent(&format!("request {}{before}", text()));
    }
}
