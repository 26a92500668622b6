//! Commands that show something.

use std::process::ExitCode;
use std::time::Duration;

use dillspool_config::AuditRow;
use dillspool_host::{ConfigReply, StatusReply};
use serde::Serialize;

use crate::admin_client::{AdminClient, CliError};
use crate::args::{OutputForm, ServerArgs};

/// Pause between two pictures of `top`.
const TOP_PAUSE: Duration = Duration::from_secs(1);

fn print_json<T: Serialize>(value: &T) {
    println!("{}", serde_json::to_string_pretty(value).unwrap_or_default());
}

pub(crate) async fn get(output: OutputForm, server: &ServerArgs) -> Result<ExitCode, CliError> {
    let client = AdminClient::from_environment(server.server)?;
    let reply: ConfigReply = client.get("/config").await?;
    match output {
        OutputForm::Json => print_json(&reply),
        OutputForm::Text => {
            println!("# version {} digest {}", reply.version, reply.digest);
            println!("{}", toml::to_string(&reply.configuration).unwrap_or_default());
        }
    }
    Ok(ExitCode::SUCCESS)
}

pub(crate) async fn status(output: OutputForm, server: &ServerArgs) -> Result<ExitCode, CliError> {
    let client = AdminClient::from_environment(server.server)?;
    let reply: StatusReply = client.get("/status").await?;
    match output {
        OutputForm::Json => print_json(&reply),
        OutputForm::Text => print_status(&reply),
    }
    Ok(ExitCode::SUCCESS)
}

fn print_status(reply: &StatusReply) {
    let committed = reply.committed.map_or("unknown".to_owned(), |version| version.to_string());
    println!("host {} acts on version {}; committed {committed}", reply.host, reply.in_force);
    println!("{:<24} {:>8} {:<8} {:<8}", "HOST", "VERSION", "LISTED", "DRAINS");
    for line in &reply.hosts {
        println!("{:<24} {:>8} {:<8} {:<8}", line.host, line.version.0, line.listed, line.draining);
    }
    println!("{:<24} {:<24} {:>8} {:>8}", "POOL", "SCHEDULER", "WAITING", "HELD");
    for line in &reply.pools {
        println!("{:<24} {:<24} {:>8} {:>8}", line.pool, line.scheduler, line.waiting, line.held);
    }
}

pub(crate) async fn audit(
    after: u64,
    output: OutputForm,
    server: &ServerArgs,
) -> Result<ExitCode, CliError> {
    let client = AdminClient::from_environment(server.server)?;
    let rows: Vec<AuditRow> = client.get(&format!("/audit?after={after}")).await?;
    match output {
        OutputForm::Json => print_json(&rows),
        OutputForm::Text => {
            for row in &rows {
                let changes = row.changes.join("; ");
                let (at, from, to) = (row.at.0, row.from, row.to);
                println!("{at} {} {from} -> {to}: {changes}", row.operator);
            }
        }
    }
    Ok(ExitCode::SUCCESS)
}

pub(crate) async fn top(seconds: u64, server: &ServerArgs) -> Result<ExitCode, CliError> {
    let client = AdminClient::from_environment(server.server)?;
    let deadline = tokio::time::Instant::now() + Duration::from_secs(seconds);
    while tokio::time::Instant::now() < deadline {
        let reply: StatusReply = client.get("/status").await?;
        print!("\x1b[2J\x1b[H");
        print_status(&reply);
        tokio::time::sleep(TOP_PAUSE).await;
    }
    Ok(ExitCode::SUCCESS)
}
