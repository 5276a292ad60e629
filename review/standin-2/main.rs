//! Runs the cases of the review.

mod drain;
mod fleet;
mod http;
mod record;
mod service;
mod store;

use std::path::PathBuf;
use std::process::exit;

/// Ends with status 2: the case couldn't run.
pub fn cannot_run(reason: &str) -> ! {
    eprintln!("the case couldn't run: {reason}");
    fleet::kill_all();
    exit(2)
}

fn main() {
    let mut words = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (words.next(), words.next()) else {
        cannot_run("a case and its folder are missing");
    };
    let folder = PathBuf::from(folder);
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let is_broken = match case.as_str() {
        "drain" => drain::run(&folder, has_trouble),
        other => cannot_run(&format!("no case {other}")),
    };
    println!(
        "{}",
        if is_broken {
            "the rule is broken"
        } else {
            "the rule holds"
        }
    );
    exit(i32::from(is_broken));
}
