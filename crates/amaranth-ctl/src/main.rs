//! The program `amaranthctl`.

use std::io;
use std::process::ExitCode;

use amaranth_ctl::output::CommandOutput;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let output = CommandOutput::new(Box::new(io::stdout()), Box::new(io::stderr()));
    amaranth_ctl::run(std::env::args_os().skip(1), output)
        .await
        .into()
}
