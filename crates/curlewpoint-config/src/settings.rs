use serde_json::{json, Map, Value};

use crate::check::Config;
use crate::directives::{Directive, ValueKind, BLOCKS};
use crate::units;

/// A directive's words as the module knows them: times in milliseconds, memory in bytes, words in its own terms.
fn value(directive: &Directive, words: &[String]) -> Value {
    let first = words.first().map_or("", String::as_str);
    let term = |all: &[(&str, &str)], word: &str| {
        all.iter().find(|(w, _)| *w == word).map_or(Value::Null, |(_, term)| json!(term))
    };
    match directive.value_kind {
        ValueKind::Text | ValueKind::Address | ValueKind::Addresses | ValueKind::Date => json!(first),
        ValueKind::Time => json!(units::milliseconds(first).unwrap_or(0.0)),
        ValueKind::Memory => json!(units::bytes(first).unwrap_or(0.0)),
        ValueKind::Number => json!(units::number(first).unwrap_or(0.0)),
        ValueKind::Share => json!(units::share(first).unwrap_or(0.0)),
        ValueKind::YesNo => json!(first == "yes"),
        ValueKind::OneOf(all) => term(all, first),
        ValueKind::AnyOf(all) => words.iter().map(|w| term(all, w)).collect(),
    }
}

impl Config {
    fn fill(&self, map: &mut Map<String, Value>, block: &'static str, of: &str) {
        let directives = BLOCKS.iter().filter(|b| b.name == block).flat_map(|b| b.directives);
        for d in directives.filter(|d| !d.setting.is_empty()) {
            let Some(words) = self.words(block, of, d.name) else { continue };
            match d.setting.split_once('.') {
                None => {
                    map.insert(d.setting.to_owned(), value(d, words));
                }
                Some((part, name)) => {
                    let inner = map.entry(part).or_insert_with(|| json!({}));
                    inner[name] = value(d, words);
                }
            }
        }
    }

    /// The plain map that the decision module is handed.
    pub fn settings(&self) -> Map<String, Value> {
        let mut map = Map::new();
        for block in BLOCKS.iter().filter(|b| !b.named) {
            self.fill(&mut map, block.name, "");
        }
        map.insert("requestClasses".to_owned(), self.each("method", self.methods()).into());
        map.insert("tenants".to_owned(), self.each("tenant", self.tenants()).into());
        map
    }

    /// The module's terms of each method.
    pub fn method_settings(&self) -> Vec<Value> {
        self.each("method", self.methods())
    }

    fn each(&self, block: &'static str, names: &[String]) -> Vec<Value> {
        let one = |name: &String| {
            let mut one = Map::from_iter([("name".to_owned(), json!(name))]);
            self.fill(&mut one, block, name);
            Value::Object(one)
        };
        names.iter().map(one).collect()
    }
}
