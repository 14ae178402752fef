//! Tests of the relay's faults, observed at both of its ends.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use curlewpoint::types::Time;
use curlewpoint_lab::Transcript;
use curlewpoint_link::{handshake, listen, Link, LinkLimits};
use curlewpoint_rig::{Effect, Relay, RelayContext, RelayEvent, Rules};
use curlewpoint_wire::{Field, Frame, Kind};
use tokio::net::TcpStream;
use tokio_stream::StreamExt;

/// Two parties connected through a relay in front of the second.
struct Pair {
    client: Link,
    server: Link,
    _relay: Relay,
}

async fn connect_pair(context: &RelayContext, client: &str, server: &str) -> Pair {
    let listener = listen("127.0.0.1:0").unwrap();
    let relay = Relay::start(server, Some(listener.local_addr().unwrap()), None, context).await.unwrap();
    let stream = TcpStream::connect(relay.address).await.unwrap();
    let accepted =
        async { handshake(listener.accept().await.unwrap().0, server, LinkLimits::default()).await.unwrap() };
    let (client, server) = tokio::join!(handshake(stream, client, LinkLimits::default()), accepted);
    Pair { client: client.unwrap(), server, _relay: relay }
}

fn party_names(all: &[&str]) -> BTreeSet<String> {
    all.iter().map(|n| (*n).to_owned()).collect()
}

fn send_probe(link: &Link, tag: u64) {
    link.outbox.send(Frame::new(Kind::PROBE).int(Field::TAG, tag), None).unwrap();
}

async fn receive_tag(link: &mut Link) -> Option<u64> {
    link.reader.next().await?.ok()?.get_int(Field::TAG).ok()
}

fn context() -> (Rules, RelayContext) {
    let rules = Rules::default();
    (rules.clone(), RelayContext::new(rules, Transcript::default()))
}

/// Guards against frames lost or reordered by a one-way cut, and against a cut that also blocks the other direction.
#[tokio::test]
async fn a_one_way_cut_holds_only_that_direction_and_loses_nothing() {
    let (rules, context) = context();
    let mut pair = connect_pair(&context, "a", "b").await;
    rules.set(1, party_names(&["a"]), party_names(&["b"]), Effect::Cut);
    send_probe(&pair.client, 1);
    send_probe(&pair.server, 2);
    assert_eq!(receive_tag(&mut pair.client).await, Some(2));
    send_probe(&pair.client, 3);
    rules.remove(1);
    assert_eq!(
        (receive_tag(&mut pair.server).await, receive_tag(&mut pair.server).await),
        (Some(1), Some(3))
    );
    let passed_at = |from: &str| {
        let frames = context.log.all();
        frames
            .iter()
            .filter(|t| &*t.1 == from && matches!(t.3, RelayEvent::Frame { kind: Kind::PROBE, .. }))
            .count()
    };
    assert_eq!((passed_at("a"), passed_at("b")), (2, 1));
}

/// Guards against a cut that affects a pair it does not name, and against frames that pass during a cut.
#[tokio::test]
async fn a_cut_leaves_other_pairs_untouched() {
    let (rules, context) = context();
    let mut cut = connect_pair(&context, "a", "b").await;
    let mut other = connect_pair(&context, "c", "b").await;
    rules.set(1, party_names(&["a"]), party_names(&["b"]), Effect::Cut);
    send_probe(&cut.client, 1);
    for tag in 0..50 {
        send_probe(&other.client, tag);
        assert_eq!(receive_tag(&mut other.server).await, Some(tag));
    }
    let probes = context
        .log
        .all()
        .iter()
        .filter(|t| &*t.1 == "a" && matches!(t.3, RelayEvent::Frame { kind: Kind::PROBE, .. }))
        .count();
    assert_eq!(probes, 0);
    rules.remove(1);
    assert_eq!(receive_tag(&mut cut.server).await, Some(1));
}

#[tokio::test]
async fn delayed_bytes_arrive_no_earlier_than_the_delay() {
    let (rules, context) = context();
    let mut pair = connect_pair(&context, "a", "b").await;
    rules.set(1, party_names(&["a"]), party_names(&["b"]), Effect::Delay(Duration::from_millis(80)));
    let began = Instant::now();
    send_probe(&pair.client, 1);
    assert_eq!(receive_tag(&mut pair.server).await, Some(1));
    assert!(began.elapsed() >= Duration::from_millis(80));
}

#[tokio::test]
async fn slowed_bytes_take_at_least_their_size_over_the_rate() {
    let (rules, context) = context();
    let mut pair = connect_pair(&context, "a", "b").await;
    rules.set(1, party_names(&["a"]), party_names(&["b"]), Effect::Slow(10_000.0));
    let began = Instant::now();
    pair.client.outbox.send(Frame::new(Kind::PROBE).int(Field::TAG, 1).body(vec![0; 1_000]), None).unwrap();
    assert_eq!(receive_tag(&mut pair.server).await, Some(1));
    assert!(began.elapsed() >= Duration::from_millis(100));
}

#[tokio::test]
async fn a_reset_closes_only_the_connections_of_the_named_pair() {
    let (rules, context) = context();
    let mut pair = connect_pair(&context, "a", "b").await;
    let mut other = connect_pair(&context, "c", "b").await;
    rules.reset(&party_names(&["a"]), &party_names(&["b"]));
    assert_eq!((receive_tag(&mut pair.client).await, receive_tag(&mut pair.server).await), (None, None));
    send_probe(&other.client, 5);
    assert_eq!(receive_tag(&mut other.server).await, Some(5));
}

