use super::*;
use test_case::test_case;

fn read(
    r: &mut EndpointList, version: (u64, u64), from: Option<u64>, names: &[(&str, u64)],
) -> (ListOutcome, usize) {
    r.begins(version.0, version.1, from);
    for (name, start) in names {
        let age = Some(Time(1_000 * (1 + version.1)));
        r.row(Time(50_000), name, "127.0.0.1:1", Lifecycle::Ready, *start, age, "z", "c", 1.0).unwrap();
    }
    let (read, named) = r.ends(|_, _, _, _, _, _, _, _| ());
    (read, named.len())
}

#[test_case((7, 3), None, ListOutcome::Stale ; "the same again")]
#[test_case((7, 2), Some(1), ListOutcome::Stale ; "late changes")]
#[test_case((6, 9), None, ListOutcome::Stale ; "an earlier run of the service")]
#[test_case((7, 5), Some(4), ListOutcome::NeedsFull ; "changes of a version not held")]
#[test_case((8, 4), Some(3), ListOutcome::NeedsFull ; "changes of another run")]
#[test_case((7, 4), Some(3), ListOutcome::Applied { full: false } ; "the next changes")]
#[test_case((8, 1), None, ListOutcome::Applied { full: true } ; "a new run of the service")]
fn only_the_newest_list_counts(version: (u64, u64), from: Option<u64>, want: ListOutcome) {
    let mut r = EndpointList::new(10);
    assert_eq!(read(&mut r, (7, 3), None, &[("a", 1)]), (ListOutcome::Applied { full: true }, 1));
    assert_eq!(read(&mut r, version, from, &[("b", 1)]).0, want);
}

#[test]
fn a_list_cut_short_changes_nothing() {
    let mut r = EndpointList::new(10);
    r.begins(7, 1, None);
    r.broke();
    assert_eq!(r.ends(|_, _, _, _, _, _, _, _| ()).0, ListOutcome::NotStarted);
    assert_eq!(r.held(), None);
}

#[test]
fn one_start_keeps_its_moment_and_another_has_its_own() {
    let mut r = EndpointList::new(10);
    let mut since = Vec::new();
    for (version, start) in [(1, 5), (2, 5), (3, 6)] {
        r.begins(1, version, None);
        let age = Some(Time(1_000 * version));
        r.row(Time(50_000), "a", "x", Lifecycle::Ready, start, age, "z", "c", 1.0).unwrap();
        r.ends(|_, _, _, _, at, _, _, _| since.push(at.0));
    }
    assert_eq!(since, [49_000, 49_000, 47_000]);
}

#[test]
fn more_workers_than_the_bound_are_refused() {
    let mut r = EndpointList::new(1);
    r.begins(1, 1, None);
    let row = |r: &mut EndpointList, n: &str| r.row(Time(9), n, "x", Lifecycle::Ready, 1, None, "", "", 1.0);
    assert!(row(&mut r, "a").is_ok() && row(&mut r, "b").is_err());
}

/// Guards against a list that came empty by a fault: nobody is sent anything, and the next answer, which has the same
/// number, brings the workers back.
#[test]
fn a_list_that_names_nobody_is_followed_by_the_same_version_with_workers() {
    let mut r = EndpointList::new(10);
    assert_eq!(read(&mut r, (7, 3), None, &[("a", 1)]).0, ListOutcome::Applied { full: true });
    assert_eq!(read(&mut r, (7, 4), None, &[]), (ListOutcome::Applied { full: true }, 0));
    assert_eq!(read(&mut r, (7, 3), None, &[("a", 1)]).0, ListOutcome::Stale);
    assert_eq!(read(&mut r, (7, 4), None, &[("a", 1)]), (ListOutcome::Applied { full: true }, 1));
    assert_eq!(read(&mut r, (7, 4), None, &[("a", 1)]).0, ListOutcome::Stale, "once");
}
