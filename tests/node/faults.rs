//! Makes system calls of a node under test fail, by the preloaded library `tests/shim/faults.c`.
#![allow(dead_code)]

use std::fs::File;
use std::io::Write;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU32, Ordering};

/// One number of the library's control file, in the order of the file. `Seed` and the names with a unit are parameters.
/// Each other number is the rate of a fault: N affects one call in N, and 0 turns the fault off. `enum setting` in the
/// library says which calls a fault affects, and how.
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

/// The number of entries in the control file.
const SETTING_COUNT: usize = FaultSetting::DelayedRename as usize + 1;

/// Builds the library, once for each test binary, and returns its path.
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

/// A control file: the faults of one or more processes, which can be changed while the processes run.
pub struct SyscallFaults {
    path: PathBuf,
    file: File,
}

impl SyscallFaults {
    /// Creates a control file without any fault. `seed` seeds the generator that chooses the calls that fail.
    pub fn new(seed: i64) -> SyscallFaults {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let n = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("faults-{}-{n}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, vec![0; SETTING_COUNT * 8]).unwrap();
        let file = File::options().write(true).open(&path).unwrap();
        let faults = SyscallFaults { path, file };
        faults.set(FaultSetting::Seed, seed);
        faults
    }

    /// Sets one number of the control file. It takes effect at once, except for `Seed`, which is read when the library
    /// is loaded.
    pub fn set(&self, setting: FaultSetting, value: i64) {
        self.file.write_all_at(&value.to_ne_bytes(), setting as u64 * 8).unwrap();
    }

    /// Makes a process that is about to be started load the library and follow this control file.
    pub fn preload(&self, command: &mut Command) {
        command.env("LD_PRELOAD", library()).env("FAULTS_CONTROL", &self.path);
    }
}

impl Drop for SyscallFaults {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}
