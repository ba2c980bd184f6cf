//! Cases of the third review that are scripts: `review3 CASE ROOT FOLDER`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With `TROUBLE=0`
//! in the environment the case runs without its disruption.

mod client;
mod drill;
mod fleet;
mod gone;
mod http;
mod relearn;
mod server;
mod setup;
mod store;
mod turned;

use std::{path::PathBuf, time::Duration};

use relearn::Trouble;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, folder] = &arguments[..] else {
        eprintln!("usage: review3 CASE ROOT FOLDER");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let (root, folder) = (PathBuf::from(root), PathBuf::from(folder));
    fleet::start_watchdog(Duration::from_secs(110));
    let result = match case.as_str() {
        "gone" => gone::run(&root, &folder, has_trouble),
        "drill" => drill::run(&root, &folder, has_trouble),
        "turned" => turned::run(&root, &folder, has_trouble),
        "relearn" => relearn::run(&root, &folder, Trouble::Kill, has_trouble),
        "moved" => relearn::run(&root, &folder, Trouble::Move, has_trouble),
        _ => Err(format!("unknown case {case}").into()),
    };
    match result {
        Ok(is_kept) => {
            println!("{}", if is_kept { "the rule held" } else { "the rule was broken" });
            std::process::exit(if is_kept { 0 } else { 1 });
        }
        Err(error) => {
            println!("the case could not run: {error}");
            std::process::exit(2);
        }
    }
}
