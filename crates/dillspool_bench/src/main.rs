//! Measures the decisions under load, and the slopes of docs/CAPACITY.md.
#![expect(clippy::cast_precision_loss, reason = "figures of a few seconds' run are far below 2^52")]

mod bound;
mod faults;
mod figures;
mod idle;
mod mix;
mod overhead;
mod plot;
mod policy;
mod report;
mod scenario;
mod slopes;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};

use crate::mix::MixName;

/// Counts what is allocated, for the slopes of memory.
#[global_allocator]
static ALLOCATED: peak_alloc::PeakAlloc = peak_alloc::PeakAlloc;

/// Measures dillspool on one machine, with stand-ins and paused time.
#[derive(Debug, Parser)]
#[command(name = "dillspool-bench")]
struct BenchArgs {
    #[command(subcommand)]
    command: Option<BenchCommand>,
    /// Which users' mix to play.
    #[arg(long, value_enum, default_value_t = MixName::HewaSafi)]
    mix: MixName,
    /// Seed of the arrivals.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Seconds of virtual time that requests arrive.
    #[arg(long, default_value_t = 30)]
    seconds: u64,
    /// Loads to play, as multiples of the capacity.
    #[arg(long, value_delimiter = ',', default_value = "0.5,1.0,1.5,2.0,3.0")]
    loads: Vec<f64>,
    /// Only this policy.
    #[arg(long, value_enum)]
    policy: Option<policy::PolicyName>,
    /// Let one decode engine die in the middle of the run and come back 10 s later.
    #[arg(long)]
    kill_engine: bool,
    /// Let the last group send this many times as much.
    #[arg(long, default_value_t = 1.0)]
    flood: f64,
    /// Folder for the figures as JSON and plots.
    #[arg(long)]
    out: Option<PathBuf>,
}

#[derive(Debug, Subcommand)]
enum BenchCommand {
    /// Measure the slopes of docs/CAPACITY.md.
    Slopes,
    /// Measure real processes at rest and under load; needs the release build.
    Processes,
    /// Measure what the router adds to an answer.
    Overhead,
    /// Run processes under faults; needs the release build of the whole workspace.
    Faults,
}

fn main() -> ExitCode {
    let args = BenchArgs::parse();
    let done = match args.command {
        Some(BenchCommand::Slopes) => slopes::run(),
        Some(BenchCommand::Processes) => {
            mix::UserMix::load(args.mix).and_then(|mix| idle::run(&mix, args.seed))
        }
        Some(BenchCommand::Overhead) => overhead::run(),
        Some(BenchCommand::Faults) => {
            mix::UserMix::load(args.mix).and_then(|mix| faults::run(&mix, args.seed))
        }
        None => report::run(&args),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}
