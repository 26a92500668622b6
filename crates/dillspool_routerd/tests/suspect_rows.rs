//! Rows by which hosts tell each other of suspects: spoiled ones, and requests that an operator lets run.

mod fleet;

use std::time::Duration;

use dillspool_site::OWN_TABLE;
use dillspool_site_standin::DEADLY_BODY;
use dillspool_suspects::{FingerprintInput, FingerprintKey, RequestFingerprint};
use fleet::{ComeBack, TestFleet};

const PATH: &str = "/stream/1";
const SOUND: &str = "a sound body";

fn print(body: &str) -> RequestFingerprint {
    let parts =
        FingerprintInput { caller: "", host: "fleet.example", path: PATH, body: body.as_bytes() };
    RequestFingerprint::of(&FingerprintKey::default(), &parts)
}

/// A row of a host that tells of these backend servers' ends under a request.
fn row(print: &str, backends: &[&str]) -> String {
    let at = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let at = at.expect("after 1970").as_millis();
    let end = |backend: &&str| format!(r#"{{"print":"{print}","backend":"{backend}","at":{at}}}"#);
    let ends: Vec<String> = backends.iter().map(end).collect();
    format!(r#"{{"ends":[{}],"whole":[]}}"#, ends.join(","))
}

struct RowCase {
    name: &'static str,
    text: String,
    /// Whether copies of the request that it names are refused.
    refuses: bool,
}

#[tokio::test(start_paused = true)]
async fn a_spoiled_row_takes_nothing_down_and_refuses_nobody() {
    let sound = print(SOUND).to_string();
    let good = row(&sound, &["e1", "e2", "e3"]);
    let many: Vec<String> = (0..300).map(|number| format!("e{number}")).collect();
    let many: Vec<&str> = many.iter().map(String::as_str).collect();
    let case = |name, text: &str, refuses| RowCase { name, text: text.to_owned(), refuses };
    let cases = [
        case("as a host writes it", &good, true),
        case("with a field of a later version", &good.replacen('{', r#"{"later":1,"#, 1), true),
        case("empty", "", false),
        case("no JSON", &good[..good.len() - 1], false),
        case("another type", &good.replacen("\"at\":", "\"at\":\"x\"", 1), false),
        case("fields missing", r#"{"whole":[]}"#, false),
        case("no print", &row("0011", &["e1", "e2", "e3"]), false),
        case("a print that is no hexadecimal", &row(&"z".repeat(32), &["e1", "e2", "e3"]), false),
        case("a backend server without a name", &row(&sound, &["e1", "e2", ""]), false),
        case("a name that is too long", &row(&sound, &["e1", "e2", &"e".repeat(300)]), false),
        case("too many entries", &row(&sound, &many), false),
        case("one end three times", &row(&sound, &["e1", "e1", "e1"]), false),
    ];
    for case in cases {
        let fleet = TestFleet::start(2, ComeBack::OtherId).await;
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
        // A spoiled row of its own keeps a host from nothing, either.
        fleet.store.write(OWN_TABLE, "suspects/host-0", Some(&case.text));
        for copy in 0..10 {
            fleet.send(0, copy % 2, PATH, DEADLY_BODY).await;
            tokio::time::sleep(Duration::from_millis(700)).await;
        }
        assert!(fleet.ends() <= 3, "{}: {} ended", case.name, fleet.ends());
    }
}

#[tokio::test(start_paused = true)]
async fn an_operator_lets_a_request_run() {
    let mut fleet = TestFleet::start(1, ComeBack::OtherId).await;
    let refused = row(&print(SOUND).to_string(), &["e1", "e2", "e3"]);
    fleet.store.write(OWN_TABLE, "suspects/another", Some(&refused));
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(fleet.send(1, 0, PATH, SOUND).await.status, Some(503));
    fleet.lift(0, vec![print(SOUND)]);
    assert_eq!(fleet.send(1, 0, PATH, SOUND).await.status, Some(200));
    // Its good end has cleared it everywhere.
    fleet.lift(0, Vec::new());
    assert_eq!(fleet.send(1, 0, PATH, SOUND).await.status, Some(200));
}

struct RestoredCase {
    name: &'static str,
    /// Hosts that are lost before the restoration, for good.
    lost: &'static [usize],
}

/// Rows of suspects that a restored store had lost were not written again, and hosts that started anew let the
/// request run.
#[tokio::test(start_paused = true)]
async fn suspects_were_lost_with_the_rows_that_a_restored_store_lost() {
    let cases = [
        RestoredCase { name: "who wrote them goes on", lost: &[] },
        RestoredCase { name: "some that wrote them are lost", lost: &[0, 1] },
    ];
    for RestoredCase { name, lost } in cases {
        let fleet = TestFleet::start(3, ComeBack::OtherId).await;
        let copy = fleet.store.copy();
        for copy in 0..10 {
            fleet.send(0, copy % 3, PATH, DEADLY_BODY).await;
            tokio::time::sleep(Duration::from_millis(700)).await;
        }
        assert!(fleet.ends() <= 3, "{name}: {} ended", fleet.ends());
        for host in lost {
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
        let before = fleet.ends();
        for host in 0..3 {
            let status = fleet.send(0, host, PATH, DEADLY_BODY).await.status;
            assert_eq!(status, Some(503), "{name}: host {host}");
        }
        assert_eq!(fleet.ends(), before, "{name}");
    }
}
