use std::collections::BTreeMap;

/// Maps a path or routing key to a value by its segments. A trie, so that the cost of a lookup depends on the length of the
/// key and not on the number of patterns.
///
/// A segment of a pattern is a literal, `*` for any single segment, or, at the end only, `#` for zero or more segments.
/// Literals take precedence over `*`, and `*` over `#`, so the most specific matching pattern is found.
pub struct Routes<T> {
    nodes: Vec<Node<T>>,
    separator: char,
}

struct Node<T> {
    literals: BTreeMap<String, usize>,
    wildcard: Option<usize>,
    value: Option<T>,
    rest_value: Option<T>,
}

impl<T> Node<T> {
    fn new() -> Node<T> {
        Node { literals: BTreeMap::new(), wildcard: None, value: None, rest_value: None }
    }
}

impl<T> Routes<T> {
    pub fn new(separator: char) -> Routes<T> {
        Routes { nodes: vec![Node::new()], separator }
    }

    /// Adds a pattern. Fails if it is a duplicate or has `#` before the end.
    pub fn add(&mut self, pattern: &str, value: T) -> Result<(), String> {
        let mut at = 0;
        let mut segments = pattern.split(self.separator).peekable();
        while let Some(segment) = segments.next() {
            if segment == "#" {
                if segments.peek().is_some() {
                    return Err(format!("'{pattern}': # is only allowed at the end"));
                }
                return match self.nodes[at].rest_value.replace(value) {
                    Some(_) => Err(format!("duplicate pattern '{pattern}'")),
                    None => Ok(()),
                };
            }
            let new = self.nodes.len();
            let next = match segment {
                "*" => *self.nodes[at].wildcard.get_or_insert(new),
                literal => *self.nodes[at].literals.entry(literal.to_owned()).or_insert(new),
            };
            if next == new {
                self.nodes.push(Node::new());
            }
            at = next;
        }
        match self.nodes[at].value.replace(value) {
            Some(_) => Err(format!("duplicate pattern '{pattern}'")),
            None => Ok(()),
        }
    }

    /// Returns the value of the most specific matching pattern, and the segments matched by its `*`.
    pub fn find<'k>(&self, key: &'k str) -> Option<(&T, Vec<&'k str>)> {
        let segments: Vec<&str> = key.split(self.separator).collect();
        let mut matched = Vec::new();
        self.walk(0, &segments, &mut matched).map(|value| (value, matched))
    }

    fn walk<'k>(&self, at: usize, remaining: &[&'k str], matched: &mut Vec<&'k str>) -> Option<&T> {
        let node = &self.nodes[at];
        let Some((first, remaining)) = remaining.split_first() else {
            return node.value.as_ref().or(node.rest_value.as_ref());
        };
        if let Some(found) = node.literals.get(*first).and_then(|n| self.walk(*n, remaining, matched)) {
            return Some(found);
        }
        // `*` does not match an empty segment: `a//b` does not match `a/*/b`.
        if let (Some(wildcard), false) = (node.wildcard, first.is_empty()) {
            matched.push(first);
            if let Some(found) = self.walk(wildcard, remaining, matched) {
                return Some(found);
            }
            matched.pop();
        }
        node.rest_value.as_ref()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use test_case::test_case;

    fn routes() -> Routes<u8> {
        let mut r = Routes::new('/');
        for (index, pattern) in ["v1/a/x", "v1/a/*", "v1/*/x", "v1/#", "v2"].into_iter().enumerate() {
            r.add(pattern, index as u8).unwrap();
        }
        r
    }

    #[test_case("v1/a/x", Some((0, vec![])) ; "a literal")]
    #[test_case("v1/a/y", Some((1, vec!["y"])) ; "one segment")]
    #[test_case("v1/b/x", Some((2, vec!["b"])) ; "one in the middle")]
    #[test_case("v1/b/y", Some((3, vec![])) ; "the rest, after backtracking")]
    #[test_case("v1", Some((3, vec![])) ; "an empty rest")]
    #[test_case("v1/a/", Some((3, vec![])) ; "a trailing slash is an empty segment, which * does not match")]
    #[test_case("v2", Some((4, vec![])) ; "a whole key")]
    #[test_case("v2/x", None ; "too long")]
    #[test_case("", None ; "an empty key")]
    fn the_most_specific_pattern_is_found(key: &str, want: Option<(u8, Vec<&str>)>) {
        assert_eq!(routes().find(key).map(|(v, s)| (*v, s)), want);
    }

    #[test]
    fn a_duplicate_pattern_and_a_rest_before_the_end_are_rejected() {
        assert!(routes().add("v2", 9).is_err());
        assert!(routes().add("v3/#/x", 9).is_err());
    }

    /// Reference implementation: matches segment by segment.
    fn matches(pattern: &str, key: &str) -> bool {
        let (p, k): (Vec<_>, Vec<_>) = (pattern.split('.').collect(), key.split('.').collect());
        let has_rest = p.last() == Some(&"#");
        let p = if has_rest { &p[..p.len() - 1] } else { &p[..] };
        (p.len() == k.len() || (has_rest && k.len() > p.len()))
            && p.iter().zip(&k).all(|(p, k)| p == k || (*p == "*" && !k.is_empty()))
    }

    proptest! {
        #[test]
        fn a_key_is_found_if_and_only_if_a_pattern_matches(
            patterns in proptest::collection::btree_set("[ab*](\\.[ab*]){0,2}(\\.#)?", 1..8),
            key in "[abc](\\.[abc]){0,3}",
        ) {
            let mut routes = Routes::new('.');
            for p in &patterns {
                routes.add(p, p.clone()).unwrap();
            }
            let found = routes.find(&key).map(|f| f.0.clone());
            prop_assert_eq!(found.is_some(), patterns.iter().any(|p| matches(p, &key)));
            prop_assert!(found.is_none_or(|f| matches(&f, &key)));
        }
    }
}
