use std::collections::BTreeMap;

use curlewpoint_config::Config;
use jsonschema::Validator;
use serde_json::Value;
use thiserror::Error;

use crate::strict;

/// Whether a method may be run again for the same request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Idempotent,
    Tokened,
    SideEffecting,
}

impl Effect {
    pub fn name(self) -> &'static str {
        match self {
            Effect::Idempotent => "idempotent",
            Effect::Tokened => "tokened",
            Effect::SideEffecting => "side-effecting",
        }
    }
}

/// The format of a request or answer body.
pub enum Payload {
    /// Any bytes.
    Binary,
    Json {
        schema: Value,
        validator: Box<Validator>,
    },
}

impl Payload {
    pub fn media_type(&self) -> &'static str {
        match self {
            Payload::Binary => "application/octet-stream",
            Payload::Json { .. } => "application/json",
        }
    }

    pub fn schema(&self) -> Option<&Value> {
        match self {
            Payload::Binary => None,
            Payload::Json { schema, .. } => Some(schema),
        }
    }

    /// Checks a body against the schema. The error gives the position in the body and the reason.
    pub fn check(&self, body: &[u8]) -> Result<(), BodyError> {
        let Payload::Json { validator, .. } = self else { return Ok(()) };
        let value = strict::parse(body)?;
        let Some(violation) = validator.iter_errors(&value).next() else { return Ok(()) };
        let at = violation.instance_path().to_string();
        Err(BodyError::SchemaMismatch(format!("at '{}': {violation}", if at.is_empty() { "/" } else { &at })))
    }
}

/// The reason why a body is rejected.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum BodyError {
    /// The body is not valid JSON.
    #[error("{0}")]
    Malformed(String),
    /// The body does not match its schema, or its JSON is ambiguous (for example a duplicate key).
    #[error("{0}")]
    SchemaMismatch(String),
}

/// An error in a catalogue, with the file or the part of the method that it is in.
#[derive(Clone, Debug, PartialEq)]
pub struct CatalogueError {
    pub location: String,
    pub message: String,
}

impl std::fmt::Display for CatalogueError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "{}: {}", self.location, self.message)
    }
}

/// A method as described to clients.
pub struct Method {
    pub name: String,
    pub summary: String,
    pub effect: Effect,
    /// In milliseconds, as is `deadline`.
    pub soft_deadline: f64,
    pub deadline: f64,
    pub request: Payload,
    pub answer: Payload,
    pub examples: Vec<Value>,
    /// The release that added the method, and the one that removes it if known.
    pub since: String,
    pub until: Option<String>,
    /// The dates of deprecation and removal, in seconds since 1970.
    pub deprecated: Option<u64>,
    pub sunset: Option<u64>,
}

/// The methods of one release.
pub struct Catalogue {
    pub title: String,
    pub release: String,
    methods: BTreeMap<String, Method>,
}

/// The maximum length of a regular expression in a schema, in bytes. The regex engine matches in time linear in the
/// text, so only the cost of compiling a pattern needs a limit.
const MAX_PATTERN_BYTES: usize = 1000;

fn collect_patterns(schema: &Value, patterns: &mut Vec<String>) {
    match schema {
        Value::Object(map) => {
            patterns.extend(map.get("pattern").and_then(Value::as_str).map(str::to_owned));
            if let Some(Value::Object(inner)) = map.get("patternProperties") {
                patterns.extend(inner.keys().cloned());
            }
            map.values().for_each(|v| collect_patterns(v, patterns));
        }
        Value::Array(all) => all.iter().for_each(|v| collect_patterns(v, patterns)),
        _ => {}
    }
}

impl Payload {
    /// Compiles a JSON payload from the text of its schema.
    pub fn json(location: &str, text: &str) -> Result<Payload, CatalogueError> {
        let error = |message: String| CatalogueError { location: location.to_owned(), message };
        let schema: Value = serde_json::from_str(text).map_err(|e| error(e.to_string()))?;
        let mut patterns = Vec::new();
        collect_patterns(&schema, &mut patterns);
        if let Some(long) = patterns.iter().find(|p| p.len() > MAX_PATTERN_BYTES) {
            return Err(error(format!(
                "a pattern of {} bytes exceeds the limit of {MAX_PATTERN_BYTES}",
                long.len()
            )));
        }
        let options = jsonschema::options().with_draft(jsonschema::Draft::Draft202012);
        let options = options.with_pattern_options(jsonschema::PatternOptions::regex().size_limit(1 << 20));
        let validator = options.should_validate_formats(true).build(&schema).map_err(|e| {
            let at = e.instance_path().to_string();
            error(format!("at '{}': {e}", if at.is_empty() { "/" } else { &at }))
        })?;
        Ok(Payload::Json { schema, validator: Box::new(validator) })
    }
}

