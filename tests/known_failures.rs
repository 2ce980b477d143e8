//! Tests `.ci/check-known-red`, the script with which CI compares the failed tests of a run with the list of known
//! failures.

use std::path::Path;
use std::process::{Command, Output};

/// Output of two test binaries in which all tests pass.
const PASSING_LOG: &str = "\
     Running unittests src/lib.rs (target/debug/deps/library-0123456789abcdef)

running 0 tests

test result: ok. 0 passed; 0 failed; 0 ignored; 0 measured; 0 filtered out; finished in 0.00s

     Running tests/first.rs (target/debug/deps/first-0123456789abcdef)

running 2 tests
test one ... ok
test two ... ok

test result: ok. 2 passed; 0 failed; 0 ignored; 0 measured; 0 filtered out; finished in 0.00s
";

/// Output of one test binary with a failed, a passed and an ignored test.
const FAILING_LOG: &str = "\
     Running tests/second.rs (target/debug/deps/second-fedcba9876543210)

running 3 tests
test part::broken ... FAILED
test fine ... ok
test skipped ... ignored, takes long

failures:
    part::broken

test result: FAILED. 1 passed; 1 failed; 1 ignored; 0 measured; 0 filtered out; finished in 0.00s
";

/// Runs the script and returns its output. `name` names the case; `list` is the content of the list of known failures,
/// or `None` for no list file; `status` is the exit code of the test command.
fn run_script(name: &str, log: &str, list: Option<&str>, status: i32) -> Output {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("known-failures-{name}"));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    let (log_file, list_file) = (folder.join("log"), folder.join("KNOWN-RED.txt"));
    std::fs::write(&log_file, log).unwrap();
    if let Some(list) = list {
        std::fs::write(&list_file, list).unwrap();
    }
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join(".ci/check-known-red");
    let mut command = Command::new(script);
    command.arg(log_file).arg(list_file).arg(status.to_string());
    command.output().unwrap()
}

/// Runs the script, which must succeed, and returns its standard output.
fn assert_passes(name: &str, log: &str, list: Option<&str>, status: i32) -> String {
    let output = run_script(name, log, list, status);
    assert!(output.status.success(), "{name}: {}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8(output.stdout).unwrap()
}

/// Runs the script, which must fail and give `reason` on standard error.
fn assert_fails(name: &str, log: &str, list: Option<&str>, status: i32, reason: &str) {
    let output = run_script(name, log, list, status);
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(!output.status.success(), "{name}: the script succeeded");
    assert!(stderr.contains(reason), "{name}: {stderr}");
}

/// Guards against a script that fails a run without failures because no list exists or the list is empty.
#[test]
fn passing_tests_need_no_list() {
    assert_eq!(assert_passes("none", PASSING_LOG, None, 0), "");
    assert_eq!(assert_passes("empty", PASSING_LOG, Some(""), 0), "");
}

/// Guards against a known failure that fails the run, and against one that nobody sees because it is not printed.
#[test]
fn a_listed_failure_passes_and_is_printed() {
    let log = format!("{PASSING_LOG}{FAILING_LOG}");
    let line = "second::part::broken | cargo test --test second | the clock is read twice | issue 7";
    let printed = assert_passes("listed", &log, Some(line), 101);
    assert_eq!(printed, format!("known to fail: {line}\n"));
}

/// Guards against a listed test that excuses the failure of another one with a similar name.
#[test]
fn a_failure_that_is_not_listed_fails() {
    let log = format!("{PASSING_LOG}{FAILING_LOG}");
    assert_fails("unlisted", &log, None, 101, "second::part::broken failed and is not listed");
    // A test with the same name in another binary is a different test.
    let other_binary = "first::part::broken | command | seen | issue 7";
    assert_fails("other", &log, Some(other_binary), 101, "second::part::broken failed and is not listed");
    // A listed name does not cover another name that is a prefix of it.
    let longer_name = "second::part::broken_too | command | seen | issue 7";
    assert_fails("longer", &log, Some(longer_name), 101, "second::part::broken failed and is not listed");
}

/// Guards against a list with stale entries: tests that were mended, ignored, renamed or removed.
#[test]
fn a_listed_test_that_passes_or_does_not_run_fails() {
    let log = format!("{PASSING_LOG}{FAILING_LOG}");
    let list_with = |name: &str| {
        format!("second::part::broken | command | seen | issue 7\n{name} | command | seen | issue 8\n")
    };
    assert_fails("passes", &log, Some(&list_with("first::one")), 101, "first::one passes");
    assert_fails("ignored", &log, Some(&list_with("second::skipped")), 101, "second::skipped was ignored");
    assert_fails("absent", &log, Some(&list_with("third::one")), 101, "third::one did not run");
}

/// Guards against a list that grows, and against entries by which nobody can reproduce the failure or find its issue.
#[test]
fn more_than_three_entries_or_an_incomplete_one_fail() {
    let mut log = PASSING_LOG.to_owned();
    let mut list = String::new();
    for number in 1..=4 {
        log += &format!(
            "     Running tests/t{number}.rs (target/debug/deps/t{number}-00)\ntest a ... FAILED\n"
        );
        log += "test result: FAILED. 0 passed; 1 failed;\n";
        list += &format!("t{number}::a | command | seen | issue 7\n");
    }
    assert_fails("four", &log, Some(&list), 101, "4 tests are listed; at most 3 are allowed");
    let log = format!("{PASSING_LOG}{FAILING_LOG}");
    for line in [
        "second::part::broken",
        "second::part::broken | command",
        "second::part::broken | command | seen",
        "second::part::broken | command | issue 7",
        "second::part::broken | | seen | issue 7",
        "second::part::broken | command | | issue 7",
        "second::part::broken | command | seen | 7",
        "second::part::broken | command | seen | issue",
        "second part | command | seen | issue 7",
        "second::part::broken | command | seen | more | issue 7",
    ] {
        assert_fails(
            "form",
            &log,
            Some(line),
            101,
            "not in the form 'test | command and seed | observed failure | issue N'",
        );
    }
}

/// Guards against a run that counts as passed because a build error or a crash left no failed test in its log.
#[test]
fn an_incomplete_run_fails() {
    assert_fails("build", "error: could not compile\n", None, 101, "no test ran");
    assert_fails("status", PASSING_LOG, None, 101, "ended with 101 though no test failed");
    let killed_log =
        format!("{PASSING_LOG}     Running tests/third.rs (target/debug/deps/third-00)\ntest a ... ok\n");
    assert_fails("killed", &killed_log, None, 101, "3 test binaries started and 2 printed a result");
}
