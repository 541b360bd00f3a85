use std::ffi::OsStr;
use std::io::{self, BufRead, BufReader};
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

/// Interval between checks whether the process has exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Process started by a test; dropping this kills it.
#[derive(Debug)]
pub struct Process {
    child: Child,
    first_line: Value,
}

impl Process {
    /// Starts a program and waits for the first line on its standard output, which must be JSON.
    ///
    /// # Errors
    ///
    /// Any I/O error, or an error if the first line is not JSON.
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

    /// Returns the address in the field `name` of the program's first output line.
    ///
    /// # Panics
    ///
    /// Panics if the line has no such field or its value is not an address.
    #[must_use]
    pub fn address(&self, name: &str) -> std::net::SocketAddr {
        self.first_line[name]
            .as_str()
            .and_then(|text| text.parse().ok())
            .unwrap_or_else(|| panic!("no address {name:?} in first line: {}", self.first_line))
    }

    /// Returns the operating system's identifier of the process.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Freezes the process with SIGSTOP until it is resumed.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes a frozen process with SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Requests a graceful stop with SIGTERM; returns at once.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Kills the process with SIGKILL and waits for its exit.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for the process to exit; returns `None` if it still runs after `timeout`.
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
