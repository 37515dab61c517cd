//! Exit codes of invalid and valid command lines.

use std::process::ExitCode;

use rstest::rstest;

#[rstest]
#[case::no_command(&[], 2)]
#[case::unknown_command(&["stauts"], 2)]
#[case::unknown_flag(&["demo", "--sty"], 2)]
#[case::missing_option(&["publish", "plans", "file"], 2)]
#[case::bad_value(&["load", "--scenario", "charnwood", "--seed", "x"], 2)]
#[case::unknown_scenario(&["load", "--scenario", "mars"], 2)]
#[case::unreadable_file(&["publish", "plans", "no-such-file", "--base", "0", "--node", "127.0.0.1:1", "--key", "k"], 3)]
#[case::unreachable_node(&["status", "--node", "127.0.0.1:1", "--key", "k"], 3)]
#[case::help(&["--help"], 0)]
#[case::help_of_a_command(&["soak", "--help"], 0)]
fn exit_codes_are_as_documented(#[case] arguments: &[&str], #[case] code: u8) {
    let parser = lexopt::Parser::from_args(arguments);
    let exit_code = filbertctl::cmd::run(parser);
    assert_eq!(
        format!("{exit_code:?}"),
        format!("{:?}", ExitCode::from(code))
    );
}
