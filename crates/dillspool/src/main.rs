//! The operators' command line.

mod admin_client;
mod apply;
mod args;
mod demo;
mod local;
mod report;

use std::process::ExitCode;

use clap::Parser;

use crate::args::{CliArgs, CliCommand};

fn main() -> ExitCode {
    let args = CliArgs::parse();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("error: cannot start the runtime: {error}; check the limits on threads");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(run(args)) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("error: {error}");
            error.exit_code()
        }
    }
}

async fn run(args: CliArgs) -> Result<ExitCode, admin_client::CliError> {
    match args.command {
        CliCommand::Check { file } => local::check(&file),
        CliCommand::Explain { id, files } => local::explain_request(&id, &files),
        CliCommand::Calls { files } => local::count_calls(&files),
        CliCommand::Late { files } => local::count_ends(&files),
        CliCommand::Limits { files } => local::count_limits(&files),
        CliCommand::Suspects { files } => local::list_suspects(&files),
        CliCommand::HashKey => local::hash_key(),
        CliCommand::Completions { shell } => Ok(local::completions(shell)),
        CliCommand::Diff { file, server } => apply::diff(&file, &server).await,
        CliCommand::Apply { file, expected, wait_s, server } => {
            apply::apply(&file, expected, wait_s, &server).await
        }
        CliCommand::Get { output, server } => report::get(output, &server).await,
        CliCommand::Status { output, server } => report::status(output, &server).await,
        CliCommand::Audit { after, output, server } => report::audit(after, output, &server).await,
        CliCommand::Top { seconds, server } => report::top(seconds, &server).await,
        CliCommand::Drain { server } => apply::drain(&server).await,
        CliCommand::Demo { example, serve } => demo::run(example, serve).await,
    }
}
