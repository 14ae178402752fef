//! A client that knows nothing but an OpenAPI document: what to send and what may come back.

use oorandom::Rand64;
use percent_encoding::{utf8_percent_encode, NON_ALPHANUMERIC};
use serde_json::{json, Map, Value};

use crate::http::{send, Answered};

/// Draws values that fit a schema of the kinds that these tests use.
pub struct Draw(Rand64);

impl Draw {
    pub fn new(seed: u64) -> Draw {
        Draw(Rand64::new(u128::from(seed)))
    }

    pub fn below(&mut self, n: usize) -> usize {
        self.0.rand_range(0..n.max(1) as u64) as usize
    }

    fn text(&mut self, schema: &Value) -> String {
        let of = |name: &str, default| schema[name].as_u64().unwrap_or(default) as usize;
        let (least, most) = (of("minLength", 0), of("maxLength", 12).min(12));
        let length = least + self.below(most - least + 1);
        (0..length).map(|_| char::from(b"abcdefghkmnopqrstuvwxyzABCXYZ019"[self.below(32)])).collect()
    }

    pub fn value(&mut self, schema: &Value) -> Value {
        if let Some(all) = schema["enum"].as_array() {
            return all[self.below(all.len())].clone();
        }
        match schema["type"].as_str() {
            Some("integer") => {
                let (least, most) =
                    (schema["minimum"].as_i64().unwrap_or(-9), schema["maximum"].as_i64().unwrap_or(99));
                json!(least + self.below((most - least + 1) as usize) as i64)
            }
            Some("number") => json!(self.below(1_000) as f64 / 8.0),
            Some("boolean") => json!(self.below(2) == 0),
            Some("string") => json!(self.text(schema)),
            Some("array") => {
                let least = schema["minItems"].as_u64().unwrap_or(0) as usize;
                let most = schema["maxItems"].as_u64().unwrap_or(4) as usize;
                let length = least + self.below(most - least + 1);
                (0..length).map(|_| self.value(&schema["items"])).collect()
            }
            _ => {
                let required: Vec<&str> =
                    schema["required"].as_array().into_iter().flatten().filter_map(Value::as_str).collect();
                let none = Map::new();
                let properties = schema["properties"].as_object().unwrap_or(&none);
                let mut drawn = Map::new();
                for (name, of) in properties {
                    if required.contains(&name.as_str()) || self.below(2) == 0 {
                        drawn.insert(name.clone(), self.value(of));
                    }
                }
                Value::Object(drawn)
            }
        }
    }

    /// The same value with one thing in it changed at random: it may fit or not.
    pub fn changed(&mut self, value: &Value) -> Value {
        let scalars = [
            json!(null),
            json!(-1),
            json!(1e9),
            json!(""),
            json!("x".repeat(40)),
            json!([]),
            json!({}),
            json!(1.5),
        ];
        match value {
            Value::Object(map) if !map.is_empty() && self.below(3) > 0 => {
                let (mut map, no) = (map.clone(), self.below(map.len()));
                let key = map.keys().nth(no).cloned().unwrap_or_default();
                match self.below(3) {
                    0 => drop(map.remove(&key)),
                    1 => drop(map.insert(format!("{key}s"), json!(1))),
                    _ => {
                        let inner = self.changed(&map[&key]);
                        map.insert(key, inner);
                    }
                }
                Value::Object(map)
            }
            Value::Array(all) if !all.is_empty() && self.below(3) > 0 => {
                let (mut all, no) = (all.clone(), self.below(all.len()));
                match self.below(2) {
                    0 => all.extend(vec![value[no].clone(); 9]),
                    _ => all[no] = self.changed(&all[no]),
                }
                Value::Array(all)
            }
            _ => scalars[self.below(scalars.len())].clone(),
        }
    }
}

/// One operation of a document, and all that it says of it.
pub struct Operation<'d> {
    document: &'d Value,
    pub path: &'d str,
    said: &'d Value,
}

