//! Compares settings.

use serde::Serialize;
use serde_json::Value;

/// Returns the keys whose values differ, in full, such as `times.drain_ms`.
#[must_use]
pub fn changed_keys<T: Serialize>(before: &T, after: &T) -> Vec<String> {
    let value = |settings| serde_json::to_value(settings).unwrap_or_default();
    let mut keys = Vec::new();
    compare("", &value(before), &value(after), &mut keys);
    keys
}

fn compare(key: &str, before: &Value, after: &Value, keys: &mut Vec<String>) {
    match (before, after) {
        (Value::Object(before), Value::Object(after)) => {
            let removed = before.keys().filter(|name| !after.contains_key(*name));
            for name in after.keys().chain(removed) {
                let value = |object: &serde_json::Map<_, _>| object.get(name).cloned();
                let nested = if key.is_empty() {
                    name.clone()
                } else {
                    format!("{key}.{name}")
                };
                let (before, after) = (value(before), value(after));
                compare(
                    &nested,
                    &before.unwrap_or_default(),
                    &after.unwrap_or_default(),
                    keys,
                );
            }
        }
        _ if before == after => {}
        _ => keys.push(key.to_owned()),
    }
}
