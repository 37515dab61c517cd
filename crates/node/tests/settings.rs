//! Tests that every problem in the settings is reported with its line, its key and a remedy.

use filbertstage_node::settings::Settings;
use rstest::rstest;

const BASE: &str = r#""host": "h", "domain": "d", "fleet_key": "0123456789abcdef0123456789abcdef""#;

#[rstest]
#[case::unknown_key("unknown_key", r#"{BASE}, "hots": 1"#)]
#[case::unknown_inner_key(
    "unknown_inner_key",
    "{BASE},\n  \"routing\": {\n    \"polcy\": \"x\"\n  }"
)]
#[case::wrong_type(
    "wrong_type",
    "{BASE},\n  // a comment\n  \"times\": { \"drain_ms\": \"long\" }"
)]
#[case::impossible_values(
    "impossible_values",
    "{BASE},\n  \"routing\": {\n    \"policy\": \"fastest\",\n    \"short_weight\": 3\n  }"
)]
#[case::two_problems(
    "two_problems",
    "{BASE},\n  \"times\": { \"drain_ms\": -1 },\n  \"log\": { \"levle\": \"info\" }"
)]
#[case::nothing_set("nothing_set", "")]
#[case::bad_rule(
    "bad_rule",
    "{BASE},\n  \"admission\": { \"rules\": [\"allowed\", \"be_nice\"] }"
)]
#[case::not_json("not_json", "{BASE},\n  \"times\": {")]
fn problems_include_line_key_and_remedy(#[case] name: &str, #[case] body: &str) {
    let text = format!("{{\n{}\n}}", body.replace("{BASE}", BASE));
    let problems = Settings::read(&text).expect_err("the settings are invalid");
    insta::assert_snapshot!(name, problems.to_string());
}

#[test]
fn example_is_valid_and_defaults_match_snapshot() {
    let example = include_str!("../../../filbertstage.example.json");
    let settings = Settings::read(example).expect("the example is valid");
    assert!((settings.routing.short_weight - 1.0).abs() < f64::EPSILON);
    insta::assert_json_snapshot!("defaults", Settings::default());
}

#[test]
fn every_key_is_documented() {
    let page = include_str!("../../../docs/settings.md");
    let defaults = serde_json::to_value(Settings::default()).expect("settings serialize to JSON");
    let mut missing = Vec::new();
    for (key, value) in defaults
        .as_object()
        .expect("settings serialize to an object")
    {
        match value.as_object() {
            Some(inner) => missing.extend(inner.keys().map(|inner| format!("{key}.{inner}"))),
            None => missing.push(key.clone()),
        }
    }
    missing.retain(|key| !page.contains(&format!("`{key}`")));
    assert_eq!(
        missing,
        Vec::<String>::new(),
        "keys that docs/settings.md does not document"
    );
}
