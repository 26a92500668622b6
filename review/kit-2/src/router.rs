//! Starts the router's processes with the command and the template of the deploy file.

use std::fs;
use std::os::unix::process::CommandExt;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use crate::http;

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;
const SIGTERM: i32 = 15;
const SIGHUP: i32 = 1;

extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn prctl(option: i32, second: u64, third: u64, fourth: u64, fifth: u64) -> i32;
}

/// Addresses of one host.
#[derive(Clone, Debug)]
pub struct Host {
    pub name: String,
    pub zone: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    pub ports: [u16; 2],
    /// `bounds.quotaSlack`, where the deployment has it.
    pub quota_slack: Option<u32>,
}

/// An address with a free port, below those that the system draws for outgoing connections.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    loop {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = 12_000 + ((std::process::id() % 199) as u16 * 100 + step) % 20_000;
        if let Ok(listener) = TcpListener::bind((Ipv4Addr::LOCALHOST, port)) {
            return listener.local_addr().expect("an address");
        }
    }
}

impl Host {
    pub fn new(name: &str, zone: &str) -> Self {
        let at: Vec<SocketAddr> = (0..5).map(|_| free_address()).collect();
        Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            callers: at[0],
            ready: at[1],
            control: at[2],
            ports: [at[3].port(), at[4].port()],
            quota_slack: None,
        }
    }
}

/// Fills `deploy/router.toml` with the bounds of the small deployments.
fn settings(template: &str, host: &Host, seeds: &[SocketAddr], store: SocketAddr, first: bool) -> String {
    let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
    let values = [
        ("nodeName", host.name.clone()),
        ("zone", host.zone.clone()),
        ("bind.front", host.callers.to_string()),
        ("bind.ready", host.ready.to_string()),
        ("bind.control", host.control.to_string()),
        ("ip", IpAddr::V4(Ipv4Addr::LOCALHOST).to_string()),
        ("portRange.0", host.ports[0].to_string()),
        ("portRange.1", host.ports[1].to_string()),
        ("platform.address", store.to_string()),
        ("bounds.configApplyMs", "2000".to_owned()),
        ("bounds.drainMs", "2000".to_owned()),
        ("seeds|json", format!("[{}]", seeds.join(","))),
        ("limits.linkMbps", "1000.0".to_owned()),
        ("bootstrap", first.to_string()),
        ("bounds.budgetRatio", "0.2".to_owned()),
        ("bounds.budgetWindowS", "10".to_owned()),
        ("bounds.budgetExtra", "56".to_owned()),
        ("limits.memoryMb", "110".to_owned()),
        ("bounds.graceS", "8".to_owned()),
        ("bounds.leaseMs", "3000".to_owned()),
        ("bounds.quotaSlack", host.quota_slack.unwrap_or(0).to_string()),
    ];
    let mut text = String::new();
    let mut is_left_out = false;
    for line in template.lines() {
        if line.starts_with("{{#bounds.quotaSlack}}") || line.starts_with("{{/bounds.quotaSlack}}") {
            is_left_out = line.contains('#') && host.quota_slack.is_none();
            continue;
        }
        if is_left_out || line.starts_with("{{#") || line.starts_with("{{/") {
            continue;
        }
        text.push_str(line);
        text.push('\n');
    }
    for (key, value) in values {
        text = text.replace(&format!("{{{{{key}}}}}"), &value);
    }
    text
}

/// A running router process, ended on drop.
pub struct Router {
    pub host: Host,
    pub child: Child,
}

impl Router {
    /// Starts the program of the deploy file at the root of the repository.
    pub fn start(
        root: &Path,
        folder: &Path,
        host: &Host,
        seeds: &[SocketAddr],
        store: SocketAddr,
        first: bool,
    ) -> std::io::Result<Self> {
        let template = fs::read_to_string(root.join("deploy/router.toml"))?;
        let file: PathBuf = folder.join(format!("{}.toml", host.name));
        fs::write(&file, settings(&template, host, seeds, store, first))?;
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(folder.join(format!("{}.log", host.name)))?;
        let mut command = Command::new(root.join("target/release/dillspool-routerd"));
        // SAFETY: the call only asks the kernel to end the child when this process ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0);
                Ok(())
            });
        }
        let child = command
            .current_dir(root)
            .env("DILLSPOOL_CONFIG", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Self { host: host.clone(), child })
    }

    /// Writes new seeds into the settings and tells the process so.
    pub fn set_seeds(
        &self,
        root: &Path,
        folder: &Path,
        seeds: &[SocketAddr],
        store: SocketAddr,
    ) -> std::io::Result<()> {
        let template = fs::read_to_string(root.join("deploy/router.toml"))?;
        let file = folder.join(format!("{}.toml", self.host.name));
        let new = folder.join(format!("{}.new", self.host.name));
        fs::write(&new, settings(&template, &self.host, seeds, store, false))?;
        fs::rename(new, file)?;
        // SAFETY: the process is a child of this one that hasn't been waited for.
        unsafe { kill(self.child.id() as i32, SIGHUP) };
        Ok(())
    }

    /// Asks the process to leave and waits for its end, up to `grace`.
    pub fn leave(mut self, grace: Duration) {
        // SAFETY: the process is a child of this one that hasn't been waited for.
        unsafe { kill(self.child.id() as i32, SIGTERM) };
        let until = Instant::now() + grace;
        while Instant::now() < until && matches!(self.child.try_wait(), Ok(None)) {
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Waits until the host calls itself ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let asked = http::send(
                self.host.ready,
                "GET",
                "/api/readiness",
                &[("Host", "ready".to_owned())],
                &[],
                Duration::from_secs(1),
            );
            if let Ok(mut reader) = asked {
                if http::read_answer(&mut reader).is_ok_and(|(status, _, _)| status == 200) {
                    return true;
                }
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
