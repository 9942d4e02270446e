//! Stand-ins and scripts of the second review: `review-case-2 CASE FOLDER`.
//!
//! Exit codes: 0 if the rule held, 1 if it was broken, 2 if the case could not run. With
//! `TROUBLE=0` in the environment, the case runs without its disruption.

mod body_crowd;
mod crowd;
mod half_requests;
mod http;
mod left_bodies;
mod machine;
mod pipelined_stop;
mod record;
mod relay;
mod small_window;
mod store;

use std::path::Path;
use std::process::ExitCode;

use crate::record::Record;

/// Result of a case that ran to its end.
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = args.as_slice() else {
        eprintln!("usage: review-case-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(Path::new(folder)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(2);
        }
    };
    let result = match case.as_str() {
        "pipelined-stop" => pipelined_stop::run(&record, trouble),
        "half-requests" => half_requests::run(&record, trouble),
        "body-crowd" => body_crowd::run(&record, trouble),
        "left-bodies" => left_bodies::run(&record, trouble),
        _ => Err(format!("unknown case {case}")),
    };
    match result {
        Ok(Verdict::Held) => {
            record.line("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            record.line("the rule was broken");
            ExitCode::from(1)
        }
        Err(error) => {
            record.line(&format!("the case could not run: {error}"));
            ExitCode::from(2)
        }
    }
}
