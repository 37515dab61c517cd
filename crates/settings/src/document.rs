//! A parsed document that keeps the position of each key.

use std::fmt;

use jsonc_parser::ast::{self, ObjectPropName};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use serde::de::DeserializeOwned;
use serde_json::Value;

/// A problem in the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Line number, from one.
    pub line: usize,
    /// Path of the key, such as `routing.policy`; `the text` if the text is not a JSON object.
    pub key: String,
    /// Description of the problem and the remedy.
    pub message: String,
}

/// All problems that were found in the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problems(pub Vec<Problem>);

impl fmt::Display for Problem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "line {}: {}: {}",
            self.line, self.key, self.message
        )
    }
}

impl fmt::Display for Problems {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<_> = self.0.iter().map(ToString::to_string).collect();
        formatter.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for Problems {}

/// A parsed document that keeps the position of each key.
pub struct Document<'a> {
    text: &'a str,
    root: ast::Value<'a>,
}

impl<'a> Document<'a> {
    /// Parses JSON with comments.
    ///
    /// # Errors
    ///
    /// One problem, with the line of the syntax error, or line 1 if the text is not a JSON object.
    pub fn parse(text: &'a str) -> Result<Self, Problems> {
        let parsed = parse_to_ast(text, &CollectOptions::default(), &ParseOptions::default());
        let syntax_error = |line, message: String| {
            Problems(vec![Problem {
                line,
                key: "the text".to_owned(),
                message,
            }])
        };
        match parsed {
            Ok(result) => match result.value {
                Some(root @ ast::Value::Object(_)) => Ok(Self { text, root }),
                _ => Err(syntax_error(
                    1,
                    "not a JSON object: write the settings as {\"host\": ...}".to_owned(),
                )),
            },
            Err(error) => {
                let line = error.line_display();
                Err(syntax_error(
                    line,
                    format!("{}: correct the JSON", error.kind()),
                ))
            }
        }
    }

    /// Deserializes the document. A key with an unknown name or an invalid value keeps its default
    /// and is reported as a problem. A key with an empty text counts as left out, since that is what a
    /// template renders for a value that is missing.
    #[must_use]
    pub fn deserialize<T: DeserializeOwned + Default>(&self) -> (T, Vec<Problem>) {
        let mut value = Value::from(self.root.clone());
        remove_empty(&mut value);
        let mut problems = Vec::new();
        loop {
            let error = match serde_path_to_error::deserialize(&value) {
                Ok(settings) => return (settings, problems),
                Err(error) => error,
            };
            let key = error.path().to_string();
            problems.push(self.problem(&key, &add_remedy(&error.into_inner().to_string())));
            if !remove_value(&mut value, &key) {
                return (T::default(), problems);
            }
        }
    }

    /// Creates a problem for the key at `path`, with the key's line.
    #[must_use]
    pub fn problem(&self, path: &str, message: &str) -> Problem {
        Problem {
            line: self.line_of(path),
            key: path.to_owned(),
            message: message.to_owned(),
        }
    }

    fn line_of(&self, path: &str) -> usize {
        let mut value = &self.root;
        let mut start = value.range().start;
        for segment in path_segments(path) {
            let next = match value {
                ast::Value::Object(object) => object.properties.iter().find_map(|property| {
                    let name = property_name(&property.name);
                    (name == segment).then_some((property.range.start, &property.value))
                }),
                ast::Value::Array(array) => segment
                    .parse::<usize>()
                    .ok()
                    .and_then(|index| array.elements.get(index))
                    .map(|element| (element.range().start, element)),
                _ => None,
            };
            let Some((position, inner)) = next else {
                break;
            };
            start = position;
            value = inner;
        }
        self.text[..start].matches('\n').count() + 1
    }
}

fn property_name<'a>(name: &'a ObjectPropName<'_>) -> &'a str {
    match name {
        ObjectPropName::String(literal) => &literal.value,
        ObjectPropName::Word(word) => word.value,
    }
}

fn path_segments(path: &str) -> impl Iterator<Item = &str> {
    path.split(['.', '[', ']'])
        .filter(|segment| !segment.is_empty())
}

/// Removes all keys with empty texts.
fn remove_empty(value: &mut Value) {
    if let Value::Object(object) = value {
        object.retain(|_, value| value.as_str() != Some(""));
        object.values_mut().for_each(remove_empty);
    }
}

/// Removes the value at `path`. Returns false if there is none.
fn remove_value(value: &mut Value, path: &str) -> bool {
    let mut segments: Vec<_> = path_segments(path).collect();
    let Some(last) = segments.pop() else {
        return false;
    };
    let mut parent = value;
    for segment in segments {
        let inner = match parent {
            Value::Object(object) => object.get_mut(segment),
            Value::Array(array) => segment
                .parse::<usize>()
                .ok()
                .and_then(|index| array.get_mut(index)),
            _ => None,
        };
        let Some(inner) = inner else {
            return false;
        };
        parent = inner;
    }
    match parent {
        Value::Object(object) => object.remove(last).is_some(),
        Value::Array(array) => match last.parse::<usize>() {
            Ok(index) if index < array.len() => {
                array.remove(index);
                true
            }
            _ => false,
        },
        _ => false,
    }
}

/// Adds the remedy to a message of the deserializer.
fn add_remedy(message: &str) -> String {
    if let Some(rest) = message.strip_prefix("unknown field ") {
        return format!("unknown key {rest}: correct the name or remove it");
    }
    format!("{message}: correct the value")
}
