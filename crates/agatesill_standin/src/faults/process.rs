//! A daemon process that can be killed, paused and restarted.

use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, MutexGuard, PoisonError};

use agatesill_wire::prelude::*;
use agatesilld::prelude::Settings;

use crate::fault_injector::FaultInjector;

/// Daemon process with fault injectors on its paths to the store and the workers.
#[derive(Debug)]
pub struct DaemonProcess {
    /// Instance name.
    pub name: String,
    /// Address for callers.
    pub entry_addr: SocketAddr,
    /// Address for operators.
    pub admin_addr: SocketAddr,
    /// Injector between the daemon and the store.
    pub store_injector: FaultInjector,
    /// Injector between the daemon and the workers.
    pub workers_injector: FaultInjector,
    binary: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
}

impl DaemonProcess {
    /// Writes the settings into `folder` without starting the process.
    pub fn prepare(
        binary: &Path,
        folder: &Path,
        settings: &Settings,
        store_injector: FaultInjector,
        workers_injector: FaultInjector,
    ) -> Result<Self, Error> {
        let file = folder.join(format!("{}.yaml", settings.instance));
        let text = serde_yaml_ng::to_string(settings)
            .map_err(|error| Error::new(ErrorKind::Settings, error.to_string()))?;
        std::fs::write(&file, text)?;
        Ok(Self {
            name: settings.instance.clone(),
            entry_addr: settings.entry.addr,
            admin_addr: settings.admin.addr,
            store_injector,
            workers_injector,
            binary: binary.to_owned(),
            settings: file,
            log: folder.join(format!("{}.log", settings.instance)),
            child: Mutex::new(None),
        })
    }

    /// Starts the process unless it is already running.
    pub fn start(&self) -> Result<(), Error> {
        let mut child = self.child();
        if child.is_some() {
            return Ok(());
        }
        let log = File::options().create(true).append(true).open(&self.log)?;
        let started = Command::new(&self.binary)
            .arg("--config")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        *child = Some(started);
        Ok(())
    }

    /// Kills the process with SIGKILL and waits for its exit.
    pub fn kill(&self) {
        if let Some(mut child) = self.child().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Suspends the process with SIGSTOP.
    pub fn pause(&self) {
        self.signal("STOP");
    }

    /// Resumes a suspended process.
    pub fn resume(&self) {
        self.signal("CONT");
    }

    /// Returns the exit status and the last panic message if the process exited by itself, which
    /// means that an assertion in it failed.
    pub fn ended(&self) -> Option<String> {
        let status = self.child().as_mut()?.try_wait().ok()??;
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        let panic_line =
            log.lines().rev().find(|line| line.contains("panicked")).unwrap_or_default();
        Some(format!("{} exited with {status}: {panic_line}", self.name))
    }

    /// Returns the log lines that contain one of `patterns`.
    pub fn log_lines(&self, patterns: &[String]) -> Vec<String> {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        let matches_pattern =
            |line: &&str| patterns.iter().any(|pattern| line.contains(pattern.as_str()));
        log.lines().filter(matches_pattern).map(|line| format!("{}: {line}", self.name)).collect()
    }

    fn signal(&self, name: &str) {
        if let Some(child) = self.child().as_ref() {
            let id = child.id().to_string();
            let _ = Command::new("kill").arg(format!("-{name}")).arg(id).status();
        }
    }

    fn child(&self) -> MutexGuard<'_, Option<Child>> {
        self.child.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
