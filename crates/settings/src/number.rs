//! Numbers in settings that a program renders: whole ones, fractions, and either as a text.

use std::fmt;

use serde::Deserializer;
use serde::de::{Error, Unexpected, Visitor};

/// Largest whole number up to which a fraction is exact, in the format of JSON's numbers.
const MAX_EXACT: f64 = 9_007_199_254_740_992.0;

/// Deserializes a whole number from zero. Fractions are rounded down, so that no limit gets longer.
///
/// # Errors
///
/// A value that is no number from zero to 2^53 is an invalid value.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is in the range of exact whole numbers"
)]
pub fn whole<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    real(deserializer).map(|value| value as u64)
}

/// Deserializes a number from zero.
///
/// # Errors
///
/// See [`whole`].
pub fn real<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    deserializer.deserialize_any(Number)
}

/// Deserializes a number from zero that may be left out.
///
/// # Errors
///
/// See [`whole`].
pub fn optional<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<f64>, D::Error> {
    deserializer.deserialize_option(Optional)
}

struct Number;

impl Number {
    fn check<E: Error>(&self, value: f64, unexpected: Unexpected<'_>) -> Result<f64, E> {
        if (0.0..=MAX_EXACT).contains(&value) {
            Ok(value)
        } else {
            Err(E::invalid_value(unexpected, self))
        }
    }
}

impl Visitor<'_> for Number {
    type Value = f64;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a number from zero")
    }

    #[allow(clippy::cast_precision_loss, reason = "such numbers are out of range")]
    fn visit_u64<E: Error>(self, value: u64) -> Result<f64, E> {
        self.check(value as f64, Unexpected::Unsigned(value))
    }

    #[allow(clippy::cast_precision_loss, reason = "such numbers are out of range")]
    fn visit_i64<E: Error>(self, value: i64) -> Result<f64, E> {
        self.check(value as f64, Unexpected::Signed(value))
    }

    fn visit_f64<E: Error>(self, value: f64) -> Result<f64, E> {
        self.check(value, Unexpected::Float(value))
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<f64, E> {
        let value = text.trim().parse().unwrap_or(f64::NAN);
        self.check(value, Unexpected::Str(text))
    }
}

struct Optional;

impl<'de> Visitor<'de> for Optional {
    type Value = Option<f64>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        Number.expecting(formatter)
    }

    fn visit_none<E: Error>(self) -> Result<Option<f64>, E> {
        Ok(None)
    }

    fn visit_unit<E: Error>(self) -> Result<Option<f64>, E> {
        Ok(None)
    }

    fn visit_some<D: Deserializer<'de>>(self, deserializer: D) -> Result<Option<f64>, D::Error> {
        real(deserializer).map(Some)
    }
}
