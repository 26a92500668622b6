//! Tests validation of settings and detection of a changed file.

use std::path::PathBuf;

use dillspool_router::{SettingsWatch, load_settings};

const GOOD: &str = r#"host = "host-1"
failure_domain = "domain"
[listen]
callers = "10.0.0.1:8144"
readiness = "10.0.0.1:8140"
peers = "10.0.0.1:8146"
metrics = "10.0.0.1:7660"
schedule = "10.0.0.1:7661"
[store]
address = "10.200.0.1:8142"
[peers]
seeds = ["10.0.0.1:8146", "10.0.0.2:8146"]
[retry]
ratio = 0.2
window_s = 10
extra = 56
[lifecycle]
grace_s = 8
[orders]
lease_ms = 3000
"#;

fn write(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("a writable folder");
    path
}

struct SettingsCase {
    name: &'static str,
    from: &'static str,
    to: &'static str,
    /// Parts of the error message; empty if the settings are valid.
    message_parts: &'static [&'static str],
}

#[test]
fn an_invalid_field_is_reported_with_its_remedy() {
    let case = |name, from, to, message_parts| SettingsCase { name, from, to, message_parts };
    let cases = [
        case("good", "", "", &[]),
        case("fractions", "extra = 56", "extra = 56.5", &[]),
        case("no seeds", r#"["10.0.0.1:8146", "10.0.0.2:8146"]"#, "[]", &[]),
        case("missing", "failure_domain = \"domain\"\n", "", &["failure_domain"]),
        case("unknown", "ratio = 0.2", "ratio = 0.2\nrate = 1", &["rate"]),
        case("empty", "\"host-1\"", "\"\"", &["host", "give a name"]),
        case("address", "10.0.0.1:8140", "nowhere", &["listen.readiness", "IP number and port"]),
        case("negative", "grace_s = 8", "grace_s = -8", &["lifecycle.grace_s", "not negative"]),
        case(
            "a policy",
            "[orders]",
            "[policy]\nschedule = false\nlate_margin = 0.2\n[orders]",
            &[],
        ),
        case(
            "a policy out of range",
            "[orders]",
            "[policy]\nreserved_part = 4.5\n[orders]",
            &["policy.reserved_part", "between 0 and 4"],
        ),
        case(
            "a return after more than callers obey",
            "[orders]",
            "[policy]\ncome_back_from = 0.4\n[orders]",
            &["policy.come_back_from", "between 0 and 0.33"],
        ),
        case(
            "a chance above one",
            "[orders]",
            "[policy]\ncompletion_chance = 1.5\n[orders]",
            &["policy.completion_chance", "between 0 and 1"],
        ),
        case(
            "a policy of none",
            "[orders]",
            "[policy]\nmost_refusals = 0\n[orders]",
            &["policy.most_refusals", "between 1 and 64"],
        ),
        case("memory", "[orders]", "[memory]\nlimit_mb = 88\nstall_s = 2.5\n[orders]", &[]),
        case("memory not limited", "[orders]", "[memory]\nheld_part = 0.5\n[orders]", &[]),
        case(
            "memory of none",
            "[orders]",
            "[memory]\nlimit_mb = 0\n[orders]",
            &["memory.limit_mb", "at least 24"],
        ),
        case(
            "all of the memory and more",
            "[orders]",
            "[memory]\nlimit_mb = 88\nheld_part = 1.5\n[orders]",
            &["memory.held_part", "between 0.01 and 1"],
        ),
        case(
            "responses of which none fits",
            "[orders]",
            "[memory]\nlimit_mb = 88\nanswer_kb = 20000\n[orders]",
            &["memory.answer_kb", "at least four"],
        ),
        case(
            "a lifted fingerprint",
            "[orders]",
            "[suspects]\nkey = \"k\"\nlifted = [\"00112233445566778899aabbccddeeff\"]\n[orders]",
            &[],
        ),
        case(
            "a malformed fingerprint",
            "[orders]",
            "[suspects]\nlifted = [\"001122\"]\n[orders]",
            &["suspects.lifted", "dillspool suspects"],
        ),
        case("calls by one host", "[orders]", "[calls]\nslots_per_host = 1.0\n[orders]", &[]),
        case(
            "calls by less than none",
            "[orders]",
            "[calls]\nslots_per_host = -1\n[orders]",
            &["calls.slots_per_host", "not negative"],
        ),
        case("an unknown policy", "[orders]", "[policy]\nluck = 1\n[orders]", &["luck"]),
        case("a gap", "ratio = 0.2", "ratio = ", &["settings-a gap.toml"]),
    ];
    for case in cases {
        let text = GOOD.replace(case.from, case.to);
        let text = if case.from.is_empty() { GOOD.to_owned() } else { text };
        let path = write(&format!("settings-{}.toml", case.name), &text);
        match load_settings(&path) {
            Ok(_config) => assert!(case.message_parts.is_empty(), "{} is taken", case.name),
            Err(error) => {
                let message = error.to_string();
                assert!(!case.message_parts.is_empty(), "{}: {message}", case.name);
                for part in case.message_parts {
                    assert!(message.contains(part), "{}: {message}", case.name);
                }
            }
        }
    }
}

#[test]
fn a_replaced_file_is_detected_once() {
    let path = write("watched.toml", GOOD);
    let mut watch = SettingsWatch::new(&path);
    assert!(!watch.has_changed());
    write("watched.toml", &GOOD.replace("10.0.0.2", "10.0.0.3"));
    assert!(watch.has_changed());
    assert!(!watch.has_changed());
    std::fs::remove_file(&path).expect("the file is there");
    assert!(!watch.has_changed());
}
