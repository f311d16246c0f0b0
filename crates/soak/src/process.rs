//! A real process of the system: started, signalled, and started again.

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

/// How often the end of a process is looked for.
const POLL: Duration = Duration::from_millis(20);

/// How a process is started.
#[derive(Clone, Debug)]
pub(crate) struct Program {
    pub(crate) binary: PathBuf,
    pub(crate) command: &'static str,
    pub(crate) settings: PathBuf,
    /// Mechanisms that are switched off.
    pub(crate) without: Vec<String>,
    pub(crate) log: PathBuf,
}

/// A running process; it is killed when this is dropped.
pub(crate) struct Process {
    program: Program,
    child: Child,
    life: u64,
}

impl Program {
    /// Writes the settings, and says how to start a process with them.
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
        Ok(Process { program, child, life: 1 })
    }

    /// Starts it again, once it has ended.
    pub(crate) fn start_again(&mut self) -> anyhow::Result<()> {
        self.child = self.program.spawn()?;
        self.life += 1;
        Ok(())
    }

    /// Counts its starts.
    pub(crate) fn life(&self) -> u64 {
        self.life
    }

    /// Sends a signal, if it is still there.
    pub(crate) fn signal(&mut self, signal: Signal) -> anyhow::Result<()> {
        if self.ended()?.is_none() {
            kill(Pid::from_raw(self.child.id() as i32), signal)?;
        }
        Ok(())
    }

    /// How it has ended, if it has.
    pub(crate) fn ended(&mut self) -> anyhow::Result<Option<ExitStatus>> {
        Ok(self.child.try_wait()?)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Waits until a process has ended; `None` if it takes too long.
pub(crate) async fn wait_for_end(
    mut ended: impl FnMut() -> anyhow::Result<Option<ExitStatus>>,
    limit: Duration,
) -> anyhow::Result<Option<ExitStatus>> {
    let until = Instant::now() + limit;
    loop {
        match ended()? {
            None if Instant::now() < until => tokio::time::sleep(POLL).await,
            ended => return Ok(ended),
        }
    }
}
