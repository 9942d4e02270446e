//! Members of a service, as one node sees them.
