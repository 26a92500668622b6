//! An engine that reserves memory and then refuses the request is left alone for a while.

mod common;

use std::time::Duration;

use common::{ONE, ScriptedSite, Step, pool, request};
use dillspool_forward::{ForwardContext, handle_request};
use dillspool_routing::RequestKind;

struct RefusingCase {
    name: &'static str,
    /// What the engines do.
    first: Step,
    second: Step,
    /// Requests one after another, a hundred milliseconds apart.
    requests: usize,
    /// How many of them reach the first and the second engine.
    arrivals: [usize; 2],
}

async fn ask(context: &ForwardContext) {
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
async fn it_gets_requests_again_after_some_seconds() {
    let whole = || Step::Stream(vec![ONE]);
    let cases = [
        RefusingCase {
            name: "one refuses: the second time, since the prefill's result may have been gone before",
            first: Step::NotRun(503),
            second: whole(),
            requests: 15,
            arrivals: [2, 15],
        },
        RefusingCase {
            name: "it refuses again after two seconds, and is left alone for longer",
            first: Step::NotRun(503),
            second: whole(),
            requests: 40,
            arrivals: [3, 40],
        },
        RefusingCase {
            name: "all refuse: that is not theirs, and they are asked as ever",
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
            ask(&context).await;
        }
        let record = site.record.lock().unwrap();
        let count = |id| record.arrivals.iter().filter(|arrival| arrival.backend == id).count();
        assert_eq!([count("decode-1"), count("decode-2")], case.arrivals, "{}", case.name);
    }
}

/// Two rows claim one address: the backend server that is not there is left alone like one that cannot be
/// reached or has no memory, and not asked again with each request.
#[tokio::test(start_paused = true)]
async fn an_engine_whose_address_is_anothers_is_left_alone() {
    let site = ScriptedSite::default();
    site.script("decode-2", [Step::Stream(vec![ONE])]);
    site.moved.lock().unwrap().push("decode-1".to_owned());
    let (context, _directory) = site.context(pool());
    for _request in 0..20 {
        ask(&context).await;
    }
    let record = site.record.lock().unwrap();
    let asked = record.hold_asks.iter().filter(|asked| *asked == "decode-1").count();
    assert_eq!(record.arrivals.len(), 20);
    assert!((1..=4).contains(&asked), "asked {asked} times in two seconds");
}
