//! Child processes, started from binaries in the directory of the current executable.

use std::{
    env,
    fs::{self, File},
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus},
    time::{Duration, Instant},
};

use anyhow::Context;
use nix::{
    sys::signal::{self, Signal},
    unistd::Pid,
};

/// Time between two checks whether a process has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A child process whose output is appended to a file. It is killed when dropped.
#[derive(Debug)]
pub struct Process {
    binary: &'static str,
    arguments: Vec<String>,
    log_path: PathBuf,
    child: Child,
}

impl Process {
    /// Starts a binary from the directory of the current executable.
    ///
    /// # Errors
    ///
    /// If the binary is missing or cannot be started.
    pub fn start(binary: &'static str, arguments: Vec<String>, log: &Path) -> anyhow::Result<Self> {
        let child = spawn(binary, &arguments, log)?;
        Ok(Self {
            binary,
            arguments,
            log_path: log.to_owned(),
            child,
        })
    }

    /// Kills the process if it still runs and starts it again with the same arguments.
    ///
    /// # Errors
    ///
    /// As [`Self::start`].
    pub fn restart(&mut self) -> anyhow::Result<()> {
        self.kill();
        self.child = spawn(self.binary, &self.arguments, &self.log_path)?;
        Ok(())
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends a signal if the process still runs.
    ///
    /// # Errors
    ///
    /// If the system refuses the signal.
    pub fn signal(&mut self, signal: Signal) -> anyhow::Result<()> {
        if self.is_running() {
            send_signal(self.child.id(), signal)?;
        }
        Ok(())
    }

    /// Kills the process and waits until it has ended.
    pub fn kill(&mut self) {
        // Both calls fail only if the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the process ends; `None` if it still runs after `limit`.
    pub async fn wait(&mut self, limit: Duration) -> Option<ExitStatus> {
        let begun = Instant::now();
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            if begun.elapsed() >= limit {
                return None;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Output of the process so far, including earlier starts.
    pub fn log(&self) -> String {
        fs::read(&self.log_path)
            .map(|bytes| String::from_utf8_lossy(&bytes).into_owned())
            .unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Sends a signal to a process that is known to be running.
///
/// # Errors
///
/// If the system refuses the signal.
pub fn send_signal(id: u32, signal: Signal) -> anyhow::Result<()> {
    signal::kill(Pid::from_raw(i32::try_from(id)?), signal)?;
    Ok(())
}

/// Starts a binary whose output is appended to `log`.
fn spawn(binary: &str, arguments: &[String], log: &Path) -> anyhow::Result<Child> {
    let path = binary_directory()?.join(binary);
    anyhow::ensure!(
        path.exists(),
        "{} does not exist; run `cargo build --workspace --bins`",
        path.display()
    );
    let output = File::options().create(true).append(true).open(log)?;
    Command::new(&path)
        .args(arguments)
        .stdout(output.try_clone()?)
        .stderr(output)
        .spawn()
        .with_context(|| format!("{}", path.display()))
}

/// Directory of the built binaries.
///
/// # Errors
///
/// If the current executable is not known.
pub fn binary_directory() -> anyhow::Result<PathBuf> {
    let executable = env::current_exe()?;
    let directory = executable
        .parent()
        .context("the current executable has no parent directory")?;
    // Test executables are in its `deps` subdirectory.
    let above = directory.parent().filter(|_| directory.ends_with("deps"));
    Ok(above.unwrap_or(directory).to_owned())
}
