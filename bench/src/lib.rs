//! Empty: the measurements are part of the `poplar-bench` program.
