//! A client that knows only an OpenAPI document: which requests to send and which responses to expect.

use oorandom::Rand64;
use percent_encoding::{utf8_percent_encode, NON_ALPHANUMERIC};
use serde_json::{json, Map, Value};

use crate::http::{send, HttpResponse};

/// Generates random values that fit a schema, for the schema keywords that these tests use.
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
        let (min, max) = (of("minLength", 0), of("maxLength", 12).min(12));
        let length = min + self.below(max - min + 1);
        (0..length).map(|_| char::from(b"abcdefghkmnopqrstuvwxyzABCXYZ019"[self.below(32)])).collect()
    }

    pub fn value(&mut self, schema: &Value) -> Value {
        if let Some(all) = schema["enum"].as_array() {
            return all[self.below(all.len())].clone();
        }
        match schema["type"].as_str() {
            Some("integer") => {
                let (min, max) =
                    (schema["minimum"].as_i64().unwrap_or(-9), schema["maximum"].as_i64().unwrap_or(99));
                json!(min + self.below((max - min + 1) as usize) as i64)
            }
            Some("number") => json!(self.below(1_000) as f64 / 8.0),
            Some("boolean") => json!(self.below(2) == 0),
            Some("string") => json!(self.text(schema)),
            Some("array") => {
                let min = schema["minItems"].as_u64().unwrap_or(0) as usize;
                let max = schema["maxItems"].as_u64().unwrap_or(4) as usize;
                let length = min + self.below(max - min + 1);
                (0..length).map(|_| self.value(&schema["items"])).collect()
            }
            _ => {
                let required: Vec<&str> =
                    schema["required"].as_array().into_iter().flatten().filter_map(Value::as_str).collect();
                let none = Map::new();
                let properties = schema["properties"].as_object().unwrap_or(&none);
                let mut object = Map::new();
                for (name, of) in properties {
                    if required.contains(&name.as_str()) || self.below(2) == 0 {
                        object.insert(name.clone(), self.value(of));
                    }
                }
                Value::Object(object)
            }
        }
    }

    /// The same value with one random change: it may fit or not.
    pub fn mutate(&mut self, value: &Value) -> Value {
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
                        let inner = self.mutate(&map[&key]);
                        map.insert(key, inner);
                    }
                }
                Value::Object(map)
            }
            Value::Array(all) if !all.is_empty() && self.below(3) > 0 => {
                let (mut all, no) = (all.clone(), self.below(all.len()));
                match self.below(2) {
                    0 => all.extend(vec![value[no].clone(); 9]),
                    _ => all[no] = self.mutate(&all[no]),
                }
                Value::Array(all)
            }
            _ => scalars[self.below(scalars.len())].clone(),
        }
    }
}

/// One POST operation of a document.
pub struct Operation<'d> {
    document: &'d Value,
    pub path: &'d str,
    spec: &'d Value,
}

pub fn operations(document: &Value) -> Vec<Operation<'_>> {
    let paths = document["paths"].as_object().expect("a document has paths");
    paths.iter().map(|(path, item)| Operation { document, path, spec: &item["post"] }).collect()
}

/// Headers of HTTP itself, which documents do not list.
const HTTP_HEADERS: [&str; 4] = ["content-type", "content-length", "date", "connection"];

impl<'d> Operation<'d> {
    pub fn media(&self) -> (&'d str, &'d Value) {
        let content = self.spec["requestBody"]["content"].as_object().expect("it takes a body");
        let (media, of) = content.iter().next().expect("of some kind");
        (media, &of["schema"])
    }

    /// A random body that fits the request schema.
    pub fn body(&self, draw: &mut Draw) -> Vec<u8> {
        match self.media() {
            ("application/json", schema) => draw.value(schema).to_string().into_bytes(),
            _ => (0..draw.below(200)).map(|_| draw.below(256) as u8).collect(),
        }
    }

    /// Calls the operation with valid parameters: the required ones and some optional ones.
    pub async fn call(&self, address: &str, draw: &mut Draw, body: &[u8]) -> HttpResponse {
        let (mut path, mut headers) = (self.path.to_owned(), format!("content-type: {}\r\n", self.media().0));
        for p in self.spec["parameters"].as_array().into_iter().flatten() {
            let name = p["name"].as_str().expect("parameters have names");
            if p["required"] != true && draw.below(2) == 0 {
                continue;
            }
            let value = match draw.value(&p["schema"]) {
                Value::String(text) if p["in"] == "path" => format!("{text}ü/ {}", draw.below(9)),
                Value::String(text) => text,
                other => other.to_string(),
            };
            if p["in"] == "path" {
                path = path.replace(
                    &format!("{{{name}}}"),
                    &utf8_percent_encode(&value, NON_ALPHANUMERIC).to_string(),
                );
            } else {
                headers += &format!("{name}: {value}\r\n");
            }
        }
        send(address, "POST", &path, &headers, body).await
    }

    fn resolved(&self, schema: &Value) -> Value {
        // References point only into the document itself.
        let mut schema = schema.clone();
        if let Some(all) = schema.get_mut("allOf").and_then(Value::as_array_mut) {
            for part in all {
                if let Some(at) = part["$ref"].as_str() {
                    *part = self.document.pointer(&at[1..]).cloned().unwrap_or(json!(false));
                }
            }
        }
        schema
    }

    /// Whether the document allows the response's status, content type, headers and body.
    pub fn allows(&self, a: &HttpResponse) -> Result<(), String> {
        let response = &self.spec["responses"][a.status.to_string()];
        if !response.is_object() {
            return Err(format!("{}: status {} is not documented", self.path, a.status));
        }
        let media = a.header("content-type").unwrap_or_default();
        let content = &response["content"][&media];
        if !content.is_object() {
            return Err(format!("{}: {media} is not documented for {}", self.path, a.status));
        }
        for (name, value) in a.headers().filter(|(name, _)| !HTTP_HEADERS.contains(&name.as_str())) {
            let described = response["headers"].as_object().into_iter().flatten();
            let Some((_, of)) = described.into_iter().find(|(n, _)| n.eq_ignore_ascii_case(&name)) else {
                return Err(format!("{}: header {name} is not documented for {}", self.path, a.status));
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
