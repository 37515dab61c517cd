//! Which build a program is.

use std::process::Command;

/// Guards against reports of builds that nobody can tell apart.
#[test]
fn the_version_states_a_digest_of_the_sources() {
    let program = env!("CARGO_BIN_EXE_filbertstage");
    let output = Command::new(program).arg("--version").output();
    let output = output.expect("the program runs").stdout;
    let text = String::from_utf8(output).expect("text");
    let digest = text
        .trim_end()
        .strip_prefix("filbertstage 0.1.0 (sources ")
        .and_then(|rest| rest.strip_suffix(')'));
    let is_digest =
        |digest: &str| digest.len() == 12 && digest.chars().all(|digit| digit.is_ascii_hexdigit());
    assert!(digest.is_some_and(is_digest), "{text:?}");
}
