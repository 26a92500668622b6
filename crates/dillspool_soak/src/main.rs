//! Soaks the router with seeds in turn.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use dillspool_soak::{SoakSettings, SoakTrouble, run_soak};

/// Injects faults into real router processes and checks the promises.
#[derive(Debug, Parser)]
#[expect(clippy::struct_excessive_bools, reason = "each is a flag of the command line")]
#[command(name = "dillspool-soak", version)]
struct SoakArgs {
    /// The router's program; by default the one beside this one.
    #[arg(long)]
    binary: Option<PathBuf>,
    /// First seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Seeds to run, one after another.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Seeds that run at once.
    #[arg(long, default_value_t = 1)]
    at_once: usize,
    /// Hosts.
    #[arg(long, default_value_t = 3)]
    hosts: usize,
    /// Seconds during which faults strike.
    #[arg(long, default_value_t = 15)]
    seconds: u64,
    /// Also start backend servers again under their ids, and spoil rows.
    #[arg(long)]
    restarts: bool,
    /// Also send requests that crash what runs them, over and over.
    #[arg(long)]
    deadly: bool,
    /// Also send prompts that share a part which crashes engines.
    #[arg(long)]
    deadly_parts: bool,
    /// Also have backend servers name how much they take.
    #[arg(long)]
    limits: bool,
    /// Also have backend servers say that they leave, and ask for rest.
    #[arg(long)]
    notices: bool,
    /// The store comes back from copies that are some seconds old.
    #[arg(long)]
    restored: bool,
    /// Also have callers and backend servers read and send slowly, or not at all.
    #[arg(long)]
    slow_readers: bool,
    /// Also have engines of two software versions, and callers that take streams up again.
    #[arg(long)]
    versions: bool,
    /// Folder of settings and logs; that of a seed without a broken promise is removed.
    #[arg(long, default_value = "target/soak")]
    folder: PathBuf,
}

#[tokio::main]
async fn main() -> ExitCode {
    let args = SoakArgs::parse();
    let mut running = tokio::task::JoinSet::new();
    let mut broken = 0;
    for seed in args.seed..args.seed + args.seeds {
        running.spawn(soak(settings(&args, seed)));
        if running.len() >= args.at_once
            && let Some(Ok(failed)) = running.join_next().await
        {
            broken += u64::from(failed);
        }
    }
    while let Some(Ok(failed)) = running.join_next().await {
        broken += u64::from(failed);
    }
    println!("{} seeds, {broken} with a broken promise", args.seeds);
    if broken == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn settings(args: &SoakArgs, seed: u64) -> SoakSettings {
    let beside = std::env::current_exe().unwrap_or_default().with_file_name("dillspool-routerd");
    SoakSettings {
        binary: args.binary.clone().unwrap_or(beside),
        seed,
        hosts: args.hosts,
        span: Duration::from_secs(args.seconds),
        call_every: Duration::from_millis(10),
        troubles: troubles(args),
        folder: args.folder.join(seed.to_string()),
    }
}

fn troubles(args: &SoakArgs) -> Vec<SoakTrouble> {
    let flags = [
        (args.restarts, SoakTrouble::Restarts),
        (args.deadly, SoakTrouble::Deadly),
        (args.deadly_parts, SoakTrouble::DeadlyParts),
        (args.limits, SoakTrouble::Limits),
        (args.notices, SoakTrouble::Notices),
        (args.restored, SoakTrouble::Restored),
        (args.slow_readers, SoakTrouble::SlowPeers),
        (args.versions, SoakTrouble::Versions),
    ];
    flags.into_iter().filter_map(|(is_set, trouble)| is_set.then_some(trouble)).collect()
}

/// Runs one seed; whether it failed.
async fn soak(settings: SoakSettings) -> bool {
    let (seed, folder) = (settings.seed, settings.folder.clone());
    let report = match run_soak(settings).await {
        Ok(report) => report,
        Err(error) => {
            println!("seed {seed}: cannot be run: {error}");
            return true;
        }
    };
    println!(
        "seed {seed}: {} calls, {} served, {} faults, {} ends at most, {} crashes by a part, {} broken promises",
        report.calls,
        report.served,
        report.faults,
        report.most_ends,
        report.part_crashes,
        report.violations.len()
    );
    if !report.resumptions.is_empty() {
        println!("seed {seed}: {}", report.resumptions);
    }
    for violation in &report.violations {
        println!("seed {seed}: {violation}");
    }
    if report.violations.is_empty() {
        // The logs of a good seed are of no use; what cannot be removed is left.
        let _left_behind = std::fs::remove_dir_all(&folder);
        return false;
    }
    println!("seed {seed}: logs in {}", folder.display());
    true
}
