//! Command-line program for the demo, load tests and experiments of amaranthfield.

use std::process::ExitCode;

fn main() -> ExitCode {
    amaranth_lab::commands::run(std::env::args_os().skip(1))
}
