//! What a relay does to bytes, seen from both of its ends.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use curlewpoint::types::Time;
use curlewpoint_lab::Transcript;
use curlewpoint_link::{handshake, listen, Link, LinkLimits};
use curlewpoint_rig::{Effect, Relay, Rules, Shared, Taped};
use curlewpoint_wire::{Field, Frame, Kind};
use tokio::net::TcpStream;
use tokio_stream::StreamExt;

/// Two parties with a relay before the second, joined.
struct Pair {
    near: Link,
    far: Link,
    _relay: Relay,
}

async fn pair(shared: &Shared, near: &str, far: &str) -> Pair {
    let listener = listen("127.0.0.1:0").unwrap();
    let relay = Relay::start(far, Some(listener.local_addr().unwrap()), None, shared).await.unwrap();
    let stream = TcpStream::connect(relay.address).await.unwrap();
    let accepted =
        async { handshake(listener.accept().await.unwrap().0, far, LinkLimits::default()).await.unwrap() };
    let (near, far) = tokio::join!(handshake(stream, near, LinkLimits::default()), accepted);
    Pair { near: near.unwrap(), far, _relay: relay }
}

fn names(all: &[&str]) -> BTreeSet<String> {
    all.iter().map(|n| (*n).to_owned()).collect()
}

fn say(link: &Link, tag: u64) {
    link.outbox.send(Frame::new(Kind::PROBE).int(Field::TAG, tag), None).unwrap();
}

async fn hears(link: &mut Link) -> Option<u64> {
    link.reader.next().await?.ok()?.get_int(Field::TAG).ok()
}

fn shared() -> (Rules, Shared) {
    let rules = Rules::default();
    (rules.clone(), Shared::new(rules, Transcript::default()))
}

/// One way is cut: what goes that way lies until the cut is over, and comes in its order; the other way goes on.
#[tokio::test]
async fn a_cut_one_way_holds_that_way_alone_and_loses_nothing() {
    let (rules, shared) = shared();
    let mut p = pair(&shared, "a", "b").await;
    rules.set(1, names(&["a"]), names(&["b"]), Effect::Cut);
    say(&p.near, 1);
    say(&p.far, 2);
    assert_eq!(hears(&mut p.near).await, Some(2));
    say(&p.near, 3);
    rules.lift(1);
    assert_eq!((hears(&mut p.far).await, hears(&mut p.far).await), (Some(1), Some(3)));
    let passed = |from: &str| {
        let frames = shared.tape.all();
        frames
            .iter()
            .filter(|t| &*t.1 == from && matches!(t.3, Taped::Frame { kind: Kind::PROBE, .. }))
            .count()
    };
    assert_eq!((passed("a"), passed("b")), (2, 1));
}

/// While one pair is cut another is not, and what is cut has not passed by then.
#[tokio::test]
async fn a_cut_touches_nobody_else() {
    let (rules, shared) = shared();
    let mut cut = pair(&shared, "a", "b").await;
    let mut other = pair(&shared, "c", "b").await;
    rules.set(1, names(&["a"]), names(&["b"]), Effect::Cut);
    say(&cut.near, 1);
    for tag in 0..50 {
        say(&other.near, tag);
        assert_eq!(hears(&mut other.far).await, Some(tag));
    }
    let probes = shared
        .tape
        .all()
        .iter()
        .filter(|t| &*t.1 == "a" && matches!(t.3, Taped::Frame { kind: Kind::PROBE, .. }))
        .count();
    assert_eq!(probes, 0);
    rules.lift(1);
    assert_eq!(hears(&mut cut.far).await, Some(1));
}

#[tokio::test]
async fn what_is_delayed_comes_no_sooner() {
    let (rules, shared) = shared();
    let mut p = pair(&shared, "a", "b").await;
    rules.set(1, names(&["a"]), names(&["b"]), Effect::Delay(Duration::from_millis(80)));
    let began = Instant::now();
    say(&p.near, 1);
    assert_eq!(hears(&mut p.far).await, Some(1));
    assert!(began.elapsed() >= Duration::from_millis(80));
}

#[tokio::test]
async fn what_is_slowed_takes_its_time() {
    let (rules, shared) = shared();
    let mut p = pair(&shared, "a", "b").await;
    rules.set(1, names(&["a"]), names(&["b"]), Effect::Slow(10_000.0));
    let began = Instant::now();
    p.near.outbox.send(Frame::new(Kind::PROBE).int(Field::TAG, 1).body(vec![0; 1_000]), None).unwrap();
    assert_eq!(hears(&mut p.far).await, Some(1));
    assert!(began.elapsed() >= Duration::from_millis(100));
}

#[tokio::test]
async fn a_reset_ends_the_connections_of_those_two_and_of_no_others() {
    let (rules, shared) = shared();
    let mut p = pair(&shared, "a", "b").await;
    let mut other = pair(&shared, "c", "b").await;
    rules.reset(&names(&["a"]), &names(&["b"]));
    assert_eq!((hears(&mut p.near).await, hears(&mut p.far).await), (None, None));
    say(&other.near, 5);
    assert_eq!(hears(&mut other.far).await, Some(5));
}

/// One side may close while the other still speaks.
#[tokio::test]
async fn a_connection_may_be_closed_by_halves() {
    let (_, shared) = shared();
    let mut p = pair(&shared, "a", "b").await;
    drop(p.near.outbox);
    assert_eq!(hears(&mut p.far).await, None);
    say(&p.far, 7);
    assert_eq!(p.near.reader.next().await.unwrap().unwrap().get_int(Field::TAG), Ok(7));
}

