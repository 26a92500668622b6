//! The whole path with every part a process of its own, over TCP on the loopback address.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use dillspool_config::parse_configuration;
use dillspool_io::NetStack;
use dillspool_local::{
    BinaryPaths, CallerClient, ChatCall, ProcessSystem, Signal, caller_key, expected_answer,
};
use dillspool_schema::configuration::Configuration;

/// Bound on every wait; reached only when something is broken.
const LIMIT: Duration = Duration::from_mins(1);

fn example() -> Configuration {
    let text = include_str!("../../../examples/hewa-safi.toml");
    let mut configuration = parse_configuration("hewa-safi.toml", text).expect("it is valid");
    for group in &mut configuration.group {
        // Verdicts here are about whole answers; a busy machine may be slow.
        group.first_token_ms = 30_000;
    }
    configuration
}

#[tokio::test]
async fn separate_processes_serve_whole_answers_and_drain() {
    let binaries = BinaryPaths::beside(Path::new(env!("CARGO_BIN_EXE_dillspoold")));
    let mut system = ProcessSystem::start(&binaries, example(), 3).await;
    let caller = CallerClient::new(&NetStack::tcp(), caller_key("clinic-alerts"));
    for host in 0..3 {
        let call = ChatCall {
            model: "alert-8b".to_owned(),
            text: format!("smoke at {host}"),
            max_tokens: 12,
            stream: true,
        };
        let outcome = caller.chat(system.callers(host), &call).await;
        assert!(outcome.ended, "{outcome:?}");
        assert_eq!(outcome.text, expected_answer(&call.text, 12));
    }
    let readings = CallerClient::new(&NetStack::tcp(), caller_key("stations"));
    let sent = readings.plain(system.callers(0), "/readings", Some("r-1"), "pm2.5 41").await;
    assert_eq!(sent.status, 201, "{sent:?}");
    assert_eq!(recorded(&readings, system.callers(1)).await, sent.text);
    // A host that is asked to end drains and ends by itself, with success.
    let mut host = system.hosts.pop().expect("there are three hosts");
    host.signal(Signal::SIGTERM);
    let ended = tokio::task::spawn_blocking(move || host.wait()).await;
    let exit = ended.expect("the wait ends");
    assert!(exit.success(), "{exit:?}");
}

/// Sends the reading again until its answer is recorded; the answer says how often it ran.
async fn recorded(caller: &CallerClient, host: SocketAddr) -> String {
    let deadline = tokio::time::Instant::now() + LIMIT;
    loop {
        let outcome = caller.plain(host, "/readings", Some("r-1"), "pm2.5 41").await;
        if outcome.status == 201 {
            return outcome.text;
        }
        assert_eq!(outcome.outcome.as_deref(), Some("unknown"), "{outcome:?}");
        assert!(tokio::time::Instant::now() < deadline, "never recorded: {outcome:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
