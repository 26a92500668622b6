//! Errors of configuration and settings files contain the location and a remedy.

use assert_matches::assert_matches;
use dillspool_cases::fixed_cases;
use dillspool_config::{ConfigDelta, ConfigError, parse_configuration, parse_settings};
use proptest::prelude::*;

const VALID: &str = include_str!("../../../examples/hewa-safi.toml");
const SETTINGS: &str = include_str!("../../../examples/dillspoold.toml");

/// A change that makes a valid file invalid, and what the error message must contain.
struct InvalidFileCase {
    name: &'static str,
    from: &'static str,
    to: &'static str,
    message: &'static [&'static str],
}

const CONFIGURATIONS: [InvalidFileCase; 8] = [
    InvalidFileCase {
        name: "unknown field",
        from: "retry_percent = 10",
        to: "retry_procent = 10",
        message: &["line 8", "retry_procent", "remedy"],
    },
    InvalidFileCase {
        name: "wrong type",
        from: "share = 60 ",
        to: "share = \"60\" ",
        message: &["line 13", "share", "remedy"],
    },
    InvalidFileCase {
        name: "duplicate group",
        from: "name = \"stations\"",
        to: "name = \"clinic-alerts\"",
        message: &["`clinic-alerts` is declared twice", "rename or remove"],
    },
    InvalidFileCase {
        name: "share 0",
        from: "share = 60 ",
        to: "share = 0 ",
        message: &["share 0", "at least 1"],
    },
    InvalidFileCase {
        name: "host name in place of an IP number",
        from: "127.0.0.1:9001",
        to: "engine-1:9001",
        message: &["prefill-westlands", "give IP number and port"],
    },
    InvalidFileCase {
        name: "undeclared pool",
        from: "pool = \"alerts\"\naddress = \"127.0.0.1:9011\"",
        to: "pool = \"alarms\"\naddress = \"127.0.0.1:9011\"",
        message: &["`alarms`, which is not declared"],
    },
    InvalidFileCase {
        name: "route without a backend server",
        from: "service = \"ingest\"",
        to: "service = \"digest\"",
        message: &["`digest`, which has no plain backend server"],
    },
    InvalidFileCase {
        name: "route that shadows the model API",
        from: "prefix = \"/readings\"",
        to: "prefix = \"/v1/readings\"",
        message: &["must start with `/` and stay outside `/v1/`"],
    },
];

const HOST_SETTINGS: [InvalidFileCase; 4] = [
    InvalidFileCase {
        name: "unknown field",
        from: "timeout_ms = 1000",
        to: "timeout = 1000",
        message: &["timeout", "remedy"],
    },
    InvalidFileCase {
        name: "host name with dots",
        from: "host = \"entry-1\"",
        to: "host = \"entry.1\"",
        message: &["entry.1", "lower case letters, digits and hyphens"],
    },
    InvalidFileCase {
        name: "malformed address",
        from: "callers = \"127.0.0.1:8080\"",
        to: "callers = \"localhost\"",
        message: &["listen.callers", "give IP number and port"],
    },
    InvalidFileCase {
        name: "short peer key",
        from: "change-this-peer-key",
        to: "short",
        message: &["keys.peer_key is short"],
    },
];

fn apply_change(text: &str, case: &InvalidFileCase) -> String {
    assert!(text.contains(case.from), "{}: the example has changed", case.name);
    text.replacen(case.from, case.to, 1)
}

fn assert_message(error: &ConfigError, case: &InvalidFileCase) {
    let message = error.to_string();
    for part in case.message {
        assert!(message.contains(part), "{}: `{part}` is not in: {message}", case.name);
    }
}

#[test]
fn example_files_are_valid() {
    parse_configuration("hewa-safi.toml", VALID).expect("it is valid");
    let shared_wire = include_str!("../../../examples/shared-wire.toml");
    parse_configuration("shared-wire.toml", shared_wire).expect("it is valid");
    parse_settings("dillspoold.toml", SETTINGS).expect("it is valid");
}

#[test]
fn invalid_configurations_are_rejected_with_a_remedy() {
    for case in &CONFIGURATIONS {
        let error = parse_configuration("f.toml", &apply_change(VALID, case)).expect_err(case.name);
        assert_message(&error, case);
    }
}

#[test]
fn invalid_settings_are_rejected_with_a_remedy() {
    for case in &HOST_SETTINGS {
        let error = parse_settings("f.toml", &apply_change(SETTINGS, case)).expect_err(case.name);
        assert_message(&error, case);
    }
}

#[test]
fn debug_output_redacts_secrets() {
    let settings = parse_settings("f.toml", SETTINGS).expect("it is valid");
    assert!(!format!("{settings:?}").contains("change-this-peer-key"));
}

#[test]
fn a_missing_file_is_a_read_error() {
    let missing = std::path::Path::new("no-such-file.toml");
    assert_matches!(dillspool_config::load_settings(missing), Err(ConfigError::Read { .. }));
}

proptest! {
    #![proptest_config(fixed_cases(256))]

    #[test]
    fn parsing_arbitrary_text_does_not_panic(text in ".{0,400}") {
        let _result = parse_configuration("f.toml", &text);
        let _result = parse_settings("f.toml", &text);
    }

    #[test]
    fn applying_a_delta_to_its_base_gives_the_next_configuration(
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
