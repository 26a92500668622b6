//! A short seeded soak of real processes; the long ones are run by hand (docs/operators/soak.md).

use std::path::Path;
use std::time::Duration;

use dillspool_soak::{SoakSettings, run_soak};

/// Seeds that run here: the first ones, and every seed that ever broke a promise, with its cause.
const SEEDS: [(u64, bool, bool, bool, &str); 5] = [
    (1, false, false, false, "a first one"),
    (2, false, false, false, "a first one"),
    (3, true, false, false, "a first one with restarts under an id and spoiled rows"),
    (4, true, true, false, "a first one with requests that crash what runs them"),
    (5, false, false, true, "a first one with backend servers that name how much they take"),
];

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_promise_is_broken() {
    let mut running = tokio::task::JoinSet::new();
    for (seed, restarts, deadly, limits, cause) in SEEDS {
        let settings = SoakSettings {
            binary: env!("CARGO_BIN_EXE_dillspool-routerd").into(),
            seed,
            hosts: 3,
            span: Duration::from_secs(6),
            call_every: Duration::from_millis(10),
            restarts,
            deadly,
            limits,
            folder: Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}")),
        };
        running.spawn(async move { (seed, cause, run_soak(settings).await) });
    }
    while let Some(ended) = running.join_next().await {
        let (seed, cause, report) = ended.expect("no panic");
        let report = report.expect("the soak can be run");
        assert_eq!(report.violations, [], "seed {seed} ({cause})");
        assert!(report.served > 0, "seed {seed} served nothing");
    }
}
