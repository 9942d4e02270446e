//! The process beside each target: takes calls in, routes them, admits them, runs them there.

mod announce;
mod budgets;
mod contracts;
mod directory;
mod ends;
mod entry;
mod follow;
mod gate;
mod handover;
mod levels;
mod links;
mod members;
mod metrics;
mod once;
mod platform;
mod process;
mod route;
mod runs;
mod sends;
mod settings;
mod suspects;
mod target;
mod work;

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;

use crate::settings::Settings;

/// Exit code when the settings are refused.
const EXIT_SETTINGS: u8 = 2;
/// Exit code when the process cannot start.
const EXIT_START: u8 = 1;

/// Overload control beside one target.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// YAML file with the settings.
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let opts = options().run();
    let settings = match Settings::load(&opts.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("poplar-node: settings: {error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    match process::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("poplar-node: start: {error}");
            ExitCode::from(EXIT_START)
        }
    }
}
