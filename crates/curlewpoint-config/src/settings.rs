use serde_json::{json, Map, Value};

use crate::check::Config;
use crate::directives::{Directive, ValueKind, BLOCKS};
use crate::units;

/// The value of a directive as the decision module expects it: times in milliseconds, memory in bytes, words translated
/// to the module's own.
fn setting_value(directive: &Directive, words: &[String]) -> Value {
    let first = words.first().map_or("", String::as_str);
    let translate = |words: &[(&str, &str)], word: &str| {
        words.iter().find(|(w, _)| *w == word).map_or(Value::Null, |(_, setting)| json!(setting))
    };
    match directive.value_kind {
        ValueKind::Text | ValueKind::Address | ValueKind::Addresses | ValueKind::Date => json!(first),
        ValueKind::Time => json!(units::milliseconds(first).unwrap_or(0.0)),
        ValueKind::Memory => json!(units::bytes(first).unwrap_or(0.0)),
        ValueKind::Number => json!(units::number(first).unwrap_or(0.0)),
        ValueKind::Share => json!(units::share(first).unwrap_or(0.0)),
        ValueKind::YesNo => json!(first == "yes"),
        ValueKind::OneOf(allowed) => translate(allowed, first),
        ValueKind::AnyOf(allowed) => words.iter().map(|w| translate(allowed, w)).collect(),
    }
}

impl Config {
    fn fill_settings(&self, map: &mut Map<String, Value>, block: &'static str, block_name: &str) {
        let directives = BLOCKS.iter().filter(|b| b.name == block).flat_map(|b| b.directives);
        for d in directives.filter(|d| !d.setting.is_empty()) {
            let Some(words) = self.words(block, block_name, d.name) else { continue };
            match d.setting.split_once('.') {
                None => {
                    map.insert(d.setting.to_owned(), setting_value(d, words));
                }
                Some((group, name)) => {
                    let inner = map.entry(group).or_insert_with(|| json!({}));
                    inner[name] = setting_value(d, words);
                }
            }
        }
    }

    /// The settings map for the decision module.
    pub fn settings(&self) -> Map<String, Value> {
        let mut map = Map::new();
        for block in BLOCKS.iter().filter(|b| !b.named) {
            self.fill_settings(&mut map, block.name, "");
        }
        map.insert("requestClasses".to_owned(), self.named_blocks("method", self.methods()).into());
        map.insert("tenants".to_owned(), self.named_blocks("tenant", self.tenants()).into());
        map
    }

    /// The decision module's settings of each method, in the order of the file.
    pub fn method_settings(&self) -> Vec<Value> {
        self.named_blocks("method", self.methods())
    }

    fn named_blocks(&self, block: &'static str, names: &[String]) -> Vec<Value> {
        let block_settings = |name: &String| {
            let mut map = Map::from_iter([("name".to_owned(), json!(name))]);
            self.fill_settings(&mut map, block, name);
            Value::Object(map)
        };
        names.iter().map(block_settings).collect()
    }
}
