//! The command line's words.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand, ValueEnum};

/// Steers dillspool: applies configurations and shows what the system reports.
///
/// Exit codes: 0 done; 1 failed; 2 wrong words; 3 invalid configuration; 4 lost a race with
/// another operator; 5 unclear or not yet in force everywhere.
#[derive(Debug, Parser)]
#[command(name = "dillspool", version)]
pub(crate) struct CliArgs {
    #[command(subcommand)]
    pub(crate) command: CliCommand,
}

/// How to reach a host's operators' listener.
#[derive(Args, Clone, Debug)]
pub(crate) struct ServerArgs {
    /// Address of any host's operators' listener.
    #[arg(long, env = "DILLSPOOL_SERVER", default_value = "127.0.0.1:8081")]
    pub(crate) server: SocketAddr,
}

/// Form of the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub(crate) enum OutputForm {
    /// For people.
    Text,
    /// For programs.
    Json,
}

/// Which example the demo plays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub(crate) enum ExampleName {
    /// Air quality network in Nairobi.
    HewaSafi,
    /// Press release wires in Munich.
    SharedWire,
}

#[derive(Debug, Subcommand)]
pub(crate) enum CliCommand {
    /// Check a configuration file without applying it.
    Check {
        /// The file.
        file: PathBuf,
    },
    /// Show what applying a file would change.
    Diff {
        /// The file.
        file: PathBuf,
        #[command(flatten)]
        server: ServerArgs,
    },
    /// Apply a file as a whole and wait until it is in force on every host.
    Apply {
        /// The file.
        file: PathBuf,
        /// Version the file was made for; another operator's change in between is refused.
        #[arg(long)]
        expected: Option<u64>,
        /// Seconds to wait until every host acts on it.
        #[arg(long, default_value_t = 30)]
        wait_s: u64,
        #[command(flatten)]
        server: ServerArgs,
    },
    /// Show the configuration in force.
    Get {
        /// Form of the output.
        #[arg(long, value_enum, default_value_t = OutputForm::Text)]
        output: OutputForm,
        #[command(flatten)]
        server: ServerArgs,
    },
    /// Show hosts, versions and pools.
    Status {
        /// Form of the output.
        #[arg(long, value_enum, default_value_t = OutputForm::Text)]
        output: OutputForm,
        #[command(flatten)]
        server: ServerArgs,
    },
    /// Show who changed what, and when.
    Audit {
        /// Only changes after this version.
        #[arg(long, default_value_t = 0)]
        after: u64,
        /// Form of the output.
        #[arg(long, value_enum, default_value_t = OutputForm::Text)]
        output: OutputForm,
        #[command(flatten)]
        server: ServerArgs,
    },
    /// Show the pools again and again.
    Top {
        /// Seconds to go on.
        #[arg(long, default_value_t = 60)]
        seconds: u64,
        #[command(flatten)]
        server: ServerArgs,
    },
    /// Let the host end after its requests.
    Drain {
        #[command(flatten)]
        server: ServerArgs,
    },
    /// Tell the story of one request from the logs of routing hosts.
    Explain {
        /// The request's id.
        id: String,
        /// Log files; standard input when there are none.
        files: Vec<PathBuf>,
    },
    /// Count the calls in the logs of routing hosts on which one host decides: waits, rejections, decisions that
    /// were not followed.
    Calls {
        /// Log files; standard input when there are none.
        files: Vec<PathBuf>,
    },
    /// Count how the requests in the logs of routing hosts ended, and why streams were late.
    Late {
        /// Log files; standard input when there are none.
        files: Vec<PathBuf>,
    },
    /// Count how the requests of each workspace in the logs of routing hosts fared against its limit, and list
    /// what backend servers say they take.
    Limits {
        /// Log files; standard input when there are none.
        files: Vec<PathBuf>,
    },
    /// List the requests in the logs of routing hosts under which backend servers ended.
    Suspects {
        /// Log files; standard input when there are none.
        files: Vec<PathBuf>,
    },
    /// Hash a key read from standard input, for configuration and settings files.
    HashKey,
    /// Print the completions of a shell.
    Completions {
        /// The shell.
        shell: clap_complete::Shell,
    },
    /// Run the whole path in this process against stand-ins.
    Demo {
        /// Which example to play.
        #[arg(long, value_enum, default_value_t = ExampleName::HewaSafi)]
        example: ExampleName,
        /// Stay up and print addresses and keys until interrupted.
        #[arg(long)]
        serve: bool,
    },
}
