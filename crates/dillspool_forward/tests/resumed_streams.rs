//! A stream that a caller resumes waits in one line with new ones.
//!
//! Guards against streams that go on far less often than new ones begin while engines are full: in a burst of 2.6 times
//! the usual load hosts were killed, and 0.35 of the streams that their callers took up were placed where 0.61 of the new
//! ones were.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{ONE, ScriptedSite, Step, TWO, pool, request};
use dillspool_forward::handle_request;
use dillspool_routing::{RequestKind, RoutedRequest};

/// Streams that take all slots of both engines.
const OPEN_STREAMS: usize = 48;
const MOMENT: Duration = Duration::from_millis(20);

/// A request for a stream, after the last event that its caller has if it resumes one.
fn routed(number: usize, resume_after: Option<u64>) -> RoutedRequest {
    let mut routed = request(RequestKind::Streaming, 3, true);
    routed.id = format!("request-{number}").into();
    routed.resume_after = resume_after;
    routed.resumed_attempt = resume_after.map(|_| "request-0".into());
    routed
}

#[tokio::test(start_paused = true)]
async fn resumed_streams_and_new_ones_are_placed_in_the_order_of_their_arrival() {
    let (new, resumed) = (None, Some(1));
    for order in [[new, resumed], [resumed, new]] {
        let site = ScriptedSite::default();
        for id in ["decode-1", "decode-2"] {
            site.script(id, [Step::Stalled(vec![ONE])]);
        }
        let (context, _directory) = site.context(pool());
        let mut open = Vec::new();
        for number in 0..OPEN_STREAMS {
            let response = handle_request(context.clone(), routed(number, None)).await;
            assert_eq!(response.status().as_u16(), 200, "stream {number}");
            open.push(response);
        }
        let held = Arc::clone(&site.record);
        let mut tasks = Vec::new();
        for (number, resume_after) in order.into_iter().enumerate() {
            let request = routed(OPEN_STREAMS + number, resume_after);
            tasks.push(tokio::spawn(handle_request(context.clone(), request)));
            tokio::time::sleep(MOMENT).await;
        }
        assert_eq!(held.lock().unwrap().arrivals.len(), OPEN_STREAMS, "both wait");
        site.script("decode-1", [Step::Stream(vec![TWO])]);
        site.script("decode-2", [Step::Stream(vec![TWO])]);
        for _slot in order {
            drop(open.pop());
            tokio::time::sleep(MOMENT).await;
        }
        let arrivals = held.lock().unwrap().arrivals.split_off(OPEN_STREAMS);
        let placed: Vec<_> = arrivals.iter().map(|it| it.params.resume_after).collect();
        assert_eq!(placed, order);
        for task in tasks {
            task.abort();
        }
    }
}
