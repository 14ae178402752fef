use serde_json::Value;

use crate::catalogue::{Catalogue, Method, Payload};

/// One difference between two releases.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    pub method: String,
    /// Whether a client of the old release may fail with the new one.
    pub breaking: bool,
    pub description: String,
}

/// The direction of a body: clients write requests and read answers.
#[derive(Clone, Copy, PartialEq)]
enum Direction {
    Request,
    Answer,
}

/// Lists the changes from one catalogue to another. A change that cannot be classified counts as breaking.
pub fn compare(old: &Catalogue, new: &Catalogue) -> Vec<Change> {
    let mut changes = Vec::new();
    for before in old.methods() {
        match new.method(&before.name) {
            Some(after) => method(before, after, &mut changes),
            None => add(&mut changes, &before.name, true, "removed"),
        }
    }
    for after in new.methods().filter(|m| old.method(&m.name).is_none()) {
        add(&mut changes, &after.name, false, "added");
    }
    changes
}

fn add(changes: &mut Vec<Change>, method: &str, breaking: bool, description: impl Into<String>) {
    changes.push(Change { method: method.to_owned(), breaking, description: description.into() });
}

fn method(old: &Method, new: &Method, changes: &mut Vec<Change>) {
    if old.effect != new.effect {
        add(
            changes,
            &old.name,
            true,
            format!("effect changed from {} to {}", old.effect.name(), new.effect.name()),
        );
    }
    if old.deadline != new.deadline {
        let is_shorter = new.deadline < old.deadline;
        add(
            changes,
            &old.name,
            is_shorter,
            format!("deadline changed from {} ms to {} ms", old.deadline, new.deadline),
        );
    }
    if old.soft_deadline != new.soft_deadline {
        let description =
            format!("soft deadline changed from {} ms to {} ms", old.soft_deadline, new.soft_deadline);
        add(changes, &old.name, false, description);
    }
    if let (None, Some(until)) = (&old.until, &new.until) {
        add(changes, &old.name, false, format!("to be removed in release {until}"));
    }
    if let (None, Some(_)) = (old.deprecated, new.deprecated) {
        add(changes, &old.name, false, "deprecated");
    }
    if old.sunset != new.sunset {
        // Only an earlier date than announced is breaking. A first announcement is not.
        let is_earlier = old.sunset.is_some_and(|old| new.sunset.is_some_and(|new| new < old));
        add(changes, &old.name, is_earlier, "the sunset date has changed");
    }
    payload("request", &old.request, &new.request, Direction::Request, &old.name, changes);
    payload("answer", &old.answer, &new.answer, Direction::Answer, &old.name, changes);
}

fn payload(
    part: &str, old: &Payload, new: &Payload, direction: Direction, method: &str, changes: &mut Vec<Change>,
) {
    match (old.schema(), new.schema()) {
        (Some(old), Some(new)) => schema(&format!("{part} "), old, new, direction, method, changes),
        (None, None) => {}
        _ => add(
            changes,
            method,
            true,
            format!("the {part} media type changed from {} to {}", old.media_type(), new.media_type()),
        ),
    }
}

/// Schema keywords that do not affect validation.
const ANNOTATIONS: [&str; 7] =
    ["title", "description", "examples", "default", "$comment", "$id", "deprecated"];

fn schema(at: &str, old: &Value, new: &Value, direction: Direction, method: &str, changes: &mut Vec<Change>) {
    let (Some(a), Some(b)) = (old.as_object(), new.as_object()) else {
        if old != new {
            add(changes, method, true, format!("{at}: the schema has changed"));
        }
        return;
    };
    let mut keywords: Vec<&String> = a.keys().chain(b.keys()).collect();
    keywords.sort();
    keywords.dedup();
    for keyword in keywords.into_iter().filter(|w| !ANNOTATIONS.contains(&w.as_str())) {
        let (x, y) = (a.get(keyword), b.get(keyword));
        if x == y {
            continue;
        }
        match keyword.as_str() {
            "properties" => properties(at, old, new, direction, method, changes),
            "required" => required(at, x, y, direction, method, changes),
            "enum" => enumeration(at, x, y, direction, method, changes),
            "items" if x.is_some() && y.is_some() => schema(
                &format!("{at}/items"),
                &x.cloned().unwrap_or_default(),
                &y.cloned().unwrap_or_default(),
                direction,
                method,
                changes,
            ),
            "maximum" | "maxLength" | "maxItems" => {
                bound(at, keyword, x, y, direction, true, method, changes)
            }
            "minimum" | "minLength" | "minItems" => {
                bound(at, keyword, x, y, direction, false, method, changes)
            }
            _ => add(changes, method, true, format!("{at}: '{keyword}' has changed")),
        }
    }
}

