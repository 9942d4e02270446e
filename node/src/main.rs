//! Command line of the node with the product's own interface.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use poplar_kernel::SettingsError;
use poplar_node::{Settings, TABLE};

/// Exit code when the settings are invalid.
const EXIT_SETTINGS: u8 = 2;
/// Exit code when the process cannot start.
const EXIT_START: u8 = 1;

/// Overload control beside one target.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum Options {
    /// Run with these settings
    Run {
        /// YAML file with the settings
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
    },
    /// Check a settings file and exit
    Check {
        /// YAML file to check
        #[bpaf(argument("FILE"))]
        check_settings: PathBuf,
    },
    /// Print every setting with its range, default and use, as a file to fill in
    PrintSettings,
}

fn main() -> ExitCode {
    match options().run() {
        Options::Run { settings } => match Settings::load(&settings) {
            Ok(settings) => run(settings),
            Err(error) => report_settings_error(&error),
        },
        Options::Check { check_settings } => match Settings::load(&check_settings) {
            Ok(_) => ExitCode::SUCCESS,
            Err(error) => report_settings_error(&error),
        },
        Options::PrintSettings => {
            print!("{}", TABLE.help());
            ExitCode::SUCCESS
        }
    }
}

fn run(settings: Settings) -> ExitCode {
    match poplar_node::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("poplar-node: start: {error}");
            ExitCode::from(EXIT_START)
        }
    }
}

fn report_settings_error(error: &SettingsError) -> ExitCode {
    eprintln!("poplar-node: settings: {error}");
    ExitCode::from(EXIT_SETTINGS)
}
