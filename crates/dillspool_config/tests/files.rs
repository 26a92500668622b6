//! Configuration and settings files: what is wrong is said with line and remedy.

use assert_matches::assert_matches;
use dillspool_cases::fixed_cases;
use dillspool_config::{ConfigDelta, ConfigError, parse_configuration, parse_settings};
use proptest::prelude::*;

const VALID: &str = include_str!("../../../examples/hewa-safi.toml");
const SETTINGS: &str = include_str!("../../../examples/dillspoold.toml");

/// A change to a valid file, and what the message must contain.
struct FileRow {
    name: &'static str,
    from: &'static str,
    to: &'static str,
    message: &'static [&'static str],
}

const CONFIGURATIONS: [FileRow; 8] = [
    FileRow {
        name: "unknown field",
        from: "retry_percent = 10",
        to: "retry_procent = 10",
        message: &["line 8", "retry_procent", "remedy"],
    },
    FileRow {
        name: "another type",
        from: "share = 60 ",
        to: "share = \"60\" ",
        message: &["line 13", "share", "remedy"],
    },
    FileRow {
        name: "group twice",
        from: "name = \"stations\"",
        to: "name = \"clinic-alerts\"",
        message: &["`clinic-alerts` stands twice", "rename or remove"],
    },
    FileRow {
        name: "share 0",
        from: "share = 60 ",
        to: "share = 0 ",
        message: &["share 0", "at least 1"],
    },
    FileRow {
        name: "host name in place of an IP number",
        from: "127.0.0.1:9001",
        to: "engine-1:9001",
        message: &["prefill-westlands", "give IP number and port"],
    },
    FileRow {
        name: "undeclared pool",
        from: "pool = \"alerts\"\naddress = \"127.0.0.1:9011\"",
        to: "pool = \"alarms\"\naddress = \"127.0.0.1:9011\"",
        message: &["`alarms`, which is not declared"],
    },
    FileRow {
        name: "route without a backend server",
        from: "service = \"ingest\"",
        to: "service = \"digest\"",
        message: &["`digest`, which has no plain backend server"],
    },
    FileRow {
        name: "route over the models",
        from: "prefix = \"/readings\"",
        to: "prefix = \"/v1/readings\"",
        message: &["must start with `/` and stay outside `/v1/`"],
    },
];

const HOST_SETTINGS: [FileRow; 4] = [
    FileRow {
        name: "unknown field",
        from: "timeout_ms = 1000",
        to: "timeout = 1000",
        message: &["timeout", "remedy"],
    },
    FileRow {
        name: "host name with dots",
        from: "host = \"entry-1\"",
        to: "host = \"entry.1\"",
        message: &["entry.1", "lower case letters, digits and hyphens"],
    },
    FileRow {
        name: "address that is none",
        from: "callers = \"127.0.0.1:8080\"",
        to: "callers = \"localhost\"",
        message: &["listen.callers", "give IP number and port"],
    },
    FileRow {
        name: "short peer key",
        from: "change-this-peer-key",
        to: "short",
        message: &["keys.peer_key is short"],
    },
];

fn changed(text: &str, row: &FileRow) -> String {
    assert!(text.contains(row.from), "{}: the example has changed", row.name);
    text.replacen(row.from, row.to, 1)
}

fn assert_message(error: &ConfigError, row: &FileRow) {
    let shown = error.to_string();
    for part in row.message {
        assert!(shown.contains(part), "{}: `{part}` is not in: {shown}", row.name);
    }
}

#[test]
fn both_examples_are_valid() {
    parse_configuration("hewa-safi.toml", VALID).expect("it is valid");
    let shared_wire = include_str!("../../../examples/shared-wire.toml");
    parse_configuration("shared-wire.toml", shared_wire).expect("it is valid");
    parse_settings("dillspoold.toml", SETTINGS).expect("it is valid");
}

#[test]
fn each_wrong_configuration_is_refused_with_its_remedy() {
    for row in &CONFIGURATIONS {
        let error = parse_configuration("f.toml", &changed(VALID, row)).expect_err(row.name);
        assert_message(&error, row);
    }
}

#[test]
fn each_wrong_settings_file_is_refused_with_its_remedy() {
    for row in &HOST_SETTINGS {
        let error = parse_settings("f.toml", &changed(SETTINGS, row)).expect_err(row.name);
        assert_message(&error, row);
    }
}

#[test]
fn secrets_do_not_show() {
    let settings = parse_settings("f.toml", SETTINGS).expect("it is valid");
    assert!(!format!("{settings:?}").contains("change-this-peer-key"));
}

#[test]
fn a_missing_file_is_named() {
    let missing = std::path::Path::new("no-such-file.toml");
    assert_matches!(dillspool_config::load_settings(missing), Err(ConfigError::Read { .. }));
}

proptest! {
    #![proptest_config(fixed_cases(256))]

    #[test]
    fn any_text_is_parsed_or_refused(text in ".{0,400}") {
        let _refused = parse_configuration("f.toml", &text);
        let _refused = parse_settings("f.toml", &text);
    }

    #[test]
    fn a_delta_leads_from_any_base_to_any_next(
        shares in proptest::collection::vec(1_u32..5, 0..6),
        next in proptest::collection::vec(1_u32..5, 0..6),
    ) {
        let groups = |shares: &[u32]| {
            let entry = |(number, share): (usize, &u32)| format!(
                "[[group]]\nname = \"g{number}\"\nshare = {share}\npriority = 0\n\
                 first_token_ms = 1\nper_token_ms = 1\n"
            );
            let entries: String = shares.iter().enumerate().map(entry).collect();
            let text = format!("[policy]\ngoodput_weight = 50\n{entries}");
            parse_configuration("f.toml", &text).expect("it is valid")
        };
        let (base, next) = (groups(&shares), groups(&next));
        let delta = ConfigDelta::between(&base, &next);
        prop_assert_eq!(delta.apply(&base), next.clone());
        prop_assert_eq!(delta.is_empty(), base == next);
    }
}
