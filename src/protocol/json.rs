//! Reading of messages in JSON: a message is an object, and an integer may be spelled in each way that JSON has for it.

use serde::Deserializer;
use serde::de::{DeserializeOwned, Error, Unexpected, Visitor};

/// The largest integer up to which numbers with a fraction or an exponent are exact.
const EXACT_FLOAT_MAX: f64 = 9_007_199_254_740_992.0;

/// Parses a message. Anything but an object is an error, also a list of values in the order of the fields.
pub(crate) fn from_object<T: DeserializeOwned>(body: &[u8]) -> Result<T, serde_json::Error> {
    match body.trim_ascii_start().first() {
        Some(b'{') => serde_json::from_slice(body),
        _ => Err(serde_json::Error::custom("not an object")),
    }
}

/// Deserializes an integer that may be spelled with a fraction of zero or an exponent, as in `4.0` or `1e2`.
pub(crate) fn integer<'de, T, D>(deserializer: D) -> Result<T, D::Error>
where
    T: TryFrom<u64>,
    D: Deserializer<'de>,
{
    let value = deserializer.deserialize_u64(IntegerVisitor)?;
    T::try_from(value).map_err(|_| D::Error::invalid_value(Unexpected::Unsigned(value), &EXPECTED))
}

/// As [`integer`], for a field that may be null.
pub(crate) fn optional_integer<'de, D>(deserializer: D) -> Result<Option<u64>, D::Error>
where
    D: Deserializer<'de>,
{
    deserializer.deserialize_option(OptionalVisitor)
}

const EXPECTED: &str = "an integer in range";

struct IntegerVisitor;

impl Visitor<'_> for IntegerVisitor {
    type Value = u64;

    fn expecting(&self, formatter: &mut std::fmt::Formatter) -> std::fmt::Result {
        formatter.write_str(EXPECTED)
    }

    fn visit_u64<E: Error>(self, value: u64) -> Result<u64, E> {
        Ok(value)
    }

    fn visit_i64<E: Error>(self, value: i64) -> Result<u64, E> {
        u64::try_from(value).map_err(|_| E::invalid_value(Unexpected::Signed(value), &self))
    }

    fn visit_f64<E: Error>(self, value: f64) -> Result<u64, E> {
        if value.fract() == 0.0 && (0.0..=EXACT_FLOAT_MAX).contains(&value) {
            return Ok(value as u64);
        }
        Err(E::invalid_value(Unexpected::Float(value), &self))
    }
}

struct OptionalVisitor;

impl<'de> Visitor<'de> for OptionalVisitor {
    type Value = Option<u64>;

    fn expecting(&self, formatter: &mut std::fmt::Formatter) -> std::fmt::Result {
        formatter.write_str(EXPECTED)
    }

    fn visit_none<E: Error>(self) -> Result<Self::Value, E> {
        Ok(None)
    }

    fn visit_unit<E: Error>(self) -> Result<Self::Value, E> {
        Ok(None)
    }

    fn visit_some<D: Deserializer<'de>>(self, deserializer: D) -> Result<Self::Value, D::Error> {
        integer(deserializer).map(Some)
    }
}

#[cfg(test)]
mod tests;
