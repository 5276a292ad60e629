//! Tests of the entry through its library, with fakes at its borders.

mod claims;
mod completions;
mod streams;
mod support;
