//! The daemon of an entry host.

use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use dillspool_config::load_settings;
use dillspool_host::{HostDaemon, HostEnvironment};
use dillspool_io::{HostClock, NetStack, WallClock};
use dillspool_log::{LineFormat, LogSetup, set_up_log};
use dillspool_schema::settings::{HostSettings, LogFormat};
use tokio::signal::unix::{SignalKind, signal};

/// Threads of the runtime at most; docs/CAPACITY.md has the measurement.
const MOST_WORKERS: usize = 2;

/// Time for the last lines of the log; they are gathered for a tenth of a second.
const LAST_LINES: Duration = Duration::from_millis(250);

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Routes requests to separate prefill and decode pools.
#[derive(Debug, Parser)]
#[command(name = "dillspoold", version)]
struct DaemonArgs {
    /// Settings file of this host.
    #[arg(long)]
    settings: PathBuf,
    /// Only check the settings; exit 0 if they are valid.
    #[arg(long)]
    check: bool,
}

fn main() -> ExitCode {
    let args = DaemonArgs::parse();
    match run(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("error: {message}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: &DaemonArgs) -> Result<(), String> {
    let settings = load_settings(&args.settings).map_err(|error| error.to_string())?;
    if args.check {
        println!("{} is valid", args.settings.display());
        return Ok(());
    }
    let drain = set_up_log(log_setup(&settings)?).map_err(|error| error.to_string())?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(worker_threads())
        .enable_all()
        .build()
        .map_err(|error| {
            format!("cannot start the runtime: {error}; check the limits on threads")
        })?;
    let served = runtime.block_on(serve(settings));
    drain.wait(LAST_LINES);
    served
}

fn log_setup(settings: &HostSettings) -> Result<LogSetup, String> {
    let log = settings.log.as_ref();
    let level = log.map_or("info", |log| &*log.level);
    let remedy = "give error, warn, info, debug or trace";
    Ok(LogSetup {
        host: std::sync::Arc::clone(&settings.host),
        level: level.parse().map_err(|_none| format!("log.level is `{level}`: {remedy}"))?,
        format: match log.map(|log| log.format) {
            None | Some(LogFormat::Text) => LineFormat::Text,
            Some(LogFormat::Json) => LineFormat::Json,
        },
    })
}

/// Entry hosts are small: more threads cost wake-ups and memory and bring nothing.
fn worker_threads() -> usize {
    let cores = std::thread::available_parallelism().map_or(1, std::num::NonZero::get);
    cores.min(MOST_WORKERS)
}

async fn serve(settings: HostSettings) -> Result<(), String> {
    let clock = WallClock::system();
    // Hosts that start together differ by their names and start times.
    let seed = clock.now().0 ^ u64::from(std::process::id());
    let host_clock = HostClock::boot();
    let environment = HostEnvironment {
        stack: NetStack::tcp(),
        clock,
        host_clock,
        seed,
        placement_override: None,
    };
    let daemon =
        HostDaemon::start(settings, environment).await.map_err(|error| error.to_string())?;
    print_addresses(&daemon)
        .map_err(|error| format!("cannot write to standard output: {error}"))?;
    wait_for_end(&daemon).await.map_err(|error| format!("cannot wait for signals: {error}"))?;
    daemon.drain().await;
    Ok(())
}

/// Tells whoever started the process which ports the system chose.
fn print_addresses(daemon: &HostDaemon) -> std::io::Result<()> {
    let mut out = std::io::stdout();
    writeln!(out, "callers {}", daemon.addresses.callers)?;
    writeln!(out, "operators {}", daemon.addresses.operators)?;
    writeln!(out, "peers {}", daemon.addresses.peers)?;
    out.flush()
}

async fn wait_for_end(daemon: &HostDaemon) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        _ = terminate.recv() => {}
        interrupted = tokio::signal::ctrl_c() => interrupted?,
        () = daemon.drain_requested() => {}
    }
    Ok(())
}