pub fn operations(document: &Value) -> Vec<Operation<'_>> {
    let paths = document["paths"].as_object().expect("a document has paths");
    paths.iter().map(|(path, item)| Operation { document, path, said: &item["post"] }).collect()
}

/// What HTTP itself brings, which documents do not list.
const OF_HTTP: [&str; 4] = ["content-type", "content-length", "date", "connection"];

impl<'d> Operation<'d> {
    pub fn media(&self) -> (&'d str, &'d Value) {
        let content = self.said["requestBody"]["content"].as_object().expect("it takes a body");
        let (media, of) = content.iter().next().expect("of some kind");
        (media, &of["schema"])
    }

    /// A body that fits.
    pub fn body(&self, draw: &mut Draw) -> Vec<u8> {
        match self.media() {
            ("application/json", schema) => draw.value(schema).to_string().into_bytes(),
            _ => (0..draw.below(200)).map(|_| draw.below(256) as u8).collect(),
        }
    }

    /// Calls it with parameters that fit: those that are required, and some of the others.
    pub async fn call(&self, address: &str, draw: &mut Draw, body: &[u8]) -> Answered {
        let (mut path, mut headers) = (self.path.to_owned(), format!("content-type: {}\r\n", self.media().0));
        for p in self.said["parameters"].as_array().into_iter().flatten() {
            let name = p["name"].as_str().expect("parameters have names");
            if p["required"] != true && draw.below(2) == 0 {
                continue;
            }
            let drawn = match draw.value(&p["schema"]) {
                Value::String(text) if p["in"] == "path" => format!("{text}ü/ {}", draw.below(9)),
                Value::String(text) => text,
                other => other.to_string(),
            };
            if p["in"] == "path" {
                path = path.replace(
                    &format!("{{{name}}}"),
                    &utf8_percent_encode(&drawn, NON_ALPHANUMERIC).to_string(),
                );
            } else {
                headers += &format!("{name}: {drawn}\r\n");
            }
        }
        send(address, "POST", &path, &headers, body).await
    }

    fn resolved(&self, schema: &Value) -> Value {
        // References lead to the document's components only.
        let mut schema = schema.clone();
        if let Some(all) = schema.get_mut("allOf").and_then(Value::as_array_mut) {
            for one in all {
                if let Some(at) = one["$ref"].as_str() {
                    *one = self.document.pointer(&at[1..]).cloned().unwrap_or(json!(false));
                }
            }
        }
        schema
    }

    /// Whether the document allows what came back: its status, content type, headers and body.
    pub fn allows(&self, a: &Answered) -> Result<(), String> {
        let response = &self.said["responses"][a.status.to_string()];
        if !response.is_object() {
            return Err(format!("{}: status {} is not described", self.path, a.status));
        }
        let media = a.header("content-type").unwrap_or_default();
        let content = &response["content"][&media];
        if !content.is_object() {
            return Err(format!("{}: {media} is not described for {}", self.path, a.status));
        }
        for (name, value) in a.headers().filter(|(name, _)| !OF_HTTP.contains(&name.as_str())) {
            let described = response["headers"].as_object().into_iter().flatten();
            let Some((_, of)) = described.into_iter().find(|(n, _)| n.eq_ignore_ascii_case(&name)) else {
                return Err(format!("{}: header {name} is not described for {}", self.path, a.status));
            };
            let value = if of["schema"]["type"] == "integer" {
                json!(value.parse::<u64>().ok())
            } else {
                json!(value)
            };
            fits(&of["schema"], &value)?;
        }
        if media.ends_with("json") {
            fits(&self.resolved(&content["schema"]), &a.json())?;
        }
        Ok(())
    }
}

pub fn fits(schema: &Value, value: &Value) -> Result<(), String> {
    let check = jsonschema::draft202012::new(schema).map_err(|e| e.to_string())?;
    check.validate(value).map_err(|e| format!("{value}: {e}"))
}
