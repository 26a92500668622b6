//! Checks the rows that share suspects between hosts: malformed rows, allowed suspects and restored stores.

mod fleet;

use std::time::Duration;

use dillspool_site::OWN_TABLE;
use dillspool_site_standin::DEADLY_BODY;
use dillspool_suspects::{FingerprintInput, FingerprintKey, RequestFingerprint};
use fleet::{RestartIdentity, TestFleet};

const PATH: &str = "/stream/1";
const SOUND: &str = "a sound body";

fn fingerprint(body: &str) -> RequestFingerprint {
    let input =
        FingerprintInput { caller: "", host: "fleet.example", path: PATH, body: body.as_bytes() };
    RequestFingerprint::of(&FingerprintKey::default(), &input)
}

/// Returns the row of a host that reports crashes of these backend servers under a request.
fn suspect_row(print: &str, backends: &[&str]) -> String {
    let at = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let at = at.expect("after 1970").as_millis();
    let end = |backend: &&str| format!(r#"{{"print":"{print}","backend":"{backend}","at":{at}}}"#);
    let ends: Vec<String> = backends.iter().map(end).collect();
    format!(r#"{{"ends":[{}],"whole":[]}}"#, ends.join(","))
}

struct RowCase {
    name: &'static str,
    text: String,
    /// Whether copies of the request in the row are refused.
    refuses: bool,
}

#[tokio::test(start_paused = true)]
async fn a_malformed_row_stops_no_host_and_refuses_no_request() {
    let sound = fingerprint(SOUND).to_string();
    let good = suspect_row(&sound, &["e1", "e2", "e3"]);
    let many: Vec<String> = (0..300).map(|number| format!("e{number}")).collect();
    let many: Vec<&str> = many.iter().map(String::as_str).collect();
    let case = |name, text: &str, refuses| RowCase { name, text: text.to_owned(), refuses };
    let cases = [
        case("valid", &good, true),
        case("with a field of a later version", &good.replacen('{', r#"{"later":1,"#, 1), true),
        case("empty", "", false),
        case("truncated JSON", &good[..good.len() - 1], false),
        case("wrong type", &good.replacen("\"at\":", "\"at\":\"x\"", 1), false),
        case("missing fields", r#"{"whole":[]}"#, false),
        case("short fingerprint", &suspect_row("0011", &["e1", "e2", "e3"]), false),
        case(
            "fingerprint that is not hexadecimal",
            &suspect_row(&"z".repeat(32), &["e1", "e2", "e3"]),
            false,
        ),
        case("a backend server without a name", &suspect_row(&sound, &["e1", "e2", ""]), false),
        case(
            "a name that is too long",
            &suspect_row(&sound, &["e1", "e2", &"e".repeat(300)]),
            false,
        ),
        case("too many entries", &suspect_row(&sound, &many), false),
        case("one crash three times", &suspect_row(&sound, &["e1", "e1", "e1"]), false),
    ];
    for case in cases {
        let fleet = TestFleet::start(2, RestartIdentity::NewId).await;
        fleet.store.write(OWN_TABLE, "suspects/another", Some(&case.text));
        tokio::time::sleep(Duration::from_secs(2)).await;
        for host in 0..2 {
            let status = fleet.send(1, host, PATH, SOUND).await.status;
            let expected = if case.refuses { 503 } else { 200 };
            assert_eq!(status, Some(expected), "{}", case.name);
            assert_eq!(
                fleet.send(1, host, PATH, "another").await.status,
                Some(200),
                "{}",
                case.name
            );
        }
        // A malformed row of its own does not hinder a host either.
        fleet.store.write(OWN_TABLE, "suspects/host-0", Some(&case.text));
        for copy in 0..10 {
            fleet.send(0, copy % 2, PATH, DEADLY_BODY).await;
            tokio::time::sleep(Duration::from_millis(700)).await;
        }
        assert!(fleet.crashes() <= 3, "{}: {} crashed", case.name, fleet.crashes());
    }
}

#[tokio::test(start_paused = true)]
async fn an_operator_can_allow_a_suspect() {
    let mut fleet = TestFleet::start(1, RestartIdentity::NewId).await;
    let refused = suspect_row(&fingerprint(SOUND).to_string(), &["e1", "e2", "e3"]);
    fleet.store.write(OWN_TABLE, "suspects/another", Some(&refused));
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(fleet.send(1, 0, PATH, SOUND).await.status, Some(503));
    fleet.allow_suspects(0, vec![fingerprint(SOUND)]);
    assert_eq!(fleet.send(1, 0, PATH, SOUND).await.status, Some(200));
    // Its success has cleared the suspicion on all hosts.
    fleet.allow_suspects(0, Vec::new());
    assert_eq!(fleet.send(1, 0, PATH, SOUND).await.status, Some(200));
}

struct RestoredCase {
    name: &'static str,
    /// Hosts that stop before the restore.
    stopped: &'static [usize],
}

/// Guards against hosts that do not write suspect rows again after a restore has lost them.
///
/// Without the rows, restarted hosts let the request run.
#[tokio::test(start_paused = true)]
async fn suspects_survive_a_restore_that_loses_their_rows() {
    let cases = [
        RestoredCase { name: "the hosts that wrote the rows keep running", stopped: &[] },
        RestoredCase { name: "some hosts that wrote the rows are stopped", stopped: &[0, 1] },
    ];
    for RestoredCase { name, stopped } in cases {
        let fleet = TestFleet::start(3, RestartIdentity::NewId).await;
        let copy = fleet.store.copy();
        for copy in 0..10 {
            fleet.send(0, copy % 3, PATH, DEADLY_BODY).await;
            tokio::time::sleep(Duration::from_millis(700)).await;
        }
        assert!(fleet.crashes() <= 3, "{name}: {} crashed", fleet.crashes());
        for host in stopped {
            fleet.stop_host(*host).await;
        }
        fleet.store.restore(&copy);
        tokio::time::sleep(Duration::from_secs(15)).await;
        for host in 0..3 {
            fleet.stop_host(host).await;
        }
        for host in 0..3 {
            fleet.start_host(host).await;
        }
        tokio::time::sleep(Duration::from_secs(10)).await;
        let before = fleet.crashes();
        for host in 0..3 {
            let status = fleet.send(0, host, PATH, DEADLY_BODY).await.status;
            assert_eq!(status, Some(503), "{name}: host {host}");
        }
        assert_eq!(fleet.crashes(), before, "{name}");
    }
}

/// A crash of a part, or the time of a success, in seconds before now.
struct PartRowCase {
    name: &'static str,
    crashes_s: std::ops::Range<u64>,
    success_s: Option<u64>,
    /// Whether the row of the host names a success of the part afterwards.
    names_success: bool,
}

/// Guards against crashes that a host forgets and tells others of as successes.
#[tokio::test(start_paused = true)]
async fn a_forgotten_crash_of_a_part_is_not_a_success() {
    let cases = [
        PartRowCase { name: "few", crashes_s: 20..23, success_s: None, names_success: false },
        PartRowCase { name: "many", crashes_s: 20..40, success_s: None, names_success: false },
        PartRowCase {
            name: "few, and a success",
            crashes_s: 20..23,
            success_s: Some(10),
            names_success: true,
        },
    ];
    let print = RequestFingerprint::of_part(&FingerprintKey::default(), "part").to_string();
    for case in &cases {
        let fleet = TestFleet::start(2, RestartIdentity::NewId).await;
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let now = now.expect("after 1970").as_millis();
        let before = |seconds: u64| now - u128::from(seconds) * 1_000;
        let crashes =
            case.crashes_s.clone().rev().map(|it| {
                format!(r#"{{"print":"{print}","backend":"e{it}","at":{}}}"#, before(it))
            });
        let crashes: Vec<_> = crashes.collect();
        let success =
            case.success_s.map(|it| format!(r#"{{"print":"{print}","at":{}}}"#, before(it)));
        let text = format!(
            r#"{{"ends":[{}],"whole":[{}]}}"#,
            crashes.join(","),
            success.unwrap_or_default()
        );
        fleet.store.write(OWN_TABLE, "suspects/host-0", Some(&text));
        fleet.restart_host(0).await;
        tokio::time::sleep(Duration::from_secs(8)).await;
        let row = fleet.store.text(OWN_TABLE, "suspects/host-0").expect("a row");
        let (_crashes, successes) = row.split_once("whole").expect("both lists");
        assert_eq!(successes.contains(&print), case.names_success, "{}: {row}", case.name);
    }
}
