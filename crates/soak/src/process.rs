//! Starts, signals and restarts real processes of the system.

use std::{
    fs::{self, OpenOptions},
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    time::{Duration, Instant},
};

use anyhow::Context;
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};

/// The interval at which a process is polled for its exit.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The command that starts a process.
#[derive(Clone, Debug)]
pub(crate) struct Program {
    pub(crate) binary: PathBuf,
    pub(crate) command: &'static str,
    pub(crate) settings: PathBuf,
    /// Mechanisms that are disabled.
    pub(crate) without: Vec<String>,
    pub(crate) log: PathBuf,
}

/// A running process; it is killed when this is dropped.
pub(crate) struct Process {
    program: Program,
    child: Child,
    incarnation: u64,
}

impl Program {
    /// Writes the settings file and builds the command that uses it.
    ///
    /// Fails if the file can't be written.
    pub(crate) fn new(
        binary: &Path,
        command: &'static str,
        folder: &Path,
        name: &str,
        settings: &str,
    ) -> anyhow::Result<Program> {
        let path = folder.join(format!("{name}.conf"));
        fs::write(&path, settings).with_context(|| format!("write {}", path.display()))?;
        let log = folder.join(format!("{name}.log"));
        Ok(Program { binary: binary.to_owned(), command, settings: path, without: Vec::new(), log })
    }

    fn spawn(&self) -> anyhow::Result<Child> {
        let log = OpenOptions::new().create(true).append(true).open(&self.log)?;
        Command::new(&self.binary)
            .arg(self.command)
            .arg("--settings")
            .arg(&self.settings)
            .args(self.without.iter().flat_map(|mechanism| ["--without", mechanism]))
            .stderr(Stdio::from(log.try_clone()?))
            .stdout(Stdio::from(log))
            .spawn()
            .with_context(|| format!("start {}", self.binary.display()))
    }
}

impl Process {
    pub(crate) fn start(program: Program) -> anyhow::Result<Process> {
        let child = program.spawn()?;
        Ok(Process { program, child, incarnation: 1 })
    }

    /// Starts the next incarnation of a process that has exited.
    pub(crate) fn restart(&mut self) -> anyhow::Result<()> {
        self.child = self.program.spawn()?;
        self.incarnation += 1;
        Ok(())
    }

    /// The incarnation number: how often the process was started.
    pub(crate) fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Sends a signal unless the process has exited.
    pub(crate) fn signal(&mut self, signal: Signal) -> anyhow::Result<()> {
        if self.exit_status()?.is_none() {
            kill(Pid::from_raw(self.child.id() as i32), signal)?;
        }
        Ok(())
    }

    /// The exit status, if the process has exited.
    pub(crate) fn exit_status(&mut self) -> anyhow::Result<Option<ExitStatus>> {
        Ok(self.child.try_wait()?)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both fail if it has exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Waits until a process has exited; `None` after the time limit.
pub(crate) async fn wait_for_exit(
    mut exit_status: impl FnMut() -> anyhow::Result<Option<ExitStatus>>,
    limit: Duration,
) -> anyhow::Result<Option<ExitStatus>> {
    let deadline = Instant::now() + limit;
    loop {
        match exit_status()? {
            None if Instant::now() < deadline => tokio::time::sleep(POLL_INTERVAL).await,
            status => return Ok(status),
        }
    }
}
