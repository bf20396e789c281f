//! Naive placement.
