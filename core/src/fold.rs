//! Fold of the log's contract records into the contracts in force.
