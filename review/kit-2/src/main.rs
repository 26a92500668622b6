//! Drives the cases of this review: `review_kit_2 CASE ROOT RECORD`.

mod case4;
mod case5;
mod engine;
mod http;
mod json;
mod record;
mod router;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(root), Some(record)) = (args.get(1), args.get(2), args.get(3)) else {
        eprintln!("usage: review_kit_2 CASE ROOT RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let outcome = match case.as_str() {
        "case4" => case4::run(&PathBuf::from(root), record, has_trouble),
        "case5" => case5::run(&PathBuf::from(root), record, has_trouble),
        _ => Err(format!("no case {case}")),
    };
    match outcome {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(cause) => {
            eprintln!("the case couldn't run: {cause}");
            ExitCode::from(2)
        }
    }
}
