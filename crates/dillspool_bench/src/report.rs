//! Runs all policies at all loads and prints what came of them.

use std::sync::Mutex;

use crate::BenchArgs;
use crate::figures::{RunFigures, percent};
use crate::mix::UserMix;
use crate::plot::plot_goodput;
use crate::policy::{POLICIES, PolicyName};
use crate::scenario::{RunPlan, run_scenario};

/// Runs at once; each is one thread under paused time.
const THREADS: usize = 6;

pub(crate) fn run(args: &BenchArgs) -> Result<(), String> {
    let mix = UserMix::load(args.mix)?;
    println!(
        "mix {:?}, capacity {:.1} requests/s, {} s of arrivals, seed {}",
        mix.name,
        mix.capacity(),
        args.seconds,
        args.seed
    );
    let policies: Vec<PolicyName> =
        POLICIES.into_iter().filter(|it| args.policy.is_none_or(|only| only == *it)).collect();
    let mut jobs: Vec<(PolicyName, f64)> = Vec::new();
    for load in &args.loads {
        jobs.extend(policies.iter().map(|policy| (*policy, *load)));
    }
    let mut figures = run_jobs(&mix, &jobs, args)?;
    figures.sort_by(|a, b| a.load.total_cmp(&b.load));
    print_totals(&figures);
    print_groups(&figures);
    if let Some(folder) = &args.out {
        let named =
            |error: std::io::Error| format!("cannot write to {}: {error}", folder.display());
        std::fs::create_dir_all(folder).map_err(named)?;
        let text = serde_json::to_string_pretty(&figures).map_err(|error| error.to_string())?;
        std::fs::write(folder.join("figures.json"), text).map_err(named)?;
        plot_goodput(&figures, &folder.join("goodput.svg"))?;
    }
    let broken = figures.iter().filter(|it| it.wrong + it.held_after > 0 || it.doubled > 0);
    match broken.count() {
        0 => Ok(()),
        count => Err(format!("{count} runs broke a promise: see wrong, doubled and held")),
    }
}

fn run_jobs(
    mix: &UserMix,
    jobs: &[(PolicyName, f64)],
    args: &BenchArgs,
) -> Result<Vec<RunFigures>, String> {
    let next = Mutex::new(0_usize);
    let done = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        let mut workers = Vec::new();
        for _ in 0..THREADS.min(jobs.len()) {
            workers.push(scope.spawn(|| {
                loop {
                    let index = {
                        let mut next = next.lock().map_err(|error| error.to_string())?;
                        *next += 1;
                        *next - 1
                    };
                    let Some((policy, load)) = jobs.get(index) else {
                        return Ok::<(), String>(());
                    };
                    let plan = RunPlan {
                        policy: *policy,
                        load: *load,
                        seconds: args.seconds,
                        seed: args.seed,
                        kill_engine: args.kill_engine,
                        flood: args.flood,
                    };
                    let result = run_scenario(mix, plan)?;
                    let figures = RunFigures::of(mix, policy.text(), *load, args.seconds, &result);
                    done.lock().map_err(|error| error.to_string())?.push((index, figures));
                }
            }));
        }
        for worker in workers {
            worker.join().map_err(|_panic| "a run ended in a panic".to_owned())??;
        }
        Ok::<(), String>(())
    })?;
    let mut figures = done.into_inner().map_err(|error| error.to_string())?;
    figures.sort_by_key(|(index, _)| *index);
    Ok(figures.into_iter().map(|(_, figures)| figures).collect())
}

fn print_totals(figures: &[RunFigures]) {
    println!(
        "\n{:<14} {:>5} {:>7} {:>7} {:>9} {:>7} {:>9} {:>8} {:>6} {:>6} {:>8} {:>5}",
        "POLICY",
        "LOAD",
        "GOOD",
        "BOUND",
        "OF BOUND",
        "STRICT",
        "PREFILLS",
        "WASTED%",
        "SHARE",
        "WRONG",
        "DOUBLED",
        "HELD"
    );
    for run in figures {
        println!(
            "{:<14} {:>5.1} {:>7} {:>7} {:>8.1}% {:>7} {:>9} {:>8.2} {:>6} {:>6} {:>8} {:>5}",
            run.policy,
            run.load,
            run.good,
            run.bound,
            run.part_of_bound(),
            run.strict_bound,
            run.prefills,
            run.wasted_percent(),
            run.share_error.map_or("-".to_owned(), |error| format!("{error:.1}")),
            run.wrong,
            run.doubled,
            run.held_after
        );
    }
}

fn print_groups(figures: &[RunFigures]) {
    println!(
        "\n{:<14} {:>5} {:<18} {:>6} {:>6} {:>6} {:>6} {:>7} {:>6} {:>9} {:>9} {:>9} {:>9}",
        "POLICY",
        "LOAD",
        "GROUP",
        "SENT",
        "GOOD%",
        "BOUND%",
        "LATE",
        "REFUSED",
        "FAILED",
        "FIRST p50",
        "FIRST p99",
        "TOKEN p95",
        "REFUSE p99"
    );
    for run in figures {
        for (name, group) in &run.groups {
            let staying = group.sent - group.left;
            println!(
                "{:<14} {:>5.1} {name:<18} {:>6} {:>6.1} {:>6.1} {:>6} {:>7} {:>6} {:>9.1} {:>9.1} {:>9.1} {:>9.1}",
                run.policy,
                run.load,
                group.sent,
                percent(group.good, staying),
                percent(group.bound, staying),
                group.late,
                group.refused,
                group.failed,
                group.first_token.p50,
                group.first_token.p99,
                group.per_token.p95,
                group.refusal.p99,
            );
        }
    }
}
