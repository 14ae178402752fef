use std::collections::BTreeMap;

/// Finds the value of a path or routing key by its segments: a trie, so that the cost hangs on the length of the key and
/// not on the number of patterns.
///
/// A pattern's segment is a word, `*` for any one segment, or (last only) `#` for any rest, the empty one too. Words go
/// before `*`, and that before `#`: the most exact pattern that fits is found.
pub struct Routes<T> {
    nodes: Vec<Node<T>>,
    separator: char,
}

struct Node<T> {
    words: BTreeMap<String, usize>,
    any: Option<usize>,
    here: Option<T>,
    rest: Option<T>,
}

impl<T> Node<T> {
    fn new() -> Node<T> {
        Node { words: BTreeMap::new(), any: None, here: None, rest: None }
    }
}

impl<T> Routes<T> {
    pub fn new(separator: char) -> Routes<T> {
        Routes { nodes: vec![Node::new()], separator }
    }

    /// Adds a pattern; an error says why it cannot stand beside those before.
    pub fn add(&mut self, pattern: &str, value: T) -> Result<(), String> {
        let mut at = 0;
        let mut segments = pattern.split(self.separator).peekable();
        while let Some(segment) = segments.next() {
            if segment == "#" {
                if segments.peek().is_some() {
                    return Err(format!("'{pattern}': # may only stand last"));
                }
                return match self.nodes[at].rest.replace(value) {
                    Some(_) => Err(format!("'{pattern}' stands twice")),
                    None => Ok(()),
                };
            }
            let new = self.nodes.len();
            let next = match segment {
                "*" => *self.nodes[at].any.get_or_insert(new),
                word => *self.nodes[at].words.entry(word.to_owned()).or_insert(new),
            };
            if next == new {
                self.nodes.push(Node::new());
            }
            at = next;
        }
        match self.nodes[at].here.replace(value) {
            Some(_) => Err(format!("'{pattern}' stands twice")),
            None => Ok(()),
        }
    }

    /// The value of the most exact pattern that fits, and the segments that its `*` stood for.
    pub fn find<'k>(&self, key: &'k str) -> Option<(&T, Vec<&'k str>)> {
        let segments: Vec<&str> = key.split(self.separator).collect();
        let mut stood = Vec::new();
        self.walk(0, &segments, &mut stood).map(|value| (value, stood))
    }

    fn walk<'k>(&self, at: usize, left: &[&'k str], stood: &mut Vec<&'k str>) -> Option<&T> {
        let node = &self.nodes[at];
        let Some((first, left)) = left.split_first() else {
            return node.here.as_ref().or(node.rest.as_ref());
        };
        if let Some(found) = node.words.get(*first).and_then(|n| self.walk(*n, left, stood)) {
            return Some(found);
        }
        // An empty segment is no value: `a//b` does not fit `a/*/b`.
        if let (Some(any), false) = (node.any, first.is_empty()) {
            stood.push(first);
            if let Some(found) = self.walk(any, left, stood) {
                return Some(found);
            }
            stood.pop();
        }
        node.rest.as_ref()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use test_case::test_case;

    fn routes() -> Routes<u8> {
        let mut r = Routes::new('/');
        for (no, pattern) in ["v1/a/x", "v1/a/*", "v1/*/x", "v1/#", "v2"].into_iter().enumerate() {
            r.add(pattern, no as u8).unwrap();
        }
        r
    }

    #[test_case("v1/a/x", Some((0, vec![])) ; "the word")]
    #[test_case("v1/a/y", Some((1, vec!["y"])) ; "one segment")]
    #[test_case("v1/b/x", Some((2, vec!["b"])) ; "one in the middle")]
    #[test_case("v1/b/y", Some((3, vec![])) ; "the rest, after a way that led nowhere")]
    #[test_case("v1", Some((3, vec![])) ; "an empty rest")]
    #[test_case("v1/a/", Some((3, vec![])) ; "a trailing slash is a segment, and no value")]
    #[test_case("v2", Some((4, vec![])) ; "a whole key")]
    #[test_case("v2/x", None ; "too long")]
    #[test_case("", None ; "nothing")]
    fn the_most_exact_pattern_is_found(key: &str, want: Option<(u8, Vec<&str>)>) {
        assert_eq!(routes().find(key).map(|(v, s)| (*v, s)), want);
    }

    #[test]
    fn a_pattern_twice_and_a_rest_in_the_middle_are_refused() {
        assert!(routes().add("v2", 9).is_err());
        assert!(routes().add("v3/#/x", 9).is_err());
    }

    /// Whether a pattern fits, segment by segment.
    fn fits(pattern: &str, key: &str) -> bool {
        let (p, k): (Vec<_>, Vec<_>) = (pattern.split('.').collect(), key.split('.').collect());
        let whole = p.last() == Some(&"#");
        let p = if whole { &p[..p.len() - 1] } else { &p[..] };
        (p.len() == k.len() || (whole && k.len() > p.len()))
            && p.iter().zip(&k).all(|(p, k)| p == k || (*p == "*" && !k.is_empty()))
    }

    proptest! {
        #[test]
        fn a_key_is_found_if_and_only_if_a_pattern_fits(
            patterns in proptest::collection::btree_set("[ab*](\\.[ab*]){0,2}(\\.#)?", 1..8),
            key in "[abc](\\.[abc]){0,3}",
        ) {
            let mut routes = Routes::new('.');
            for p in &patterns {
                routes.add(p, p.clone()).unwrap();
            }
            let found = routes.find(&key).map(|f| f.0.clone());
            prop_assert_eq!(found.is_some(), patterns.iter().any(|p| fits(p, &key)));
            prop_assert!(found.is_none_or(|f| fits(&f, &key)));
        }
    }
}
