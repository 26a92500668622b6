//! Matching of routes by host name and longest prefix, and the weighted choice of a service.

use std::collections::BTreeMap;
use std::time::Duration;

use dillspool_routing::{RequestKind, RouteEntry, RouteTable, ServiceShare};

fn route(name: &str, host: &str, prefix: &str) -> RouteEntry {
    RouteEntry {
        name: name.into(),
        host: host.into(),
        path_prefix: prefix.into(),
        kind: RequestKind::Idempotent,
        timeout: Duration::from_secs(3),
        objective: Duration::from_millis(300),
        max_event_gap: None,
        priority: 1,
        max_attempts: 1,
        resumable: false,
        keyless: false,
        shares: vec![ServiceShare { service: "plain".into(), weight: 1 }],
    }
}

struct FindCase {
    host: &'static str,
    path: &'static str,
    expected: Option<&'static str>,
}

#[test]
fn longest_prefix_of_the_host_wins() {
    let table = RouteTable::new([
        route("short", "a.example", "/x/"),
        route("long", "a.example", "/x/y/"),
        route("root", "b.example", "/"),
    ]);
    let cases = [
        FindCase { host: "a.example", path: "/x/1", expected: Some("short") },
        FindCase { host: "a.example", path: "/x/y/1", expected: Some("long") },
        FindCase { host: "a.example", path: "/x/y", expected: Some("short") },
        FindCase { host: "a.example", path: "/x/yy/1", expected: Some("short") },
        FindCase { host: "a.example", path: "/x", expected: None },
        FindCase { host: "a.example", path: "/xy/", expected: None },
        FindCase { host: "A.Example:8080", path: "/x/1", expected: Some("short") },
        FindCase { host: "b.example", path: "/anything", expected: Some("root") },
        FindCase { host: "c.example", path: "/x/1", expected: None },
    ];
    for case in cases {
        let found = table.find(case.host, case.path).map(|route| &*route.name);
        assert_eq!(found, case.expected, "{} {}", case.host, case.path);
    }
}

#[test]
fn requests_split_by_weight_and_an_id_always_gets_the_same_service() {
    let mut split = route("split", "a.example", "/x/");
    split.shares = vec![
        ServiceShare { service: "most".into(), weight: 90 },
        ServiceShare { service: "few".into(), weight: 10 },
    ];
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for number in 0..10_000 {
        let id = format!("request-{number}");
        let service = split.pick_service(&id).expect("a route has a service").to_string();
        assert_eq!(split.pick_service(&id).map(|name| &**name), Some(service.as_str()));
        *counts.entry(service).or_default() += 1;
    }
    assert!((800..1200).contains(&counts["few"]), "{counts:?}");
}
