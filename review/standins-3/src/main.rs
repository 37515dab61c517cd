//! Plays the cases of the review against hosts of the project, with stand-ins of the store, the workers and the
//! clients.
//!
//! `cases NUMBER ROOT FOLDER` writes `record.txt` to FOLDER. With `TROUBLE=0` it leaves the disruption out. It ends
//! with 0 if the rule held, 1 if it was broken, and 2 if the case could not run.

mod case_11;
mod case_12;
mod client;
mod host;
mod http;
mod record;
mod site;
mod store;
mod worker;

use std::env;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

fn play(number: &str, root: &Path, folder: &Path) -> io::Result<bool> {
    let with_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let record = Arc::new(Record::create(&folder.join("record.txt"))?);
    let played = match number {
        "11" => case_11::play(root, &record, with_trouble),
        "12" => case_12::play(root, &record, with_trouble),
        _ => Err(io::Error::other("no such case")),
    };
    match &played {
        Ok(true) => record.note("the rule held"),
        Ok(false) => record.note("the rule was broken"),
        Err(error) => record.note(&format!("the case could not run: {error}")),
    }
    played
}

fn main() -> ExitCode {
    let arguments: Vec<_> = env::args().skip(1).collect();
    if let Some(("leave", rest)) = arguments
        .split_first()
        .map(|(first, rest)| (first.as_str(), rest))
    {
        return case_11::leave(rest).map_or(ExitCode::from(2), |()| ExitCode::SUCCESS);
    }
    let [number, root, folder] = arguments.as_slice() else {
        eprintln!("cases NUMBER ROOT FOLDER");
        return ExitCode::from(2);
    };
    match play(number, &PathBuf::from(root), &PathBuf::from(folder)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("cases: {error}");
            ExitCode::from(2)
        }
    }
}
