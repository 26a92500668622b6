//! Router daemon for hosts on a prepared platform.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use dillspool_io::{HostClock, NetStack};
use dillspool_log::{LineFormat, LogSetup, set_up_log};
use dillspool_router::{RouterConfig, RouterDaemon, SettingsWatch, load_settings};
use dillspool_routerd::prepared_platform;
use tokio::signal::unix::{SignalKind, signal};

/// Interval at which the settings file is checked for changes made without a SIGHUP.
///
/// A slow interval is enough: the seeds in the file matter only while the store is unreachable.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(5);

/// Time to flush the log at shutdown; lines are batched for 100 ms.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(250);

/// Unsent bytes that the kernel buffers per connection when held bytes are limited.
///
/// Equals two of the chunks in which response bodies are forwarded.
const MAX_UNSENT_BYTES: u32 = 64 * 1024;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Routes requests to separate prefill and decode pools on a prepared platform.
#[derive(Debug, Parser)]
#[command(name = "dillspool-routerd", version)]
struct RouterArgs {
    /// Settings file of this host.
    #[arg(long, env = "DILLSPOOL_CONFIG")]
    settings: PathBuf,
    /// Only check the settings; exit with status 0 if they are valid.
    #[arg(long)]
    check: bool,
}

fn main() -> ExitCode {
    let args = RouterArgs::parse();
    match run(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("error: {message}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: &RouterArgs) -> Result<(), String> {
    let config = load_settings(&args.settings).map_err(|error| error.to_string())?;
    if args.check {
        println!("{} is valid", args.settings.display());
        return Ok(());
    }
    let host = std::sync::Arc::clone(&config.host);
    let log_drain =
        set_up_log(LogSetup { host, level: config.log_level, format: LineFormat::Text })
            .map_err(|error| error.to_string())?;
    // A host gets a fraction of one core, so more threads would only add wake-ups.
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|error| {
            format!("cannot start the runtime: {error}; check the resource limits of the process")
        })?;
    let served = runtime.block_on(serve(args, config));
    log_drain.wait(LOG_FLUSH_TIMEOUT);
    served
}

async fn serve(args: &RouterArgs, config: RouterConfig) -> Result<(), String> {
    let describe = |error: std::io::Error| format!("cannot listen for signals: {error}");
    let mut terminate = signal(SignalKind::terminate()).map_err(describe)?;
    let mut reload = signal(SignalKind::hangup()).map_err(describe)?;
    let stack =
        NetStack::tcp_with_unsent_limit(config.held_bytes.map(|_settings| MAX_UNSENT_BYTES));
    let clock = HostClock::boot();
    let site = prepared_platform(&stack, &config, &clock);
    let daemon =
        RouterDaemon::start(config, stack, site, clock).await.map_err(|error| error.to_string())?;
    let mut watch = SettingsWatch::new(&args.settings);
    loop {
        tokio::select! {
            _signal = terminate.recv() => break,
            interrupted = tokio::signal::ctrl_c() => {
                interrupted.map_err(describe)?;
                break;
            }
            _signal = reload.recv() => reload_settings(args, &daemon),
            () = tokio::time::sleep(SETTINGS_POLL_INTERVAL) => if watch.has_changed() {
                reload_settings(args, &daemon);
            },
        }
    }
    daemon.stop().await;
    Ok(())
}

fn reload_settings(args: &RouterArgs, daemon: &RouterDaemon) {
    match load_settings(&args.settings) {
        Ok(config) => daemon.reload(config),
        Err(error) => log::error!("event=reload_refused cause=\"{error}\""),
    }
}
