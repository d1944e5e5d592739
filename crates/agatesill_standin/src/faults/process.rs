//! One real daemon process that can be killed, paused and started again.

use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, MutexGuard, PoisonError};

use agatesill_wire::prelude::*;
use agatesilld::prelude::Settings;

use crate::gate::Gate;

/// A daemon process with the gates in front of the store and the workers that it sees.
#[derive(Debug)]
pub struct DaemonProcess {
    /// Instance name.
    pub name: String,
    /// Where callers connect.
    pub entry_addr: SocketAddr,
    /// Where operators connect.
    pub admin_addr: SocketAddr,
    /// Between the daemon and the store.
    pub store_gate: Gate,
    /// Between the daemon and the workers.
    pub workers_gate: Gate,
    binary: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
}

impl DaemonProcess {
    /// Writes the settings into `folder`; the process is not started yet.
    pub fn prepare(
        binary: &Path,
        folder: &Path,
        settings: &Settings,
        store_gate: Gate,
        workers_gate: Gate,
    ) -> Result<Self, Error> {
        let file = folder.join(format!("{}.yaml", settings.instance));
        let text = serde_yaml_ng::to_string(settings)
            .map_err(|error| Error::new(ErrorKind::Settings, error.to_string()))?;
        std::fs::write(&file, text)?;
        Ok(Self {
            name: settings.instance.clone(),
            entry_addr: settings.entry.addr,
            admin_addr: settings.admin.addr,
            store_gate,
            workers_gate,
            binary: binary.to_owned(),
            settings: file,
            log: folder.join(format!("{}.log", settings.instance)),
            child: Mutex::new(None),
        })
    }

    /// Starts the process unless it runs.
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

    /// Kills the process without a word.
    pub fn kill(&self) {
        if let Some(mut child) = self.child().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Stops the process in the middle of whatever it does.
    pub fn pause(&self) {
        self.signal("STOP");
    }

    /// Lets a paused process go on.
    pub fn resume(&self) {
        self.signal("CONT");
    }

    /// Why the process ended by itself, if it did: an assertion inside it failed.
    pub fn ended(&self) -> Option<String> {
        let status = self.child().as_mut()?.try_wait().ok()??;
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        let last = log.lines().rev().find(|line| line.contains("panicked")).unwrap_or_default();
        Some(format!("{} ended with {status}: {last}", self.name))
    }

    /// Lines of the log that mention one of `words`.
    pub fn log_lines(&self, words: &[String]) -> Vec<String> {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        let mentions = |line: &&str| words.iter().any(|word| line.contains(word.as_str()));
        log.lines().filter(mentions).map(|line| format!("{}: {line}", self.name)).collect()
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
