//! One router as a process of its own.

use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// Size of a page of memory.
const PAGE_BYTES: u64 = 4096;

/// Addresses of a router; they stay when it is started again.
#[derive(Clone, Debug)]
pub(crate) struct RouterPlace {
    pub(crate) name: String,
    pub(crate) callers: SocketAddr,
    pub(crate) readiness: SocketAddr,
    pub(crate) peers: SocketAddr,
    pub(crate) schedule: SocketAddr,
    pub(crate) metrics: SocketAddr,
    pub(crate) store: SocketAddr,
    /// Memory of the process in MB, if that is limited.
    pub(crate) limit_mb: Option<u32>,
}

/// A router's process, ended with its owner.
#[derive(Debug)]
pub(crate) struct RouterProcess {
    binary: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

impl RouterProcess {
    /// Writes the settings and starts the process.
    pub(crate) fn start(
        binary: &Path,
        folder: &Path,
        place: &RouterPlace,
        seeds: &[SocketAddr],
    ) -> std::io::Result<Self> {
        let settings = folder.join(format!("{}.toml", place.name));
        std::fs::write(&settings, settings_text(place, seeds))?;
        let log = folder.join(format!("{}.log", place.name));
        let child = spawn(binary, &settings, &log)?;
        Ok(Self { binary: binary.to_owned(), settings, log, child })
    }

    /// Starts it again after its end.
    pub(crate) fn restart(&mut self) -> std::io::Result<()> {
        self.end();
        self.child = spawn(&self.binary, &self.settings, &self.log)?;
        Ok(())
    }

    /// Sends a signal to this process, by its id.
    pub(crate) fn signal(&self, signal: Signal) {
        let id = Pid::from_raw(i32::try_from(self.child.id()).unwrap_or(i32::MAX));
        if let Err(error) = kill(id, signal) {
            eprintln!("process {id} gets no {signal}: {error}");
        }
    }

    /// Whether it has ended by itself.
    pub(crate) fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_status)))
    }

    /// Its resident memory in bytes; `None` once it has ended.
    pub(crate) fn resident_bytes(&self) -> Option<u64> {
        let statm = std::fs::read_to_string(format!("/proc/{}/statm", self.child.id())).ok()?;
        let pages: u64 = statm.split(' ').nth(1)?.parse().ok()?;
        Some(pages * PAGE_BYTES)
    }

    fn end(&mut self) {
        // One that has ended needs no end.
        let _already_ended = self.child.kill();
        let _reaped = self.child.wait();
    }
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        self.end();
    }
}

fn spawn(binary: &Path, settings: &Path, log: &Path) -> std::io::Result<Child> {
    let out = File::options().create(true).append(true).open(log)?;
    let errors = out.try_clone()?;
    Command::new(binary)
        .arg("--settings")
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(out)
        .stderr(errors)
        .spawn()
}

fn settings_text(place: &RouterPlace, seeds: &[SocketAddr]) -> String {
    // Shorter than the system's own limit on bytes that a peer does not take (4 s).
    let memory = place.limit_mb.map(|limit| format!("[memory]\nlimit_mb = {limit}\nstall_s = 2\n"));
    let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
    format!(
        r#"host = "{}"
failure_domain = "domain"
[listen]
callers = "{}"
readiness = "{}"
peers = "{}"
metrics = "{}"
schedule = "{}"
[store]
address = "{}"
[peers]
seeds = [{}]
[retry]
ratio = 0.2
window_s = 10
extra = 1000
{}[lifecycle]
grace_s = 4
[orders]
lease_ms = 3000
"#,
        place.name,
        place.callers,
        place.readiness,
        place.peers,
        place.metrics,
        place.schedule,
        place.store,
        seeds.join(", "),
        memory.unwrap_or_default(),
    )
}