fn items(list: Option<&Value>) -> Vec<&Value> {
    list.and_then(Value::as_array).into_iter().flatten().collect()
}

fn properties(
    at: &str, old: &Value, new: &Value, direction: Direction, method: &str, changes: &mut Vec<Change>,
) {
    let empty = serde_json::Map::new();
    let properties_of = |v: &Value| v.get("properties").and_then(Value::as_object).unwrap_or(&empty).clone();
    let (a, b) = (properties_of(old), properties_of(new));
    let is_closed = |v: &Value| v.get("additionalProperties") == Some(&Value::Bool(false));
    for (name, x) in &a {
        match b.get(name) {
            Some(y) => schema(&format!("{at}/{name}"), x, y, direction, method, changes),
            // A client may still send it in a request or expect it in an answer.
            None => {
                let breaking = direction == Direction::Answer || is_closed(new);
                add(changes, method, breaking, format!("{at}/{name}: removed"));
            }
        }
    }
    for name in b.keys().filter(|n| !a.contains_key(*n)) {
        let breaking = direction == Direction::Answer && is_closed(old);
        add(changes, method, breaking, format!("{at}/{name}: added"));
    }
}

fn required(
    at: &str, x: Option<&Value>, y: Option<&Value>, direction: Direction, method: &str,
    changes: &mut Vec<Change>,
) {
    let (x, y) = (items(x), items(y));
    for name in y.iter().filter(|n| !x.contains(n)) {
        add(changes, method, direction == Direction::Request, format!("{at}: {name} is now required"));
    }
    for name in x.iter().filter(|n| !y.contains(n)) {
        add(changes, method, direction == Direction::Answer, format!("{at}: {name} is no longer required"));
    }
}

fn enumeration(
    at: &str, x: Option<&Value>, y: Option<&Value>, direction: Direction, method: &str,
    changes: &mut Vec<Change>,
) {
    let (Some(_), Some(_)) = (x, y) else {
        let is_narrower = y.is_some();
        return add(
            changes,
            method,
            is_narrower == (direction == Direction::Request),
            format!("{at}: 'enum' was added or removed"),
        );
    };
    let (x, y) = (items(x), items(y));
    for value in x.iter().filter(|v| !y.contains(v)) {
        add(changes, method, direction == Direction::Request, format!("{at}: the value {value} was removed"));
    }
    for value in y.iter().filter(|v| !x.contains(v)) {
        add(changes, method, direction == Direction::Answer, format!("{at}: the value {value} was added"));
    }
}

#[allow(clippy::too_many_arguments)]
fn bound(
    at: &str, keyword: &str, x: Option<&Value>, y: Option<&Value>, direction: Direction, upper: bool,
    method: &str, changes: &mut Vec<Change>,
) {
    let (old, new) = (x.and_then(Value::as_f64), y.and_then(Value::as_f64));
    let is_narrower = match (old, new) {
        (Some(old), Some(new)) => (new < old) == upper,
        (None, Some(_)) => true,
        _ => false,
    };
    // A narrower bound breaks requests that clients still send; a wider one breaks answers that they do not expect.
    let shown = |v: Option<f64>| v.map_or("none".to_owned(), |v| v.to_string());
    let description = format!("{at}: '{keyword}' changed from {} to {}", shown(old), shown(new));
    add(changes, method, is_narrower == (direction == Direction::Request), description);
}
