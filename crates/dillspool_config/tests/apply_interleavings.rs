//! Concurrent applies while the table fails: each version is committed exactly once.

use std::collections::BTreeSet;
use std::time::Duration;

use dillspool_cases::{commit_fault, fixed_cases, run_paused};
use dillspool_config::{
    AppliedConfig, ApplyError, ConfigStore, ConfigVersion, parse_configuration,
};
use dillspool_io::{UnixMillis, WallClock};
use dillspool_platform::{MemoryObjects, MemoryTable, StoreFault};
use dillspool_schema::Name;
use dillspool_schema::configuration::Configuration;
use proptest::prelude::*;

#[derive(Clone, Debug)]
struct ApplyAttempt {
    at_ms: u64,
    share: u32,
}

#[derive(Clone, Debug)]
struct ApplyRace {
    attempts: Vec<ApplyAttempt>,
    faults: Vec<StoreFault>,
}

fn race() -> impl Strategy<Value = ApplyRace> {
    let fields = (0_u64..3000, 1_u32..1000);
    let attempt = fields.prop_map(|(at_ms, share)| ApplyAttempt { at_ms, share });
    (proptest::collection::vec(attempt, 1..7), proptest::collection::vec(commit_fault(2000), 0..8))
        .prop_map(|(attempts, faults)| ApplyRace { attempts, faults })
}

fn configuration(share: u32) -> Configuration {
    let text = format!(
        "[policy]\ngoodput_weight = 50\n[[group]]\nname = \"a\"\nshare = {share}\npriority = 0\n\
         first_token_ms = 400\nper_token_ms = 35\n"
    );
    parse_configuration("test", &text).expect("it is valid")
}

async fn run_race(race: ApplyRace) {
    let (table, objects) = (MemoryTable::new(), MemoryObjects::new());
    let clock = WallClock::tokio(UnixMillis(1));
    let store = ConfigStore::new(table.store(), objects.store(), clock);
    table.fail_commits(race.faults);
    let mut racing = tokio::task::JoinSet::new();
    for (number, attempt) in race.attempts.into_iter().enumerate() {
        let store = store.clone();
        let token: Name = format!("attempt-{number}").into();
        racing.spawn(async move {
            tokio::time::sleep(Duration::from_millis(attempt.at_ms)).await;
            let next = configuration(attempt.share);
            let applied = store.apply(None, &next, "operator".into(), Name::clone(&token)).await;
            (token, applied)
        });
    }
    let outcomes = racing.join_all().await;
    table.clear_faults();
    tokio::time::sleep(Duration::from_mins(1)).await;
    check(&store, outcomes).await;
}

async fn check(store: &ConfigStore, outcomes: Vec<(Name, Result<AppliedConfig, ApplyError>)>) {
    let rows = store.audit(ConfigVersion(0), 100).await.expect("the table answers");
    let versions: Vec<u64> = rows.iter().map(|row| row.to.0).collect();
    let expected: Vec<u64> = (1..=rows.len() as u64).collect();
    assert_eq!(versions, expected, "each version has exactly one audit row");
    let tokens: BTreeSet<Name> = rows.iter().map(|row| Name::clone(&row.token)).collect();
    assert_eq!(tokens.len(), rows.len(), "no attempt is committed twice");
    for (token, outcome) in outcomes {
        let took_effect = tokens.contains(&token);
        match outcome {
            Ok(applied) if applied.changes.is_empty() => assert!(!took_effect),
            Ok(applied) => {
                let row = rows.iter().find(|row| row.token == token);
                assert_eq!(
                    row.map(|row| row.to),
                    Some(applied.version),
                    "the attempt returned its own version"
                );
            }
            Err(ApplyError::LostRace { .. } | ApplyError::NotApplied { .. }) => {
                assert!(!took_effect, "{token} reported a failure but was committed");
            }
            Err(ApplyError::Unclear { .. }) => {}
            Err(error @ ApplyError::Corrupt { .. }) => panic!("{error}"),
        }
    }
    let Some(head) = store.head().await.expect("the table answers") else {
        assert!(rows.is_empty());
        return;
    };
    assert_eq!(head.version.0, rows.len() as u64);
    store.fetch(&head, None).await.expect("the newest configuration can be read");
}

proptest! {
    #![proptest_config(fixed_cases(256))]

    #[test]
    fn concurrent_applies_commit_each_version_once(race in race()) {
        run_paused(run_race(race));
    }
}
