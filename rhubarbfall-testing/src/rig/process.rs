use std::ffi::OsStr;
use std::io::{self, BufRead, BufReader};
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

/// How often an exit is looked for.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A process that a test has started; it is killed when this is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    first_line: Value,
}

impl Process {
    /// Starts a program and waits for its first line on the standard output, which is JSON.
    ///
    /// # Errors
    ///
    /// Any error of the system, or a first line that is not JSON.
    pub fn start<A: AsRef<OsStr>>(
        program: impl AsRef<Path>,
        arguments: impl IntoIterator<Item = A>,
    ) -> io::Result<Self> {
        let mut child = Command::new(program.as_ref())
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        let stdout = child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line)?;
        let first_line = serde_json::from_str(&line)?;
        Ok(Self { child, first_line })
    }

    /// Returns an address that the first line names.
    ///
    /// # Panics
    ///
    /// When the first line names no such address.
    #[must_use]
    pub fn address(&self, name: &str) -> std::net::SocketAddr {
        self.first_line[name]
            .as_str()
            .and_then(|text| text.parse().ok())
            .unwrap_or_else(|| panic!("the process named no address {name:?}: {}", self.first_line))
    }

    /// Returns the process's identifier.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Freezes the process with SIGSTOP.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets a frozen process go on.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Begins a planned stop with SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Kills the process and waits until it is gone.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for the process to exit by itself; nothing when it has not done so in time.
    pub fn wait_exit(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            std::thread::sleep(EXIT_POLL_INTERVAL);
        }
        None
    }

    fn signal(&self, signal: Signal) {
        if let Some(id) = Pid::from_raw(self.child.id().cast_signed()) {
            let _ = kill_process(id, signal);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
