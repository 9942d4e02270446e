//! The command line.

use std::path::PathBuf;
use std::str::FromStr;

use bpaf::Bpaf;
use poplar_core::{Name, TargetLimits};

/// Form of the output.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Format {
    /// For people.
    Text,
    /// For scripts.
    Json,
}

/// Target whose limits are to be derived, as `SERVICE=SLOTS/CONNECTIONS`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct TargetOption {
    pub(crate) service: Name,
    pub(crate) limits: TargetLimits,
}

/// Text of an option that cannot be read.
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
    nothing published; 3 another revision is in force, nothing published; 4 log or node out of \
    reach; 5 not confirmed, run the same command again to learn what became of it; 6 no such \
    contract.";

/// Publishes contracts and shows what is in force.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version, footer(EXIT_CODES))]
pub(crate) enum Command {
    /// Publish a contract; says "accepted" once the log gave it back and the nodes enforce it
    #[bpaf(command)]
    Publish {
        /// Address of the platform's log
        #[bpaf(argument("IP:PORT"))]
        log: String,
        /// Admin address of a node whose word is asked for; may stand several times
        #[bpaf(
            argument("IP:PORT"),
            some("--node is needed: only a node can say what is in force")
        )]
        node: Vec<String>,
        /// Revision that you revised; the first contract of a customer needs none
        #[bpaf(argument("REVISION"), fallback(0))]
        base: u64,
        /// Start the stream of contracts anew if its history expired and no node holds a state
        restart: bool,
        /// Seconds within which log and nodes must confirm
        #[bpaf(argument("SECONDS"), fallback(30), display_fallback)]
        timeout: u64,
        /// Form of the output: text or json
        #[bpaf(argument("FORM"), fallback(Format::Text))]
        format: Format,
        /// Contract file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Check a contract file and print the limits that follow from it; publishes nothing
    #[bpaf(command)]
    Check {
        /// Target whose limits to derive too, as in listings=20/230; may stand several times
        #[bpaf(argument("SERVICE=SLOTS/CONNECTIONS"))]
        target: Vec<TargetOption>,
        /// Form of the output: text or json
        #[bpaf(argument("FORM"), fallback(Format::Text))]
        format: Format,
        /// Contract file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Print the contract of a customer as the file to revise
    #[bpaf(command)]
    Show {
        #[bpaf(external)]
        source: Source,
        /// Form of the output: text or json
        #[bpaf(argument("FORM"), fallback(Format::Text))]
        format: Format,
        /// Customer
        #[bpaf(positional("CUSTOMER"))]
        customer: String,
    },
    /// Print what was published for a customer and what became of it
    #[bpaf(command)]
    History {
        /// Address of the platform's log
        #[bpaf(argument("IP:PORT"))]
        log: String,
        /// Form of the output: text or json
        #[bpaf(argument("FORM"), fallback(Format::Text))]
        format: Format,
        /// Customer
        #[bpaf(positional("CUSTOMER"))]
        customer: String,
    },
    /// Print the state of a node
    #[bpaf(command)]
    Dump {
        /// Form of the output: text or json
        #[bpaf(argument("FORM"), fallback(Format::Text))]
        format: Format,
        /// Admin address of the node
        #[bpaf(positional("IP:PORT"))]
        node: String,
    },
    /// Print each contract as it comes into force, until interrupted
    #[bpaf(command)]
    Watch {
        #[bpaf(external)]
        source: Source,
        /// Form of the output: text or json
        #[bpaf(argument("FORM"), fallback(Format::Text))]
        format: Format,
        /// End after this many lines
        #[bpaf(argument("COUNT"))]
        lines: Option<usize>,
    },
}

/// Where a contract is looked up.
#[derive(Debug, Clone, Bpaf)]
pub(crate) enum Source {
    /// What the log says
    Log {
        /// Address of the platform's log
        #[bpaf(argument("IP:PORT"))]
        log: String,
    },
    /// What a node enforces
    Node {
        /// Admin address of a node
        #[bpaf(argument("IP:PORT"))]
        node: String,
    },
}
