//! A short seeded soak of real processes; the long ones are run by hand (docs/operators/soak.md).

use std::path::Path;
use std::time::Duration;

use dillspool_soak::SoakTrouble::{Deadly, Limits, Notices, Restarts, Restored, SlowPeers};
use dillspool_soak::{SoakSettings, SoakTrouble, run_soak};

/// Seeds that run here: the first ones, and every seed that ever broke a promise, with its cause.
const SEEDS: [SoakCase; 8] = [
    SoakCase { seed: 1, troubles: &[], cause: "a first one" },
    SoakCase { seed: 2, troubles: &[], cause: "a first one" },
    SoakCase { seed: 3, troubles: &[Restarts], cause: "starts under one id, spoiled rows" },
    SoakCase {
        seed: 4,
        troubles: &[Restarts, Deadly],
        cause: "requests that crash what runs them",
    },
    SoakCase { seed: 5, troubles: &[Limits], cause: "servers that name how much they take" },
    SoakCase { seed: 6, troubles: &[Notices], cause: "servers that leave, or ask for rest" },
    SoakCase { seed: 7, troubles: &[Restored], cause: "a store that comes back from copies" },
    SoakCase { seed: 8, troubles: &[SlowPeers], cause: "peers that read and send slowly" },
];

/// A seed, what it plays, and why it is here.
struct SoakCase {
    seed: u64,
    troubles: &'static [SoakTrouble],
    cause: &'static str,
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_promise_is_broken() {
    let mut running = tokio::task::JoinSet::new();
    for SoakCase { seed, troubles, cause } in SEEDS {
        let settings = SoakSettings {
            binary: env!("CARGO_BIN_EXE_dillspool-routerd").into(),
            seed,
            hosts: 3,
            span: Duration::from_secs(6),
            call_every: Duration::from_millis(10),
            troubles: troubles.to_vec(),
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