impl Catalogue {
    /// Builds a catalogue from methods. Each example must match the request schema of its method.
    pub fn new(title: &str, release: &str, methods: Vec<Method>) -> Result<Catalogue, Vec<CatalogueError>> {
        let mut errors = Vec::new();
        let mut all = BTreeMap::new();
        for method in methods {
            let location = |part: &str| format!("method {}, {part}", method.name);
            for (number, example) in method.examples.iter().enumerate() {
                if let Err(reason) = method.request.check(example.to_string().as_bytes()) {
                    let message = reason.to_string();
                    errors.push(CatalogueError {
                        location: location(&format!("example {}", number + 1)),
                        message,
                    });
                }
            }
            if all.contains_key(&method.name) {
                errors.push(CatalogueError {
                    location: location("name"),
                    message: "duplicate name".to_owned(),
                });
            }
            all.insert(method.name.clone(), method);
        }
        if errors.is_empty() {
            Ok(Catalogue { title: title.to_owned(), release: release.to_owned(), methods: all })
        } else {
            Err(errors)
        }
    }

    /// Builds the catalogue of a configuration. Returns all errors of its schemas and examples together.
    pub fn from_config(config: &Config) -> Result<Catalogue, Vec<CatalogueError>> {
        let mut errors = Vec::new();
        let mut methods = Vec::new();
        for name in config.methods() {
            let non_empty = |directive| Some(config.method_value(name, directive)).filter(|w| !w.is_empty());
            let ms = |directive| {
                curlewpoint_config::milliseconds(config.method_value(name, directive)).unwrap_or(0.0)
            };
            let mut payload = |directive| {
                let Some(file) = non_empty(directive) else { return Payload::Binary };
                let error = |message| CatalogueError { location: file.to_owned(), message };
                let payload =
                    config.read_file(file).map_err(error).and_then(|text| Payload::json(file, &text));
                payload.unwrap_or_else(|error| {
                    errors.push(error);
                    Payload::Binary
                })
            };
            let (request, answer) = (payload("request-schema"), payload("answer-schema"));
            let examples = non_empty("example").map_or(Ok(Vec::new()), |file| {
                let error = |message| CatalogueError { location: file.to_owned(), message };
                let text = config.read_file(file).map_err(error)?;
                serde_json::from_str(&text).map_err(|e| error(format!("not an array of requests: {e}")))
            });
            let effect = match non_empty("effect") {
                Some("idempotent") => Effect::Idempotent,
                Some("tokened") => Effect::Tokened,
                _ => Effect::SideEffecting,
            };
            methods.push(Method {
                name: name.clone(),
                summary: non_empty("about").unwrap_or(name).to_owned(),
                effect,
                soft_deadline: ms("soft-deadline"),
                deadline: ms("deadline"),
                request,
                answer,
                examples: examples.unwrap_or_else(|error| {
                    errors.push(error);
                    Vec::new()
                }),
                since: non_empty("since").unwrap_or("").to_owned(),
                until: non_empty("until").map(str::to_owned),
                deprecated: config.method_date(name, "deprecated"),
                sunset: config.method_date(name, "sunset"),
            });
        }
        let title = config.value("", "title").unwrap_or(config.text("name"));
        match Catalogue::new(title, config.text("release"), methods) {
            Ok(catalogue) if errors.is_empty() => Ok(catalogue),
            Ok(_) => Err(errors),
            Err(example_errors) => {
                errors.extend(example_errors);
                Err(errors)
            }
        }
    }

    pub fn method(&self, name: &str) -> Option<&Method> {
        self.methods.get(name)
    }

    /// Returns the methods ordered by name.
    pub fn methods(&self) -> impl Iterator<Item = &Method> {
        self.methods.values()
    }
}
