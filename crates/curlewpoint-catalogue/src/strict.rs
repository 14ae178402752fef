use std::fmt;

use serde::de::{DeserializeSeed, Deserializer, Error, MapAccess, SeqAccess, Visitor};
use serde_json::error::Category;
use serde_json::{Map, Value};

use crate::catalogue::BodyError;

/// The maximum nesting depth. Deeper input is rejected while it is parsed, as JSON itself has no limit.
const MAX_DEPTH: usize = 64;

/// Parses JSON in one pass with stricter rules: valid UTF-8, no duplicate keys in an object, bounded nesting.
pub(crate) fn parse(body: &[u8]) -> Result<Value, BodyError> {
    let text = std::str::from_utf8(body)
        .map_err(|e| BodyError::Malformed(format!("byte {}: not UTF-8", e.valid_up_to())))?;
    let mut reader = serde_json::Deserializer::from_str(text);
    let read = Strict { depth: 0 }.deserialize(&mut reader).and_then(|value| reader.end().map(|()| value));
    read.map_err(|e| match e.classify() {
        Category::Data => BodyError::SchemaMismatch(e.to_string()),
        _ => BodyError::Malformed(e.to_string()),
    })
}

/// Deserializes a value at this nesting depth.
#[derive(Clone, Copy)]
struct Strict {
    depth: usize,
}

impl Strict {
    fn inner<E: Error>(self) -> Result<Strict, E> {
        if self.depth >= MAX_DEPTH {
            return Err(E::custom(format_args!("nested deeper than {MAX_DEPTH}")));
        }
        Ok(Strict { depth: self.depth + 1 })
    }
}

impl<'de> DeserializeSeed<'de> for Strict {
    type Value = Value;

    fn deserialize<D: Deserializer<'de>>(self, from: D) -> Result<Value, D::Error> {
        from.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for Strict {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a JSON value")
    }

    fn visit_bool<E>(self, v: bool) -> Result<Value, E> {
        Ok(v.into())
    }

    fn visit_i64<E>(self, v: i64) -> Result<Value, E> {
        Ok(v.into())
    }

    fn visit_u64<E>(self, v: u64) -> Result<Value, E> {
        Ok(v.into())
    }

    fn visit_f64<E>(self, v: f64) -> Result<Value, E> {
        Ok(v.into())
    }

    fn visit_str<E>(self, v: &str) -> Result<Value, E> {
        Ok(v.into())
    }

    fn visit_string<E>(self, v: String) -> Result<Value, E> {
        Ok(v.into())
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Value, A::Error> {
        let inner = self.inner()?;
        let mut all = Vec::new();
        while let Some(value) = seq.next_element_seed(inner)? {
            all.push(value);
        }
        Ok(Value::Array(all))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Value, A::Error> {
        let inner = self.inner()?;
        let mut all = Map::new();
        while let Some(key) = map.next_key::<String>()? {
            if all.contains_key(&key) {
                return Err(A::Error::custom(format_args!("the key '{key}' stands twice")));
            }
            all.insert(key, map.next_value_seed(inner)?);
        }
        Ok(Value::Object(all))
    }
}
