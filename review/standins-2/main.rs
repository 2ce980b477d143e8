//! The cases of the second review, one for each name. Usage: `standins NAME FOLDER`.

mod common;
mod quiet_release;
mod second_answer;
mod silence;
mod slow_bodies;
mod stale_list;
mod transfer_coding;
mod unsafe_only;

use std::path::Path;
use std::sync::atomic::Ordering;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = &arguments[..] else {
        eprintln!("usage: standins NAME FOLDER");
        std::process::exit(2);
    };
    let folder = Path::new(folder);
    let is_over = common::limit_time(common::ms(112_000));
    let code = match name.as_str() {
        "slow-bodies" => slow_bodies::run(folder),
        "second-answer" => second_answer::run(folder),
        "stale-list" => stale_list::run(folder),
        "transfer-coding" => transfer_coding::run(folder),
        "unsafe-only" => unsafe_only::run(folder),
        "quiet-release" => quiet_release::run(folder),
        _ => 2,
    };
    is_over.store(true, Ordering::SeqCst);
    std::process::exit(code);
}
