use super::*;
use test_case::test_case;

fn receive(
    list: &mut EndpointList, version: (u64, u64), from: Option<u64>, names: &[(&str, u64)],
) -> (ListOutcome, usize) {
    list.begin(version.0, version.1, from);
    for (name, start) in names {
        let age = Some(Time(1_000 * (1 + version.1)));
        list.add_entry(Time(50_000), name, "127.0.0.1:1", Lifecycle::Ready, *start, age, "z", "c", 1.0)
            .unwrap();
    }
    let (outcome, named) = list.finish(|_, _, _, _, _, _, _, _| ());
    (outcome, named.len())
}

#[test_case((7, 3), None, ListOutcome::Unchanged ; "the same version again")]
#[test_case((7, 2), Some(1), ListOutcome::Stale ; "changes that arrive late")]
#[test_case((6, 9), None, ListOutcome::Stale ; "an earlier epoch")]
#[test_case((7, 5), Some(4), ListOutcome::NeedsFull ; "changes to a version not held")]
#[test_case((8, 4), Some(3), ListOutcome::NeedsFull ; "changes of another epoch")]
#[test_case((7, 4), Some(3), ListOutcome::Applied { full: false } ; "the next changes")]
#[test_case((8, 1), None, ListOutcome::Applied { full: true } ; "a new epoch")]
fn only_a_newer_list_is_applied(version: (u64, u64), from: Option<u64>, want: ListOutcome) {
    let mut list = EndpointList::new(10);
    assert_eq!(receive(&mut list, (7, 3), None, &[("a", 1)]), (ListOutcome::Applied { full: true }, 1));
    assert_eq!(receive(&mut list, version, from, &[("b", 1)]).0, want);
}

#[test]
fn a_truncated_list_changes_nothing() {
    let mut list = EndpointList::new(10);
    list.begin(7, 1, None);
    list.discard_staged();
    assert_eq!(list.finish(|_, _, _, _, _, _, _, _| ()).0, ListOutcome::NotStarted);
    assert_eq!(list.version(), None);
}

#[test]
fn a_start_keeps_its_time_across_lists_and_a_restart_gets_a_new_one() {
    let mut list = EndpointList::new(10);
    let mut since = Vec::new();
    for (version, start) in [(1, 5), (2, 5), (3, 6)] {
        list.begin(1, version, None);
        let age = Some(Time(1_000 * version));
        list.add_entry(Time(50_000), "a", "x", Lifecycle::Ready, start, age, "z", "c", 1.0).unwrap();
        list.finish(|_, _, _, _, at, _, _, _| since.push(at.0));
    }
    assert_eq!(since, [49_000, 49_000, 47_000]);
}

#[test]
fn more_workers_than_the_bound_are_refused() {
    let mut list = EndpointList::new(1);
    list.begin(1, 1, None);
    let add = |list: &mut EndpointList, name: &str| {
        list.add_entry(Time(9), name, "x", Lifecycle::Ready, 1, None, "", "", 1.0)
    };
    assert!(add(&mut list, "a").is_ok() && add(&mut list, "b").is_err());
}

/// Guards against a list that is empty because of a fault: no worker is used, and the next response, which has the
/// same version, brings the workers back.
#[test]
fn an_empty_list_is_replaced_by_the_same_version_with_workers() {
    let mut list = EndpointList::new(10);
    assert_eq!(receive(&mut list, (7, 3), None, &[("a", 1)]).0, ListOutcome::Applied { full: true });
    assert_eq!(receive(&mut list, (7, 4), None, &[]), (ListOutcome::Applied { full: true }, 0));
    assert_eq!(receive(&mut list, (7, 3), None, &[("a", 1)]).0, ListOutcome::Stale);
    assert_eq!(receive(&mut list, (7, 4), None, &[("a", 1)]), (ListOutcome::Applied { full: true }, 1));
    assert_eq!(receive(&mut list, (7, 4), None, &[("a", 1)]).0, ListOutcome::Unchanged, "once");
}
