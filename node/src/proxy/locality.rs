//! How far links and news go.

/// How far a link or a piece of news goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Locality {
    /// To a node of the own availability zone.
    SameZone,
    /// To a node of another one, or of one that is not known.
    CrossZone,
}
