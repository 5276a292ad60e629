//! Stand-ins and requesters of the review's cases. The first argument names the case, the second the
//! file of the record. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod engine;
mod http;
mod kept_channels;
mod late_extra;
mod late_order;
mod second_model;
mod service;
mod slow_readers;
mod store;
mod util;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("usage: review-standin CASE RECORD");
        std::process::exit(2);
    };
    util::open_record(path);
    util::record(&format!("case {case}, disruption: {}", util::trouble()));
    let run = || match case.as_str() {
        "late-extra" => late_extra::run(),
        "late-order" => late_order::run(),
        "kept-channels" => kept_channels::run(),
        "second-model" => second_model::run(),
        "slow-readers" => slow_readers::run(),
        _ => util::cannot_run("no such case"),
    };
    let status = std::panic::catch_unwind(run).unwrap_or_else(|_| {
        util::end_programs();
        2
    });
    std::process::exit(status);
}
