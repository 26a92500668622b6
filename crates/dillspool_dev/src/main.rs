//! Developers' tool: generates the Rust types from the schema.

mod generate;

use std::process::ExitCode;

use clap::{Parser, Subcommand};

/// Developers' tool of dillspool.
#[derive(Debug, Parser)]
#[command(name = "dillspool-dev")]
struct DevArgs {
    #[command(subcommand)]
    command: DevCommand,
}

#[derive(Debug, Subcommand)]
enum DevCommand {
    /// Write the types generated from `crates/dillspool_schema/schema`.
    Generate {
        /// Only compare with what is committed.
        #[arg(long)]
        check: bool,
    },
}

fn main() -> ExitCode {
    let args = DevArgs::parse();
    let DevCommand::Generate { check } = args.command;
    match generate::run(check) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}
