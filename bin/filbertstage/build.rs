//! Computes a digest of the sources, so that logs and `--version` tell which build runs.

use std::path::{Path, PathBuf};
use std::{env, fs, io};

use sha2::{Digest, Sha256};

/// What the program is built from, in the workspace.
const SOURCES: [&str; 4] = [
    "Cargo.lock",
    "bin/filbertstage/src",
    "crates",
    "platform/src",
];
/// Number of hexadecimal digits of the digest that are kept.
const DIGITS: usize = 12;

fn main() -> io::Result<()> {
    let package = env::var_os("CARGO_MANIFEST_DIR").map(PathBuf::from);
    let workspace = package.unwrap_or_default().join("../..");
    let mut files = Vec::new();
    for source in SOURCES {
        println!("cargo::rerun-if-changed=../../{source}");
        collect(&workspace.join(source), &mut files)?;
    }
    files.sort();
    let mut digest = Sha256::new();
    for file in files {
        let path = file.strip_prefix(&workspace).unwrap_or(&file);
        digest.update(path.as_os_str().as_encoded_bytes());
        let content = fs::read(&file)?;
        digest.update(content.len().to_le_bytes());
        digest.update(content);
    }
    let digest = hex::encode(digest.finalize());
    println!(
        "cargo::rustc-env=FILBERTSTAGE_SOURCES={}",
        &digest[..DIGITS]
    );
    Ok(())
}

/// Adds the file at `path`, or the files in that directory without tests.
fn collect(path: &Path, files: &mut Vec<PathBuf>) -> io::Result<()> {
    if !path.is_dir() {
        files.push(path.to_owned());
        return Ok(());
    }
    for entry in fs::read_dir(path)? {
        let entry = entry?;
        if entry.file_name() != "tests" {
            collect(&entry.path(), files)?;
        }
    }
    Ok(())
}
