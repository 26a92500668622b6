//! Commands that need no host.

use std::io::Read;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::CommandFactory;
use dillspool_config::parse_configuration;
use dillspool_schema::configuration::Configuration;
use snafu::ResultExt;

use crate::admin_client::{CliError, FileSnafu, ReadSnafu};
use crate::args::CliArgs;

/// Reads and checks a configuration file.
pub(crate) fn read_configuration(file: &Path) -> Result<(String, Configuration), CliError> {
    let what = file.display().to_string();
    let text = std::fs::read_to_string(file).context(ReadSnafu { what: &what })?;
    let configuration = parse_configuration(&what, &text).context(FileSnafu)?;
    Ok((text, configuration))
}

pub(crate) fn check(file: &Path) -> Result<ExitCode, CliError> {
    let (_, configuration) = read_configuration(file)?;
    println!(
        "{} is valid: {} groups, {} pools, {} backend servers, {} routes",
        file.display(),
        configuration.group.len(),
        configuration.pool.len(),
        configuration.backend.len(),
        configuration.route.len()
    );
    Ok(ExitCode::SUCCESS)
}

pub(crate) fn hash_key() -> Result<ExitCode, CliError> {
    let mut key = String::new();
    std::io::stdin().read_to_string(&mut key).context(ReadSnafu { what: "standard input" })?;
    println!("{}", dillspool_keys::hash_key(key.trim()));
    Ok(ExitCode::SUCCESS)
}

pub(crate) fn completions(shell: clap_complete::Shell) -> ExitCode {
    let mut command = CliArgs::command();
    clap_complete::generate(shell, &mut command, "dillspool", &mut std::io::stdout());
    ExitCode::SUCCESS
}

/// Prints the story of one request, from files or standard input.
pub(crate) fn explain_request(id: &str, files: &[PathBuf]) -> Result<ExitCode, CliError> {
    let text = read_logs(files)?;
    let Some(story) = dillspool_explain::explain(id, text.lines()) else {
        eprintln!("error: no line names {id}; give the logs of all hosts of that time");
        return Ok(ExitCode::FAILURE);
    };
    print!("{story}");
    Ok(ExitCode::SUCCESS)
}

/// Prints what became of the calls in some logs on which one host decides.
pub(crate) fn count_calls(files: &[PathBuf]) -> Result<ExitCode, CliError> {
    let text = read_logs(files)?;
    print!("{}", dillspool_explain::CallTable::from_lines(text.lines()));
    Ok(ExitCode::SUCCESS)
}

/// Prints how the requests in some logs ended.
pub(crate) fn count_ends(files: &[PathBuf]) -> Result<ExitCode, CliError> {
    let text = read_logs(files)?;
    print!("{}", dillspool_explain::OutcomeTable::from_lines(text.lines()));
    Ok(ExitCode::SUCCESS)
}

/// Prints how the requests of each workspace in some logs fared against its limit, and what backend servers
/// say they take.
pub(crate) fn count_limits(files: &[PathBuf]) -> Result<ExitCode, CliError> {
    let text = read_logs(files)?;
    print!("{}", dillspool_explain::LimitTable::from_lines(text.lines()));
    let backends = dillspool_explain::BackendLimitTable::from_lines(text.lines());
    if !backends.backends.is_empty() {
        print!("\n{backends}");
    }
    Ok(ExitCode::SUCCESS)
}

/// Prints the requests in some logs under which backend servers ended.
pub(crate) fn list_suspects(files: &[PathBuf]) -> Result<ExitCode, CliError> {
    let text = read_logs(files)?;
    print!("{}", dillspool_explain::SuspectTable::from_lines(text.lines()));
    Ok(ExitCode::SUCCESS)
}

/// Reads log files one after another, or standard input when there are none.
fn read_logs(files: &[PathBuf]) -> Result<String, CliError> {
    let mut text = String::new();
    for file in files {
        let what = file.display().to_string();
        text += &std::fs::read_to_string(file).context(ReadSnafu { what })?;
        text.push('\n');
    }
    if files.is_empty() {
        std::io::stdin().read_to_string(&mut text).context(ReadSnafu { what: "standard input" })?;
    }
    Ok(text)
}
