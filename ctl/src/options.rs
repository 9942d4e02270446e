//! Command-line options, subcommands and their help texts.

use std::path::PathBuf;
use std::str::FromStr;

use bpaf::Bpaf;
use poplar_core::{Name, TargetLimits};

/// Output format.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Format {
    /// Plain text for people.
    Text,
    /// One JSON document per result, for scripts.
    Json,
}

/// Target for which to derive limits, written `SERVICE=SLOTS/CONNECTIONS`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct TargetOption {
    pub(crate) service: Name,
    pub(crate) limits: TargetLimits,
}

/// Why the value of an option could not be parsed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum OptionError {
    #[error("expected text or json")]
    Format,
    #[error("expected SERVICE=SLOTS/CONNECTIONS, as in listings=20/230")]
    Target,
}

impl FromStr for Format {
    type Err = OptionError;

    fn from_str(text: &str) -> Result<Self, OptionError> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(OptionError::Format),
        }
    }
}

impl FromStr for TargetOption {
    type Err = OptionError;

    fn from_str(text: &str) -> Result<Self, OptionError> {
        let (service, sizes) = text.split_once('=').ok_or(OptionError::Target)?;
        let (slots, connections) = sizes.split_once('/').ok_or(OptionError::Target)?;
        let slots = slots.parse().map_err(|_| OptionError::Target)?;
        let connections = connections.parse().map_err(|_| OptionError::Target)?;
        let limits = TargetLimits::derive(slots, connections);
        Ok(Self { service: Name::new(service), limits })
    }
}

/// Exit codes, printed below the help.
const EXIT_CODES: &str = "Exit codes: 0 done; 1 wrong command line; 2 contract file refused, \
    nothing published; 3 another revision is in force, nothing published; 4 log or node \
    unreachable; 5 not confirmed, run the same command again to find out the result; 6 no such \
    contract.";

/// Publishes contracts and shows the contracts in force.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version, footer(EXIT_CODES))]
pub(crate) enum Command {
    /// Publish a contract; says "accepted" once it was read back and every given node confirms it
    #[bpaf(command)]
    Publish {
        /// Address of the platform's log
        #[bpaf(argument("IP:PORT"))]
        log: String,
        /// Admin address of a node that must confirm the result; may be repeated
        #[bpaf(
            argument("IP:PORT"),
            some("--node is required: only a node can confirm which revision is in force")
        )]
        node: Vec<String>,
        /// Revision that this contract replaces; not needed for the first contract of a customer
        #[bpaf(argument("REVISION"), fallback(0))]
        base: u64,
        /// Restart the contract stream if its records expired and no node or snapshot has a state
        restart: bool,
        /// Seconds within which the log and the nodes must confirm the publication
        #[bpaf(argument("SECONDS"), fallback(30), display_fallback)]
        timeout: u64,
        /// Output format: text or json
        #[bpaf(argument("FORM"), fallback(Format::Text))]
        format: Format,
        /// Contract file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Check a contract file and print the limits derived from it; publishes nothing
    #[bpaf(command)]
    Check {
        /// Target for which to derive limits too, as in listings=20/230; may be repeated
        #[bpaf(argument("SERVICE=SLOTS/CONNECTIONS"))]
        target: Vec<TargetOption>,
        /// Output format: text or json
        #[bpaf(argument("FORM"), fallback(Format::Text))]
        format: Format,
        /// Contract file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Print the contract of a customer in force, as a file that can be revised and published
    #[bpaf(command)]
    Show {
        #[bpaf(external)]
        source: Source,
        /// Output format: text or json
        #[bpaf(argument("FORM"), fallback(Format::Text))]
        format: Format,
        /// Name of the customer
        #[bpaf(positional("CUSTOMER"))]
        customer: String,
    },
    /// Print the publications for a customer that the log still has, with their results
    #[bpaf(command)]
    History {
        /// Address of the platform's log
        #[bpaf(argument("IP:PORT"))]
        log: String,
        /// Output format: text or json
        #[bpaf(argument("FORM"), fallback(Format::Text))]
        format: Format,
        /// Name of the customer
        #[bpaf(positional("CUSTOMER"))]
        customer: String,
    },
    /// Print the state of a node
    #[bpaf(command)]
    Dump {
        /// Output format: text or json
        #[bpaf(argument("FORM"), fallback(Format::Text))]
        format: Format,
        /// Admin address of the node
        #[bpaf(positional("IP:PORT"))]
        node: String,
    },
    /// Print each revision as it comes into force, until interrupted
    #[bpaf(command)]
    Watch {
        #[bpaf(external)]
        source: Source,
        /// Output format: text or json
        #[bpaf(argument("FORM"), fallback(Format::Text))]
        format: Format,
        /// End after this many lines
        #[bpaf(argument("COUNT"))]
        lines: Option<usize>,
    },
}

/// Where the contracts in force are read.
#[derive(Debug, Clone, Bpaf)]
pub(crate) enum Source {
    /// Contracts in force by the records of the log
    Log {
        /// Address of the platform's log
        #[bpaf(argument("IP:PORT"))]
        log: String,
    },
    /// Contracts that a node enforces
    Node {
        /// Admin address of a node
        #[bpaf(argument("IP:PORT"))]
        node: String,
    },
}