/// Guards against closing both directions when only one side has finished sending.
#[tokio::test]
async fn a_half_closed_connection_still_carries_the_other_direction() {
    let (_, context) = context();
    let mut pair = connect_pair(&context, "a", "b").await;
    drop(pair.client.outbox);
    assert_eq!(receive_tag(&mut pair.server).await, None);
    send_probe(&pair.server, 7);
    assert_eq!(pair.client.reader.next().await.unwrap().unwrap().get_int(Field::TAG), Ok(7));
}

/// Guards against exceeding a party's accept rate: further connections wait.
#[tokio::test]
async fn connections_beyond_the_accept_rate_wait() {
    let (_, context) = context();
    let listener = listen("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    let relay = Relay::start("list", Some(at), Some(20.0), &context).await.unwrap();
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
    let dials = context.log.all().iter().filter(|t| t.3 == RelayEvent::Dialled && t.0 > Time(0)).count();
    assert_eq!(dials, 4);
}

/// Guards against counting an observation twice when its row passes several relays, and against missing observations that a
/// later one overtook.
#[tokio::test]
async fn hint_rows_are_all_counted_and_new_observations_once() {
    let (_, context) = context();
    let mut first = connect_pair(&context, "front-0", "front-1").await;
    let mut second = connect_pair(&context, "front-0", "front-2").await;
    let rows = |run: u64, numbers: &[u64]| -> Vec<u64> {
        numbers.iter().flat_map(|no| [1, 2, 0, 1, 5, run, *no]).collect()
    };
    let send_probe = |link: &Link, rows: &[u64]| {
        link.outbox.send(Frame::new(Kind::HINTS).ints(Field::ROWS, rows), None).unwrap();
    };
    let recorded_hints = || {
        let all = context.log.all();
        let hints = all.iter().filter_map(|t| match t.3 {
            RelayEvent::Frame { kind: Kind::HINTS, rows, new_observations, .. } => {
                Some((rows, new_observations))
            }
            _ => None,
        });
        hints.collect::<Vec<_>>()
    };
    for (through_second, run, numbers) in
        [(false, 8, vec![1, 3]), (true, 8, vec![1, 2, 3]), (false, 9, vec![1])]
    {
        let (pair, before) = (if through_second { &mut second } else { &mut first }, recorded_hints().len());
        send_probe(&pair.client, &rows(run, &numbers));
        assert_eq!(pair.server.reader.next().await.unwrap().unwrap().kind, Kind::HINTS);
        // A frame is recorded just after it has been forwarded.
        while recorded_hints().len() == before {
            tokio::task::yield_now().await;
        }
    }
    assert_eq!(recorded_hints(), [(2, 3), (3, 0), (1, 1)]);
}

/// Guards against timing a frame held by a cut by when it was forwarded instead of when it reached the relay.
#[tokio::test]
async fn a_frame_held_by_a_cut_is_timed_by_its_arrival_at_the_relay() {
    let (rules, context) = context();
    let mut pair = connect_pair(&context, "front-0", "front-1").await;
    rules.set(1, party_names(&["front-0"]), party_names(&["front-1"]), Effect::Cut);
    let before = context.record.now();
    pair.client.outbox.send(Frame::new(Kind::DIRECTORY_QUERY).ints(Field::FUNCTIONS, &[7, 8]), None).unwrap();
    let held = Duration::from_millis(100);
    tokio::time::sleep(held).await;
    rules.remove(1);
    assert_eq!(pair.server.reader.next().await.unwrap().unwrap().kind, Kind::DIRECTORY_QUERY);
    let recorded = loop {
        let all = context.log.all();
        let query = all.into_iter().find_map(|t| match t.3 {
            RelayEvent::Frame { kind: Kind::DIRECTORY_QUERY, received_at, functions, .. } => {
                Some((t.0, received_at, functions))
            }
            _ => None,
        });
        match query {
            Some(recorded) => break recorded,
            None => tokio::task::yield_now().await,
        }
    };
    let (passed_at, received_at, functions) = recorded;
    assert!(
        passed_at >= before + Time(1_000) && received_at < passed_at - Time(900),
        "{received_at:?} of {passed_at:?}"
    );
    assert_eq!(functions, [7, 8]);
}

/// Guards against an unnoticed understated age: a row whose age was not advanced in transit looks younger than at the relay
/// that saw it first.
#[tokio::test]
async fn an_understated_row_age_is_measured() {
    let (_, context) = context();
    let mut pair = connect_pair(&context, "front-0", "front-1").await;
    let mut age_errors = Vec::new();
    // A different observation number, run or function identifies a different row.
    for (worker, function, age, run, no) in [
        (1, 2, 5_000, 8, 1),
        (1, 2, 60_000, 8, 1),
        (1, 2, 0, 8, 1),
        (1, 2, 0, 8, 2),
        (1, 3, 0, 8, 1),
        (1, 2, 0, 9, 1),
    ] {
        let row = [worker, function, 3, 1, age, run, no];
        pair.client.outbox.send(Frame::new(Kind::OBSERVATIONS).ints(Field::ROWS, &row), None).unwrap();
        assert_eq!(pair.server.reader.next().await.unwrap().unwrap().kind, Kind::OBSERVATIONS);
        let before = age_errors.len();
        while age_errors.len() == before {
            let all = context.log.all();
            let of = all.iter().filter_map(|t| match t.3 {
                RelayEvent::Frame { kind: Kind::OBSERVATIONS, age_error, .. } => Some(age_error),
                _ => None,
            });
            age_errors = of.collect();
            tokio::task::yield_now().await;
        }
    }
    assert!(age_errors[2] >= Time(5_000) && age_errors[2] < Time(60_000), "{age_errors:?}");
    assert!([0, 1, 3, 4, 5].iter().all(|no| age_errors[*no] == Time(0)), "{age_errors:?}");
}
