//! Commands that change something.

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use dillspool_config::{ConfigDelta, ConfigVersion};
use dillspool_host::{ApplyReply, ApplyRequest, ConfigReply, StatusReply};

use crate::admin_client::{AdminClient, CliError};
use crate::args::ServerArgs;
use crate::local::read_configuration;

/// Pause between two looks at which hosts act on a version.
const LOOK_PAUSE: Duration = Duration::from_millis(250);
/// Exit code of an apply that is committed but not in force everywhere.
const NOT_EVERYWHERE: u8 = 5;

pub(crate) async fn diff(file: &Path, server: &ServerArgs) -> Result<ExitCode, CliError> {
    let (_, next) = read_configuration(file)?;
    let client = AdminClient::from_environment(server.server)?;
    let current: ConfigReply = client.get("/config").await?;
    let delta = ConfigDelta::between(&current.configuration, &next);
    if delta.is_empty() {
        println!("no change to version {}", current.version);
    }
    for line in delta.summary_lines() {
        println!("{line}");
    }
    Ok(ExitCode::SUCCESS)
}

pub(crate) async fn apply(
    file: &Path,
    expected: Option<u64>,
    wait_s: u64,
    server: &ServerArgs,
) -> Result<ExitCode, CliError> {
    let (text, _) = read_configuration(file)?;
    let client = AdminClient::from_environment(server.server)?;
    let request = ApplyRequest { expected: expected.map(ConfigVersion), text };
    let reply: ApplyReply = client.post("/apply", &request).await?;
    if reply.changes.is_empty() {
        println!("no change to version {}", reply.version);
    }
    for line in &reply.changes {
        println!("{line}");
    }
    eprintln!("committed version {}; waiting until every host acts on it", reply.version);
    let missing = wait_in_force(&client, reply.version, Duration::from_secs(wait_s)).await?;
    if missing.is_empty() {
        println!("accepted: version {} is in force on every host", reply.version);
        return Ok(ExitCode::SUCCESS);
    }
    println!(
        "version {} is committed, but not confirmed in force on: {}; see `dillspool status`",
        reply.version,
        missing.join(", ")
    );
    Ok(ExitCode::from(NOT_EVERYWHERE))
}

/// Waits until a version can be called accepted; returns what is still missing.
pub(crate) async fn wait_in_force(
    client: &AdminClient,
    version: ConfigVersion,
    limit: Duration,
) -> Result<Vec<String>, CliError> {
    let deadline = tokio::time::Instant::now() + limit;
    loop {
        let status: StatusReply = client.get("/status").await?;
        let missing = status.unconfirmed(version);
        if missing.is_empty() || tokio::time::Instant::now() >= deadline {
            return Ok(missing);
        }
        tokio::time::sleep(LOOK_PAUSE).await;
    }
}

pub(crate) async fn drain(server: &ServerArgs) -> Result<ExitCode, CliError> {
    let client = AdminClient::from_environment(server.server)?;
    client.post::<_, ()>("/drain", &()).await?;
    println!("the host at {} drains and then ends", server.server);
    Ok(ExitCode::SUCCESS)
}
