//! Runs one case: `review-standins CASE RECORD`, in the root of the repository. Exits with 1 if the
//! rule was broken, 0 if it held, 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

#[allow(dead_code)]
mod fleet;
mod harmful;
mod leaving;
mod partial;
mod reader;

use std::{
    panic::{AssertUnwindSafe, catch_unwind},
    path::PathBuf,
    process::ExitCode,
};

use fleet::Record;
use harmful::PromptShape;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-standins CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = !std::env::var("TROUBLE").is_ok_and(|it| it == "0");
    let record = Record::new();
    // What cannot be set up ends in a panic.
    let outcome = catch_unwind(AssertUnwindSafe(|| match case.as_str() {
        "partial" => partial::run(&record, has_trouble),
        "reader" => reader::run(&record, has_trouble),
        "harmful" => harmful::run(&record, has_trouble, PromptShape::Long),
        "parts" => harmful::run(&record, has_trouble, PromptShape::ManyParts),
        "leaving" => leaving::run(&record, has_trouble),
        _ => Err(format!("no case {case}")),
    }))
    .unwrap_or_else(|_| Err("a stand-in or a process could not be started".into()));
    let code = match outcome {
        Ok(broken) => {
            record.add(if broken { "RULE BROKEN" } else { "rule held" });
            u8::from(broken)
        }
        Err(reason) => {
            record.add(format!("cannot run: {reason}"));
            2
        }
    };
    record.write(&PathBuf::from(path));
    ExitCode::from(code)
}
