//! System calls that fail in a node under test: the preloaded library of `tests/shim/faults.c`.
#![allow(dead_code)]

use std::fs::File;
use std::io::Write;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU32, Ordering};

/// What can be made to fail, in the order of the library's control file. A rate of N fails one call in N.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u64)]
pub enum FaultSetting {
    Seed,
    WallOffsetMs,
    InterruptedIo,
    ShortIo,
    ShortIoBytes,
    InterruptedWait,
    FailedAccept,
    FailedConnect,
    FailedSocket,
    BrokenConnection,
    DelayedSend,
    DelayMs,
    FailedWrite,
    PartialWrite,
    FailedSync,
    FailedRename,
    KillDuringWrite,
    DelayedRename,
}

const NUMBERS: usize = FaultSetting::DelayedRename as usize + 1;

/// The library, built once for each test binary.
fn library() -> &'static Path {
    static LIBRARY: OnceLock<PathBuf> = OnceLock::new();
    LIBRARY.get_or_init(|| {
        let path = std::env::temp_dir().join(format!("libfaults-{}.so", std::process::id()));
        let mut compile = Command::new("cc");
        compile.args(["-O2", "-Wall", "-Wextra", "-Werror", "-shared", "-fPIC", "-o"]).arg(&path);
        let mut compiler = compile.args(["-x", "c", "-", "-ldl"]).stdin(Stdio::piped()).spawn().unwrap();
        compiler.stdin.take().unwrap().write_all(include_bytes!("../shim/faults.c")).unwrap();
        assert!(compiler.wait().unwrap().success(), "tests/shim/faults.c does not compile");
        path
    })
}

/// The faults of one process or of several, which can be changed while they run.
pub struct SyscallFaults {
    path: PathBuf,
    file: File,
}

impl SyscallFaults {
    /// With no fault set yet.
    pub fn new(seed: i64) -> SyscallFaults {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let n = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("faults-{}-{n}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, vec![0; NUMBERS * 8]).unwrap();
        let file = File::options().write(true).open(&path).unwrap();
        let faults = SyscallFaults { path, file };
        faults.set(FaultSetting::Seed, seed);
        faults
    }

    pub fn set(&self, fault: FaultSetting, value: i64) {
        self.file.write_all_at(&value.to_ne_bytes(), fault as u64 * 8).unwrap();
    }

    /// Has a process meet them.
    pub fn preload(&self, command: &mut Command) {
        command.env("LD_PRELOAD", library()).env("FAULTS_CONTROL", &self.path);
    }
}

impl Drop for SyscallFaults {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}