/// A party that takes few connections a second lets the others wait their turn.
#[tokio::test]
async fn connections_wait_their_turn() {
    let (_, shared) = shared();
    let listener = listen("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    let relay = Relay::start("list", Some(at), Some(20.0), &shared).await.unwrap();
    tokio::spawn(async move {
        let mut open_links = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            open_links.push(handshake(stream, "list", LinkLimits::default()).await);
        }
    });
    let began = Instant::now();
    for _ in 0..4 {
        let stream = TcpStream::connect(relay.address).await.unwrap();
        handshake(stream, "front-0", LinkLimits::default()).await.unwrap();
    }
    assert!(began.elapsed() >= Duration::from_millis(150), "{:?}", began.elapsed());
    let dials = shared.tape.all().iter().filter(|t| t.3 == Taped::Dialled && t.0 > Time(0)).count();
    assert_eq!(dials, 4);
}

/// A row of hints that passes a second relay is a row, and no new sight; one that overtook others counts with them.
#[tokio::test]
async fn rows_of_hints_are_counted_and_new_sights_once() {
    let (_, shared) = shared();
    let mut first = pair(&shared, "front-0", "front-1").await;
    let mut second = pair(&shared, "front-0", "front-2").await;
    let rows =
        |run: u64, nos: &[u64]| -> Vec<u64> { nos.iter().flat_map(|no| [1, 2, 0, 1, 5, run, *no]).collect() };
    let say = |link: &Link, rows: &[u64]| {
        link.outbox.send(Frame::new(Kind::HINTS).ints(Field::ROWS, rows), None).unwrap();
    };
    let taped = || {
        let all = shared.tape.all();
        let hints = all.iter().filter_map(|t| match t.3 {
            Taped::Frame { kind: Kind::HINTS, rows, new, .. } => Some((rows, new)),
            _ => None,
        });
        hints.collect::<Vec<_>>()
    };
    for (of_second, run, nos) in [(false, 8, vec![1, 3]), (true, 8, vec![1, 2, 3]), (false, 9, vec![1])] {
        let (p, before) = (if of_second { &mut second } else { &mut first }, taped().len());
        say(&p.near, &rows(run, &nos));
        assert_eq!(p.far.reader.next().await.unwrap().unwrap().kind, Kind::HINTS);
        // A frame is taped just after it has been handed on.
        while taped().len() == before {
            tokio::task::yield_now().await;
        }
    }
    assert_eq!(taped(), [(2, 3), (3, 0), (1, 1)]);
}

/// What lies in a cut has come when it was sent, not when it passes; a question and an answer tell what for.
#[tokio::test]
async fn what_lay_in_a_cut_counts_from_when_it_was_sent() {
    let (rules, shared) = shared();
    let mut p = pair(&shared, "front-0", "front-1").await;
    rules.set(1, names(&["front-0"]), names(&["front-1"]), Effect::Cut);
    let before = shared.record.now();
    p.near.outbox.send(Frame::new(Kind::DIRECTORY_QUERY).ints(Field::FUNCTIONS, &[7, 8]), None).unwrap();
    let lay = Duration::from_millis(100);
    tokio::time::sleep(lay).await;
    rules.lift(1);
    assert_eq!(p.far.reader.next().await.unwrap().unwrap().kind, Kind::DIRECTORY_QUERY);
    let told = loop {
        let all = shared.tape.all();
        let ask = all.into_iter().find_map(|t| match t.3 {
            Taped::Frame { kind: Kind::DIRECTORY_QUERY, came, functions, .. } => Some((t.0, came, functions)),
            _ => None,
        });
        match ask {
            Some(told) => break told,
            None => tokio::task::yield_now().await,
        }
    };
    let (passed, came, functions) = told;
    assert!(passed >= before + Time(1_000) && came < passed - Time(900), "{came:?} of {passed:?}");
    assert_eq!(functions, [7, 8]);
}

/// A row whose age was not counted on a way looks younger by that way than when a relay saw the sight first.
#[tokio::test]
async fn a_row_that_looks_younger_than_it_is_is_seen() {
    let (_, shared) = shared();
    let mut p = pair(&shared, "front-0", "front-1").await;
    let mut younger = Vec::new();
    // Another sight, run or function is another row.
    for (worker, function, age, run, no) in [
        (1, 2, 5_000, 8, 1),
        (1, 2, 60_000, 8, 1),
        (1, 2, 0, 8, 1),
        (1, 2, 0, 8, 2),
        (1, 3, 0, 8, 1),
        (1, 2, 0, 9, 1),
    ] {
        let row = [worker, function, 3, 1, age, run, no];
        p.near.outbox.send(Frame::new(Kind::OBSERVATIONS).ints(Field::ROWS, &row), None).unwrap();
        assert_eq!(p.far.reader.next().await.unwrap().unwrap().kind, Kind::OBSERVATIONS);
        let before = younger.len();
        while younger.len() == before {
            let all = shared.tape.all();
            let of = all.iter().filter_map(|t| match t.3 {
                Taped::Frame { kind: Kind::OBSERVATIONS, younger, .. } => Some(younger),
                _ => None,
            });
            younger = of.collect();
            tokio::task::yield_now().await;
        }
    }
    assert!(younger[2] >= Time(5_000) && younger[2] < Time(60_000), "{younger:?}");
    assert!([0, 1, 3, 4, 5].iter().all(|no| younger[*no] == Time(0)), "{younger:?}");
}
