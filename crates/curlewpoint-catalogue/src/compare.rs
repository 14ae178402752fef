use serde_json::Value;

use crate::catalogue::{Catalogue, Method, Payload};

/// One difference between two releases.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    pub method: String,
    /// Whether a client of the old release may fail at the new one.
    pub breaking: bool,
    pub description: String,
}

/// Which way a body goes: a client writes requests and reads answers.
#[derive(Clone, Copy, PartialEq)]
enum Way {
    Request,
    Answer,
}

/// What has changed from one catalogue to another. What this cannot judge counts as breaking.
pub fn compare(old: &Catalogue, new: &Catalogue) -> Vec<Change> {
    let mut all = Vec::new();
    for before in old.methods() {
        match new.method(&before.name) {
            Some(after) => method(before, after, &mut all),
            None => add(&mut all, &before.name, true, "it is gone"),
        }
    }
    for after in new.methods().filter(|m| old.method(&m.name).is_none()) {
        add(&mut all, &after.name, false, "it is new");
    }
    all
}

fn add(all: &mut Vec<Change>, method: &str, breaking: bool, description: impl Into<String>) {
    all.push(Change { method: method.to_owned(), breaking, description: description.into() });
}

fn method(old: &Method, new: &Method, all: &mut Vec<Change>) {
    if old.effect != new.effect {
        add(
            all,
            &old.name,
            true,
            format!("its effect was {}, it is {}", old.effect.name(), new.effect.name()),
        );
    }
    if old.deadline != new.deadline {
        let less = new.deadline < old.deadline;
        add(all, &old.name, less, format!("its deadline was {} ms, it is {} ms", old.deadline, new.deadline));
    }
    if old.soft_deadline != new.soft_deadline {
        let what = format!("its soft deadline was {} ms, it is {} ms", old.soft_deadline, new.soft_deadline);
        add(all, &old.name, false, what);
    }
    if let (None, Some(until)) = (&old.until, &new.until) {
        add(all, &old.name, false, format!("it goes in release {until}"));
    }
    if let (None, Some(_)) = (old.deprecated, new.deprecated) {
        add(all, &old.name, false, "it is deprecated");
    }
    if old.sunset != new.sunset {
        // Sooner than was told, or told for the first time: clients have to look, as with one that goes.
        let sooner = old.sunset.is_some_and(|old| new.sunset.is_some_and(|new| new < old));
        add(all, &old.name, sooner, "the day on which it goes has changed");
    }
    payload("request", &old.request, &new.request, Way::Request, &old.name, all);
    payload("answer", &old.answer, &new.answer, Way::Answer, &old.name, all);
}

fn payload(what: &str, old: &Payload, new: &Payload, way: Way, method: &str, all: &mut Vec<Change>) {
    match (old.schema(), new.schema()) {
        (Some(old), Some(new)) => schema(&format!("{what} "), old, new, way, method, all),
        (None, None) => {}
        _ => {
            add(all, method, true, format!("its {what} was {}, it is {}", old.media_type(), new.media_type()))
        }
    }
}

/// Words of a schema that say nothing of what fits it.
const ASIDE: [&str; 7] = ["title", "description", "examples", "default", "$comment", "$id", "deprecated"];

fn schema(at: &str, old: &Value, new: &Value, way: Way, method: &str, all: &mut Vec<Change>) {
    let (Some(a), Some(b)) = (old.as_object(), new.as_object()) else {
        if old != new {
            add(all, method, true, format!("{at}: another schema"));
        }
        return;
    };
    let mut words: Vec<&String> = a.keys().chain(b.keys()).collect();
    words.sort();
    words.dedup();
    for word in words.into_iter().filter(|w| !ASIDE.contains(&w.as_str())) {
        let (x, y) = (a.get(word), b.get(word));
        if x == y {
            continue;
        }
        match word.as_str() {
            "properties" => properties(at, old, new, way, method, all),
            "required" => required(at, x, y, way, method, all),
            "enum" => one_of(at, x, y, way, method, all),
            "items" if x.is_some() && y.is_some() => schema(
                &format!("{at}/items"),
                &x.cloned().unwrap_or_default(),
                &y.cloned().unwrap_or_default(),
                way,
                method,
                all,
            ),
            "maximum" | "maxLength" | "maxItems" => bound(at, word, x, y, way, true, method, all),
            "minimum" | "minLength" | "minItems" => bound(at, word, x, y, way, false, method, all),
            _ => add(all, method, true, format!("{at}: '{word}' has changed")),
        }
    }
}

fn names(list: Option<&Value>) -> Vec<&Value> {
    list.and_then(Value::as_array).into_iter().flatten().collect()
}

fn properties(at: &str, old: &Value, new: &Value, way: Way, method: &str, all: &mut Vec<Change>) {
    let empty = serde_json::Map::new();
    let of = |v: &Value| v.get("properties").and_then(Value::as_object).unwrap_or(&empty).clone();
    let (a, b) = (of(old), of(new));
    let closed = |v: &Value| v.get("additionalProperties") == Some(&Value::Bool(false));
    for (name, x) in &a {
        match b.get(name) {
            Some(y) => schema(&format!("{at}/{name}"), x, y, way, method, all),
            // A client may still write it, or still look for it.
            None => {
                let breaking = way == Way::Answer || closed(new);
                add(all, method, breaking, format!("{at}/{name}: it is gone"));
            }
        }
    }
    for name in b.keys().filter(|n| !a.contains_key(*n)) {
        let breaking = way == Way::Answer && closed(old);
        add(all, method, breaking, format!("{at}/{name}: it is new"));
    }
}

fn required(at: &str, x: Option<&Value>, y: Option<&Value>, way: Way, method: &str, all: &mut Vec<Change>) {
    let (x, y) = (names(x), names(y));
    for name in y.iter().filter(|n| !x.contains(n)) {
        add(all, method, way == Way::Request, format!("{at}: {name} is required now"));
    }
    for name in x.iter().filter(|n| !y.contains(n)) {
        add(all, method, way == Way::Answer, format!("{at}: {name} is required no more"));
    }
}

fn one_of(at: &str, x: Option<&Value>, y: Option<&Value>, way: Way, method: &str, all: &mut Vec<Change>) {
    let (Some(_), Some(_)) = (x, y) else {
        let narrower = y.is_some();
        return add(all, method, narrower == (way == Way::Request), format!("{at}: 'enum' has come or gone"));
    };
    let (x, y) = (names(x), names(y));
    for value in x.iter().filter(|v| !y.contains(v)) {
        add(all, method, way == Way::Request, format!("{at}: {value} is none of its values any more"));
    }
    for value in y.iter().filter(|v| !x.contains(v)) {
        add(all, method, way == Way::Answer, format!("{at}: {value} is one of its values now"));
    }
}

#[allow(clippy::too_many_arguments)]
fn bound(
    at: &str, word: &str, x: Option<&Value>, y: Option<&Value>, way: Way, upper: bool, method: &str,
    all: &mut Vec<Change>,
) {
    let (old, new) = (x.and_then(Value::as_f64), y.and_then(Value::as_f64));
    let narrower = match (old, new) {
        (Some(old), Some(new)) => (new < old) == upper,
        (None, Some(_)) => true,
        _ => false,
    };
    // What a client writes must still fit; what it reads must not be more than it knew.
    let told = |v: Option<f64>| v.map_or("none".to_owned(), |v| v.to_string());
    let what = format!("{at}: '{word}' was {}, it is {}", told(old), told(new));
    add(all, method, narrower == (way == Way::Request), what);
}
