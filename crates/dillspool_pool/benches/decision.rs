//! Measures one scheduling decision, from submit to release, for pools of different sizes.

use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use dillspool_config::{ConfigSnapshot, ConfigVersion, parse_configuration};
use dillspool_pool::PoolState;
use dillspool_schema::StreamId;
use dillspool_schema::messages::{ReleaseCause, ReleaseMessage, ReserveMessage};
use tokio::time::Instant;

/// Number of groups projected for two years from now.
const GROUPS: u32 = 6900;

fn snapshot(engines: u32) -> Arc<ConfigSnapshot> {
    let mut text = "[policy]\ngoodput_weight = 60\n[[pool]]\nname = \"p\"\nmodel = \"m\"\n\
                    kv_bytes_per_token = 160000\nkv_lifetime_ms = 800\n"
        .to_owned();
    for group in 0..GROUPS {
        // Writing to a string cannot fail.
        let _infallible = write!(
            text,
            "[[group]]\nname = \"g{group}\"\nshare = 1\npriority = 1\nfirst_token_ms = 360\n\
             per_token_ms = 35\n"
        );
    }
    for engine in 0..engines {
        let role = if engine % 3 == 0 { "prefill" } else { "decode" };
        let _infallible = write!(
            text,
            "[[backend]]\nname = \"e{engine}\"\nrole = \"{role}\"\npool = \"p\"\n\
             address = \"10.0.0.1:{}\"\nfailure_domain = \"d\"\nslots = 20\n",
            engine + 1
        );
    }
    let configuration = parse_configuration("bench", &text).expect("it is valid");
    Arc::new(ConfigSnapshot::new(ConfigVersion(1), configuration))
}

fn decide(state: &mut PoolState, now: Instant, number: u64) {
    let stream = StreamId { host: "entry-1".into(), incarnation: 1, sequence: number };
    let message = ReserveMessage {
        stream: stream.clone(),
        pool: "p".into(),
        group: format!("g{}", number % u64::from(GROUPS)).into(),
        prompt: 1200,
        output: 300,
        wait_ms: 350,
        prefix: 0,
        prefilled: None,
        avoid: Vec::new(),
        print: None,
    };
    state.submit(message, now);
    state.dispatch(now);
    let cause = ReleaseCause::Done;
    state.release(
        &ReleaseMessage {
            stream,
            pool: "p".into(),
            cause,
            tokens: 1,
            cached: 0,
            print: None,
            ended: None,
        },
        now,
    );
}

fn decisions(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("decision");
    for engines in [21, 128, 512] {
        let snapshot = snapshot(engines);
        let pool = snapshot.pool("p").expect("it is declared");
        let mut now = Instant::now();
        let mut state = PoolState::new(pool, &snapshot, now);
        let mut number = 0;
        group.bench_function(BenchmarkId::from_parameter(engines), |bencher| {
            bencher.iter(|| {
                number += 1;
                now += Duration::from_millis(100);
                decide(&mut state, now, number);
            });
        });
    }
    group.finish();
}

criterion_group!(benches, decisions);
criterion_main!(benches);
