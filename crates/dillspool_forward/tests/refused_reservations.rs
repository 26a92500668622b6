//! An engine that reserves memory and then refuses the request is excluded for a while.

mod common;

use std::time::Duration;

use common::{ONE, ScriptedSite, Step, pool, request};
use dillspool_forward::{ForwardContext, handle_request};
use dillspool_routing::RequestKind;

struct RefusalCase {
    name: &'static str,
    /// Behavior of the engines.
    first: Step,
    second: Step,
    /// Number of sequential requests, 100 ms apart.
    requests: usize,
    /// How many of them the first and the second engine receive.
    arrivals: [usize; 2],
}

async fn send(context: &ForwardContext) {
    let mut routed = request(RequestKind::Streaming, 2, false);
    routed.route = {
        let mut route = (*routed.route).clone();
        route.objective = Duration::from_secs(1);
        route.into()
    };
    drop(handle_request(context.clone(), routed).await);
    tokio::time::sleep(Duration::from_millis(100)).await;
}

#[tokio::test(start_paused = true)]
async fn a_refusing_engine_is_excluded_for_some_seconds() {
    let complete = || Step::Stream(vec![ONE]);
    let cases = [
        RefusalCase {
            name: "one refuses: excluded after the second refusal, since the first may be due to an expired prefill result",
            first: Step::NotRun(503),
            second: complete(),
            requests: 15,
            arrivals: [2, 15],
        },
        RefusalCase {
            name: "it refuses again after two seconds, and is excluded for longer",
            first: Step::NotRun(503),
            second: complete(),
            requests: 40,
            arrivals: [3, 40],
        },
        RefusalCase {
            name: "all refuse: the engines are not at fault, so none is excluded",
            first: Step::NotRun(503),
            second: Step::NotRun(503),
            requests: 10,
            arrivals: [10, 10],
        },
    ];
    for case in cases {
        let site = ScriptedSite::default();
        site.script("decode-1", [case.first]);
        site.script("decode-2", [case.second]);
        let (context, _directory) = site.context(pool());
        for _request in 0..case.requests {
            send(&context).await;
        }
        let record = site.record.lock().unwrap();
        let count = |id| record.arrivals.iter().filter(|arrival| arrival.backend == id).count();
        assert_eq!([count("decode-1"), count("decode-2")], case.arrivals, "{}", case.name);
    }
}

/// Two directory rows have the same address. The backend server that is not there is excluded like one that is
/// unreachable or has no memory; without that each request asked it again.
#[tokio::test(start_paused = true)]
async fn an_engine_whose_address_belongs_to_another_is_excluded() {
    let site = ScriptedSite::default();
    site.script("decode-2", [Step::Stream(vec![ONE])]);
    site.moved.lock().unwrap().push("decode-1".to_owned());
    let (context, _directory) = site.context(pool());
    for _request in 0..20 {
        send(&context).await;
    }
    let record = site.record.lock().unwrap();
    let asked = record.reservation_requests.iter().filter(|asked| *asked == "decode-1").count();
    assert_eq!(record.arrivals.len(), 20);
    assert!((1..=4).contains(&asked), "asked {asked} times in two seconds");
}
