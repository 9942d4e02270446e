//! Call graph and load mix of request classes, as given on the stand-ins' command lines.

use std::collections::BTreeMap;
use std::str::FromStr;

use poplar_core::{Contract, Name};

/// Classes that a run of each class calls, in the order of the calls.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ClassGraph(BTreeMap<Name, Vec<Name>>);

/// Why a graph or a mix could not be parsed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum GraphError {
    /// An entry is not of the form `CLASS=CHILD+CHILD`.
    #[error("`{0}`: expected CLASS=CHILD+CHILD")]
    Entry(String),
    /// An entry is not of the form `CLASS=WEIGHT`, or its weight is not a whole number above zero.
    #[error("`{0}`: expected CLASS=WEIGHT with a whole weight above zero")]
    Weight(String),
}

impl ClassGraph {
    /// Graph of the calls that the classes of a contract make.
    pub fn from_contract(contract: &Contract) -> Self {
        let classes = contract.classes.iter();
        Self(classes.map(|(class, terms)| (class.clone(), terms.calls.clone())).collect())
    }

    /// Classes that a run of `class` calls, in the order of the calls.
    pub fn children(&self, class: &str) -> &[Name] {
        self.0.get(&Name::new(class)).map_or(&[], Vec::as_slice)
    }
}

impl FromStr for ClassGraph {
    type Err = GraphError;

    fn from_str(text: &str) -> Result<Self, GraphError> {
        let entries = text.split(',').filter(|entry| !entry.trim().is_empty());
        let parsed = entries.map(|entry| {
            let (class, children) =
                split_entry(entry).ok_or_else(|| GraphError::Entry(entry.into()))?;
            Ok((Name::new(class), children.split('+').map(Name::new).collect()))
        });
        parsed.collect::<Result<_, _>>().map(Self)
    }
}

/// Class in a load mix, with its weight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MixEntry {
    /// Class that is called.
    pub class: Name,
    /// Share of the load, relative to the other weights.
    pub weight: u64,
}

/// Parses a load mix of the form `CLASS=WEIGHT,CLASS=WEIGHT`.
pub fn parse_mix(text: &str) -> Result<Vec<MixEntry>, GraphError> {
    let entries = text.split(',').map(|entry| {
        let error = || GraphError::Weight(entry.into());
        let (class, weight) = split_entry(entry).ok_or_else(error)?;
        let weight = weight.parse().ok().filter(|weight| *weight > 0).ok_or_else(error)?;
        Ok(MixEntry { class: Name::new(class), weight })
    });
    entries.collect()
}

fn split_entry(entry: &str) -> Option<(&str, &str)> {
    let (class, rest) = entry.trim().split_once('=')?;
    (!class.is_empty() && !rest.is_empty()).then_some((class, rest))
}
