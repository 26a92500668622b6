//! Runs one stand-in as a process of its own.

use std::io::Write;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Args, Parser, Subcommand};
use dillspool_io::{NetListener, NetStack};
use dillspool_standin::{EngineModel, EngineStandIn, PlainStandIn, PlatformStandIn};
use tokio_util::sync::CancellationToken;

/// Stand-ins for engines, plain services and the platform; for tests only.
#[derive(Debug, Parser)]
#[command(name = "dillspool-standin")]
struct StandInArgs {
    /// Address to listen on; port 0 lets the system choose.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Seconds after which the process ends by itself.
    #[arg(long, default_value_t = 3600)]
    live_s: u64,
    #[command(subcommand)]
    command: StandInCommand,
}

#[derive(Debug, Subcommand)]
enum StandInCommand {
    /// Table, object store and host list.
    Platform,
    /// A model engine.
    Engine(EngineArgs),
    /// A plain service.
    Plain,
}

#[derive(Debug, Args)]
struct EngineArgs {
    /// Streams decoded at once.
    #[arg(long, default_value_t = 20)]
    slots: u32,
    /// Prompt tokens prefilled a second.
    #[arg(long, default_value_t = 20_000)]
    prefill_tokens_per_s: u64,
    /// Time of a decode step of an empty batch, in microseconds.
    #[arg(long, default_value_t = 15_000)]
    step_base_us: u64,
    /// Time that each stream adds to a step, in microseconds.
    #[arg(long, default_value_t = 800)]
    step_per_stream_us: u64,
    /// Refuse orders of an older epoch.
    #[arg(long)]
    checks_fence: bool,
}

impl EngineArgs {
    fn model(&self) -> EngineModel {
        EngineModel {
            slots: self.slots,
            prefill_tokens_per_s: self.prefill_tokens_per_s,
            step_base: Duration::from_micros(self.step_base_us),
            step_per_stream: Duration::from_micros(self.step_per_stream_us),
            ..EngineModel::default()
        }
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let args = StandInArgs::parse();
    let stack = NetStack::tcp();
    let listener = match stack.listen(args.listen).await {
        Ok(listener) => listener,
        Err(error) => {
            eprintln!("error: cannot listen on {}: {error}; choose a free port", args.listen);
            return ExitCode::FAILURE;
        }
    };
    println!("listening {}", listener.local_addr());
    if std::io::stdout().flush().is_err() {
        return ExitCode::FAILURE;
    }
    let cancel = CancellationToken::new();
    start(&args.command, &stack, listener, &cancel);
    tokio::select! {
        _signal = tokio::signal::ctrl_c() => {}
        () = tokio::time::sleep(Duration::from_secs(args.live_s)) => {}
    }
    cancel.cancel();
    ExitCode::SUCCESS
}

fn start(
    command: &StandInCommand,
    stack: &NetStack,
    listener: NetListener,
    cancel: &CancellationToken,
) {
    match command {
        StandInCommand::Platform => {
            PlatformStandIn::start(listener, cancel);
        }
        StandInCommand::Engine(args) => {
            EngineStandIn::start(args.model(), stack, listener, args.checks_fence, cancel);
        }
        StandInCommand::Plain => {
            PlainStandIn::start(stack, listener, cancel);
        }
    }
}
