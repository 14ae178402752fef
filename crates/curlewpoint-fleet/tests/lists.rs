//! How a list goes from peer to peer: to one that starts, among many, with peers that fail while they tell it, and beside
//! an earlier release.

mod common;

use std::collections::BTreeSet;

use common::{Acts, Net, MS};
use curlewpoint::types::{Standing as Lifecycle, Time};
use curlewpoint_fleet::{
    frames, EndpointEntry, Fleet, FleetLimits, InstanceId, LinkId, ListOutcome, ListSource, MemberId, Run,
};
use curlewpoint_wire::{Field, Frame, Kind, HEAD_BYTES};
use proptest::prelude::*;
use test_case::test_case;

/// More workers than frames may wait on a link.
const MANY: usize = 20_000;

/// So many that have run for long, and hold a list of so many workers.
fn settled(seed: u64, n: usize, rows: usize, old: bool) -> (Net, Vec<u64>) {
    let mut net = Net::new(seed, n as u64 + 1);
    (net.rows, net.old) = (rows, old);
    let ids: Vec<u64> = (0..n).map(|name| net.start(name, &[0, 1, 2])).collect();
    net.run(8_000);
    assert_eq!(net.lists(), BTreeSet::from([Some((1, 1))]));
    (net, ids)
}

/// Starts one that cannot reach the list service, and lets time pass until somebody has begun to tell it the list; both.
fn begun(net: &mut Net, name: usize) -> (u64, u64) {
    let before: Vec<(u64, usize)> = net.nodes.iter().map(|(id, n)| (*id, n.acts.wholes)).collect();
    net.blind.insert(name);
    let new = net.start(name, &[0, 1, 2]);
    for _ in 0..2_000 {
        net.run(1);
        let tells = before.iter().find(|(id, wholes)| net.nodes[id].acts.wholes > *wholes);
        if let Some((id, _)) = tells {
            assert_eq!(net.nodes[&new].acts.list, None, "it takes more than a moment");
            return (new, *id);
        }
    }
    panic!("nobody tells it");
}

/// So long until one holds a list, in milliseconds, and whole it is.
fn until_held(net: &mut Net, id: u64, most: u64) -> u64 {
    let took = (0..most).find(|_| {
        net.run(1);
        net.nodes[&id].acts.list.is_some()
    });
    let took = took.unwrap_or_else(|| panic!("no list within {most} ms: {:?}", net.lists()));
    assert!(net.holds_whole(id));
    took
}

/// Bytes of a list of so many workers, told once: many rows to a frame, or one.
#[test_case(false, false, 60 ; "all of this release")]
#[test_case(true, false, 66 ; "peers of an earlier one")]
#[test_case(false, true, 66 ; "it is of an earlier one itself")]
fn a_list_longer_than_an_outbox_reaches_one_that_starts_once(old_peers: bool, old: bool, row: usize) {
    let (mut net, _) = settled(3, 12, MANY, old_peers);
    assert_eq!(net.overrun, 0, "no link is cut");
    let (wholes, bytes) = net.list_told();
    net.old = old;
    let new = net.start(12, &[0, 1, 2]);
    let took = until_held(&mut net, new, 1_000);
    net.run(4_000);
    let told = net.list_told();
    println!("{took} ms, {} whole lists, {} bytes", told.0 - wholes, told.1 - bytes);
    assert_eq!((told.0 - wholes, net.overrun), (1, 0));
    let (least, most) = (MANY * row, MANY * row * 101 / 100);
    assert!((least..=most).contains(&(told.1 - bytes)), "{} bytes", told.1 - bytes);
}

/// Each is told the list once, if it does not get it from the service itself.
#[test]
fn twelve_that_start_at_once_are_told_once_each() {
    let (net, _) = settled(5, 12, 8_500, false);
    let (wholes, _) = net.list_told();
    assert!((1..=12).contains(&wholes), "{wholes} whole lists");
    assert_eq!(net.overrun, 0);
}

#[test]
fn those_that_are_restarted_among_twelve_are_told_once_each() {
    let (mut net, ids) = settled(7, 12, 8_500, false);
    let (wholes, _) = net.list_told();
    let mut asked = 0;
    for (no, name) in [(4, 4), (9, 9)] {
        net.kill(ids[no]);
        net.run(3_000);
        let new = net.start(name, &[0, 1, 2]);
        until_held(&mut net, new, 1_000);
        net.run(3_000);
        asked += net.nodes[&new].acts.list_asked.len();
    }
    let told = net.list_told().0 - wholes;
    assert!(told == 2 && asked <= 2, "{told} whole lists, {asked} questions");
}

#[derive(Clone, Copy)]
enum Trouble {
    Dies,
    StandsStill,
    IsCut,
}

/// Somebody else is asked half a second and a tick later, and at once where the link has ended.
#[test_case(Trouble::Dies, 250 ; "dies")]
#[test_case(Trouble::StandsStill, 750 ; "stands still")]
#[test_case(Trouble::IsCut, 750 ; "is cut off")]
fn where_the_one_that_tells_fails_the_next_is_asked(trouble: Trouble, most: u64) {
    for seed in 0..8 {
        let (mut net, _) = settled(seed, 12, MANY, false);
        let (new, teller) = begun(&mut net, 12);
        net.run(3);
        let name = net.nodes[&teller].name;
        match trouble {
            Trouble::Dies => net.kill(teller),
            Trouble::StandsStill => net.pause(teller, 10_000),
            Trouble::IsCut => net.cut_apart(&[name], &[12]),
        }
        let before = net.list_told().0;
        let took = until_held(&mut net, new, most);
        println!("seed {seed}: {took} ms");
        assert_eq!(net.list_told().0, before + 1, "one is asked at a time");
        net.run(6_000);
        assert!(net.holds_whole(new) && net.torn.is_empty());
    }
}

#[test]
fn what_changes_while_a_list_is_told_follows_it() {
    let (mut net, _) = settled(11, 12, MANY, false);
    let wholes = net.list_told().0;
    let (new, _) = begun(&mut net, 12);
    for _ in 0..40 {
        net.change();
        net.run(4);
    }
    net.run(400);
    assert!(net.torn.is_empty(), "{:?}", net.torn);
    assert_eq!(net.nodes[&new].acts.list, Some(net.version));
    assert_eq!((net.list_told().0 - wholes, net.overrun), (1, 0));
}

/// The service has begun anew: what is told is still of the old run.
#[test]
fn a_list_of_another_epoch_follows_one_that_is_being_told() {
    let (mut net, _) = settled(13, 12, MANY, false);
    let (new, _) = begun(&mut net, 12);
    net.version = (2, 1);
    net.change();
    net.run(4_000);
    assert!(net.torn.is_empty(), "{:?}", net.torn);
    assert_eq!(net.lists(), BTreeSet::from([Some((2, 2))]));
    assert!(net.holds_whole(new));
}

/// A zone's worth of them come back and meet three peers.
#[test]
fn many_that_start_together_are_told_within_the_budget_of_each() {
    let (mut net, ids) = settled(17, 6, MANY, false);
    net.told = 46;
    let wholes = net.list_told().0;
    let new: Vec<u64> = (6..46).map(|name| net.start(name, &[0, 1, 2])).collect();
    net.run(17_000);
    assert!(new.iter().all(|id| net.holds_whole(*id) && net.nodes[id].acts.list.is_some()));
    let told = net.list_told().0 - wholes;
    let mut worst = 0;
    for id in ids.iter().chain(&new) {
        let sent = &net.nodes[id].acts.list_sent;
        let (mut from, mut sum) = (0, 0);
        for (at, bytes) in sent {
            sum += bytes;
            while sent[from].0 + Time(1_000 * MS) <= *at {
                sum -= sent[from].1;
                from += 1;
            }
            worst = worst.max(sum);
        }
    }
    println!("{told} whole lists, {worst} bytes in the worst second of one");
    // What is saved up, what comes in a second, and the part with which it is overdrawn.
    assert!(worst <= 2 * 4_000_000 + (256 << 10), "{worst} bytes in a second");
    assert!(told <= 80, "{told} whole lists for 40");
}

// One instance alone, and peers that are played.

const BOUNDS: FleetLimits = FleetLimits {
    max_instances: 100,
    max_inbound_links: 100,
    watchers: 3,
    answer_slack: Time(1_500),
    hint_lifetime: Time(80_000),
    exchange_hints: true,
};

struct Alone {
    now: Time,
    fleet: Fleet,
    acts: Acts,
}

impl Alone {
    fn fresh() -> Alone {
        let now = Time(864_000_000);
        let fleet = Fleet::start(now, "f", ("me", Run(1)), "a", vec!["b".into()], 9, BOUNDS, 1);
        Alone { now, fleet, acts: Acts::default() }
    }

    fn new() -> Alone {
        let mut me = Alone::fresh();
        // It has heard of somebody, who has no list: whoever is met later is asked.
        let first = me.peer(0);
        me.beat(first, None);
        me
    }

    fn peer(&mut self, no: u64) -> LinkId {
        self.peer_on(no, no)
    }

    fn peer_on(&mut self, link: u64, no: u64) -> LinkId {
        let (link, name) = (LinkId(1 << 63 | link), format!("peer-{no}"));
        let id = MemberId { instance: InstanceId::of(&name), run: Run(9) };
        self.fleet.link_accepted(self.now, &mut self.acts, link);
        self.fleet.peer_reads_list_rows(link);
        self.fleet.join_received(
            self.now,
            &mut self.acts,
            link,
            "f",
            id,
            &name,
            &name,
            Default::default(),
            5,
        );
        link
    }

    fn beat(&mut self, link: LinkId, held: Option<(u64, u64)>) {
        self.fleet.heartbeat_received(self.now, &mut self.acts, link, (1, 0), 7, held, None, true, false);
    }

    fn pass(&mut self, ms: u64) {
        self.now = self.now + Time(ms * MS);
        self.fleet.advance(self.now, &mut self.acts);
    }

    fn read(&mut self, link: LinkId, frame: &Frame) -> bool {
        frames::dispatch(&mut self.fleet, self.now, &mut self.acts, link, frame).is_ok()
    }
}

/// Guards against one that tells a list forever. It is seen to be asked for elsewhere after five seconds.
#[test]
fn a_list_that_never_ends_is_asked_for_elsewhere() {
    let mut me = Alone::new();
    let (slow, other) = (me.peer(1), me.peer(2));
    me.beat(slow, Some((3, 3)));
    me.beat(other, Some((3, 3)));
    assert_eq!(me.acts.list_asked, [slow]);
    assert!(me.read(slow, &frames::list_begin_frame((3, 3), None)));
    for no in 0..49 {
        me.pass(100);
        assert!(me.read(slow, &frames::entry_frame(me.now, &format!("w-{no}"), &entry("a"))));
        me.beat(slow, Some((3, 3)));
        me.beat(other, Some((3, 3)));
        assert_eq!(me.acts.list_asked, [slow], "after {no}");
    }
    me.pass(100);
    assert_eq!(me.acts.list_asked, [slow, other]);
    for frame in [frames::list_begin_frame((3, 3), None), frames::list_end_frame()] {
        assert!(me.read(other, &frame));
    }
    assert_eq!(me.fleet.endpoints().held(), Some((3, 3)));
    assert_eq!(me.acts.list_asked, [slow, other, slow], "the slow one hears that it is not wanted any more");
    assert!(me.read(slow, &frames::list_end_frame()));
    assert!(me.fleet.endpoints().is_empty(), "what it told was never whole");
}

/// Guards against being told the whole by all who hear of one that starts before its introducer has told it.
#[test]
fn one_that_knows_nobody_has_asked_with_its_join() {
    let mut me = Alone::fresh();
    let (first, other) = (me.peer(1), me.peer(2));
    me.beat(other, Some((3, 3)));
    me.beat(first, Some((3, 3)));
    assert_eq!(me.acts.list_asked, []);
    me.pass(520);
    assert_eq!(me.acts.list_asked, [other], "the first stands still");
}

/// Two that look after each other have two links.
#[test]
fn one_that_stands_still_is_not_asked_over_its_other_link() {
    let mut me = Alone::new();
    let links = [me.peer_on(1, 1), me.peer_on(2, 1), me.peer_on(3, 3)];
    links.iter().for_each(|link| me.beat(*link, Some((3, 3))));
    assert_eq!(me.acts.list_asked, [links[0]]);
    me.pass(499);
    assert_eq!(me.acts.list_asked, [links[0]]);
    me.pass(20);
    assert_eq!(me.acts.list_asked, [links[0], links[2]]);
}

/// Guards against asking the same one without end for a list that is not taken on its word.
#[test]
fn a_peer_whose_word_alone_does_not_do_is_not_asked_at_each_beat() {
    let mut me = Alone::new();
    let (one, two) = (me.peer(1), me.peer(2));
    let tell = |me: &mut Alone, link: LinkId, version| {
        assert!(
            me.read(link, &frames::list_begin_frame(version, None))
                && me.read(link, &frames::list_end_frame())
        );
    };
    tell(&mut me, one, (1, 1));
    for _ in 0..6 {
        me.beat(one, Some((5, 1)));
        if me.acts.list_asked.len() == 1 && me.fleet.refusal_count() == 0 {
            tell(&mut me, one, (5, 1));
        }
        me.beat(two, Some((1, 1)));
        me.pass(300);
    }
    assert_eq!((me.fleet.endpoints().held(), &me.acts.list_asked[..]), (Some((1, 1)), &[one][..]));
    me.beat(two, Some((5, 1)));
    tell(&mut me, two, (5, 1));
    assert_eq!(me.fleet.endpoints().held(), Some((5, 1)));
    assert_eq!(me.acts.list_asked, [one, two]);
}

/// One of an earlier release asks at each beat while it is being told.
#[test]
fn whoever_asks_again_while_it_is_told_is_told_once() {
    let mut me = Alone::new();
    let now = me.now;
    me.fleet.list_begin_received(now, None, 1, 1, None);
    (0..MANY).for_each(|no| {
        me.fleet.list_entry_received(now, None, &format!("worker-{no:06}"), entry("127.0.0.1:1"))
    });
    me.fleet.list_end_received(now, &mut me.acts, None);
    let link = me.peer(1);
    for _ in 0..5 {
        me.pass(300);
        me.fleet.list_requested(me.now, &mut me.acts, link, None);
    }
    assert_eq!(me.acts.wholes, 1);
    let part = me.acts.list_bytes;
    assert!(part < 256 << 10, "{part} bytes without a sign that any were read");
    // It has got one from elsewhere: it is told no further.
    me.fleet.list_requested(me.now, &mut me.acts, link, Some((1, 1)));
    me.fleet.heartbeat_received(me.now, &mut me.acts, link, (9, u64::MAX), 7, None, None, true, false);
    assert_eq!((me.acts.wholes, me.acts.list_bytes), (1, part));
}

/// One of an earlier release asks for the whole where changes do not fit what it holds: changes in the midst of it would
/// end it.
#[test]
fn changes_wait_for_the_end_of_the_whole() {
    let mut me = Alone::new();
    let told = |me: &mut Alone, version, from: Option<u64>, rows: usize| {
        me.fleet.list_begin_received(me.now, None, 1, version, from);
        for no in 0..rows {
            me.fleet.list_entry_received(me.now, None, &format!("worker-{no:06}"), entry("127.0.0.1:1"));
        }
        me.fleet.list_end_received(me.now, &mut me.acts, None);
    };
    told(&mut me, 1, None, MANY);
    told(&mut me, 2, Some(1), 1);
    // It looks after this one, so that it tells it what is new.
    let (link, id) = (LinkId(1), MemberId { instance: InstanceId::of("old"), run: Run(9) });
    me.pass(100);
    me.fleet.link_up(me.now, &mut me.acts, link);
    me.fleet.join_received(me.now, &mut me.acts, link, "f", id, "old", "old", Default::default(), 5);
    me.beat(link, Some((1, 1)));
    me.fleet.list_requested(me.now, &mut me.acts, link, None);
    assert_eq!((me.acts.lists, me.acts.wholes), (1, 1));
    told(&mut me, 3, Some(2), 1);
    assert_eq!(me.acts.lists, 1, "in its midst");
    for _ in 0..60 {
        me.pass(100);
        me.fleet.heartbeat_received(
            me.now,
            &mut me.acts,
            link,
            (9, u64::MAX),
            7,
            Some((1, 1)),
            None,
            true,
            false,
        );
    }
    assert_eq!((me.acts.lists, me.acts.wholes), (2, 1), "behind it");
}

/// One that has been told more meanwhile takes the changes since an earlier version: no whole list is needed.
#[test]
fn changes_since_before_what_is_held_are_taken() {
    let mut book = curlewpoint_fleet::EndpointTable::new(10);
    let by = ListSource::Peer(InstanceId(1));
    let tell = |book: &mut curlewpoint_fleet::EndpointTable, version, from, rows: &[(&str, u64)]| {
        book.begin(1, 1, version, from);
        rows.iter().for_each(|(name, start)| {
            book.push_entry(1, name, EndpointEntry { start: *start, ..entry("a") })
        });
        book.finish(1, by)
    };
    assert_eq!(tell(&mut book, 1, None, &[("v", 1), ("w", 1)]), ListOutcome::Accepted(None));
    assert_eq!(tell(&mut book, 2, Some(1), &[("v", 2)]), ListOutcome::Accepted(Some(1)));
    assert_eq!(tell(&mut book, 3, Some(1), &[("v", 2), ("w", 3)]), ListOutcome::Accepted(Some(1)));
    assert_eq!(
        tell(&mut book, 9, Some(4), &[("w", 9)]),
        ListOutcome::Gap,
        "what changed with 4 is not known"
    );
    let starts: Vec<u64> = book.entries().values().map(|e| e.start).collect();
    assert_eq!((book.held(), starts), (Some((1, 3)), vec![2, 3]));
}

// Frames.

fn entry(address: &str) -> EndpointEntry {
    let (zone, cell) = ("zone-03".to_owned(), "cell-0007".to_owned());
    EndpointEntry {
        address: address.into(),
        lifecycle: Lifecycle::Draining,
        start: 1 << 40,
        started_at: None,
        zone,
        cell,
        size: 0.5,
    }
}

fn rows(of: &[(String, String)]) -> Vec<(String, EndpointEntry)> {
    of.iter().map(|(name, address)| (name.clone(), entry(address))).collect()
}

fn frame_of(rows: &[(String, EndpointEntry)]) -> Frame {
    let rows: Vec<(&str, &EndpointEntry)> = rows.iter().map(|(n, e)| (n.as_str(), e)).collect();
    frames::entries_frame(Time(900_000_000), &rows)
}

/// However long names are, a frame keeps within what a peer reads, and all is read again. [`Acts`] asserts the bound.
#[test_case(20 ; "usual names")]
#[test_case(3_000 ; "long names")]
#[test_case(16_000 ; "names as long as a frame of one row may have")]
fn a_whole_list_keeps_within_frames_that_peers_read(length: usize) {
    let mut me = Alone::new();
    let now = me.now;
    me.fleet.list_begin_received(now, None, 1, 1, None);
    (0..300).for_each(|no| {
        me.fleet.list_entry_received(now, None, &format!("{no:0length$}"), entry("127.0.0.1:1"))
    });
    me.fleet.list_end_received(now, &mut me.acts, None);
    let link = me.peer(1);
    me.fleet.list_requested(now, &mut me.acts, link, None);
    for _ in 0..100 {
        me.pass(1_000);
        me.fleet.heartbeat_received(me.now, &mut me.acts, link, (9, u64::MAX), 7, None, None, true, false);
    }
    assert_eq!(me.acts.wholes, 1);
    assert!(me.acts.list_bytes >= 300 * length, "{} bytes", me.acts.list_bytes);
}

#[test]
fn more_rows_than_a_frame_may_have_are_spoilt() {
    let named =
        |n: usize| -> Vec<(String, EndpointEntry)> { (0..n).map(|no| (no.to_string(), entry(""))).collect() };
    assert_eq!(frames::read_entries(Time(900_000_000), &frame_of(&named(1_024))).map(|r| r.len()), Ok(1_024));
    assert!(frames::read_entries(Time(900_000_000), &frame_of(&named(1_025))).is_err());
}

/// Nothing of it is taken, and neither is what came before it on that link; others go on.
#[test]
fn a_spoilt_frame_of_rows_ends_its_link_alone() {
    let mut me = Alone::new();
    let (bad, good) = (me.peer(1), me.peer(2));
    let whole = frame_of(&rows(&[("v".into(), "a".into()), ("w".into(), "b".into())]));
    let spoilt = Frame::new(Kind::LIST_ROWS).body(whole.body.slice(..whole.body.len() - 1));
    let no_name = Frame::new(Kind::LIST_ROWS).body(vec![0, 0]);
    assert!(me.read(bad, &frames::list_begin_frame((1, 1), None)) && me.read(bad, &whole));
    assert!(!me.read(bad, &no_name) && !me.read(bad, &spoilt));
    me.fleet.link_down(me.now, &mut me.acts, bad);
    assert!(me.read(bad, &frames::list_end_frame()));
    assert_eq!(me.fleet.endpoints().held(), None);
    for frame in [frames::list_begin_frame((1, 1), None), whole, frames::list_end_frame()] {
        assert!(me.read(good, &frame));
    }
    assert_eq!((me.fleet.endpoints().held(), me.fleet.endpoints().len()), (Some((1, 1)), 2));
}

#[test]
fn whoever_joins_says_that_it_reads_rows_and_others_pass_that_over() {
    let mut me = Alone::new();
    let member = me.fleet.members().get(me.fleet.own_id()).expect("itself").clone();
    let id = MemberId { instance: InstanceId::of("me"), run: Run(9) };
    let join = frames::join_frame("f", id, &member, 5);
    assert_eq!(join.get_int(Field::READS_ROWS), Ok(1));
    let bytes = HEAD_BYTES + join.head().len();
    println!("a join of {bytes} bytes");
    assert!(me.read(LinkId(1 << 63), &join), "on a link that is not known it changes nothing");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn rows_are_read_as_they_were_written(
        of in proptest::collection::vec((".{0,40}", ".{0,30}"), 0..60), age in proptest::option::of(0u64..1 << 40)
    ) {
        let now = Time(1 << 41);
        let since = age.map(|a| now - Time(a));
        let all: Vec<(String, EndpointEntry)> = rows(&of).into_iter().map(|(n, e)| (n, EndpointEntry { started_at: since, ..e })).collect();
        let refs: Vec<(&str, &EndpointEntry)> = all.iter().map(|(n, e)| (n.as_str(), e)).collect();
        prop_assert_eq!(frames::read_entries(now, &frames::entries_frame(now, &refs)), Ok(all));
    }

    /// A frame that is cut anywhere is spoilt, but between two rows; one with any byte changed is never a panic.
    #[test]
    fn damaged_rows_are_an_error_and_never_a_panic(
        of in proptest::collection::vec((".{0,9}", ".{0,9}"), 1..6), at: prop::sample::Index, with: u8
    ) {
        let now = Time(900_000_000);
        let all = rows(&of);
        let whole = frame_of(&all);
        let ends: Vec<usize> = (0..=all.len()).map(|n| frame_of(&all[..n]).body.len()).collect();
        let at = at.index(whole.body.len());
        let cut = Frame::new(Kind::LIST_ROWS).body(whole.body.slice(..at));
        prop_assert_eq!(frames::read_entries(now, &cut).is_ok(), ends.contains(&at));
        let mut bytes = whole.body.to_vec();
        bytes[at] = with;
        let _ = frames::read_entries(now, &Frame::new(Kind::LIST_ROWS).body(bytes));
    }
}

#[derive(Clone, Debug)]
enum Step {
    Start(usize, bool),
    Kill(usize),
    Pause(usize, u64),
    Cut(usize, usize),
    Change(u64),
    Anew,
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0usize..6, any::<bool>()).prop_map(|(name, old)| Step::Start(name, old)),
        (0usize..6).prop_map(Step::Kill),
        (0usize..6, 100u64..2_000).prop_map(|(name, ms)| Step::Pause(name, ms)),
        (0usize..6, 0usize..6).prop_map(|(a, b)| Step::Cut(a, b)),
        (1u64..9).prop_map(Step::Change),
        Just(Step::Anew),
        (1u64..300).prop_map(Step::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever the order of parts, changes and breaks, between this release and an earlier one: what is held at any
    /// moment is a list that the service told whole, and once all is well it is the newest.
    #[test]
    fn what_is_held_was_told_whole(seed: u64, steps in proptest::collection::vec(step(), 1..20)) {
        let mut net = Net::new(seed, 6);
        net.rows = 6_000;
        for name in 0..3 {
            net.start(name, &[0, 1, 2]);
        }
        net.run(1_500);
        for step in steps {
            let named = |net: &Net, name: usize| net.addresses.get(&format!("a{name}")).copied();
            match step {
                Step::Start(name, old) if named(&net, name).is_none() => {
                    net.old = old;
                    net.start(name, &[0, 1, 2]);
                }
                Step::Start(..) => {}
                Step::Kill(name) => named(&net, name).into_iter().for_each(|id| net.kill(id)),
                Step::Pause(name, ms) => named(&net, name).into_iter().for_each(|id| net.pause(id, ms)),
                // What is sent into a cut is lost here, so it lasts until the link is given up, and nobody stands still.
                Step::Cut(a, b) if a != b => {
                    net.run(2_000);
                    net.cut_apart(&[a], &[b]);
                    net.run(2_500);
                    net.cut.clear();
                }
                Step::Cut(..) => {}
                Step::Change(n) => (0..n).for_each(|_| net.change()),
                Step::Anew => net.version = (net.version.0 + 1, 1),
                Step::Wait(ms) => net.run(ms),
            }
            net.run(4);
        }
        net.old = false;
        if !net.addresses.contains_key("a0") {
            net.start(0, &[0, 1, 2]);
        }
        net.run(10_000);
        net.change();
        net.run(12_000);
        prop_assert_eq!(net.lists(), BTreeSet::from([Some(net.version)]));
        prop_assert!(net.living().into_iter().all(|id| net.holds_whole(id)));
        prop_assert!(net.torn.is_empty(), "{:?} held what nobody told", net.torn);
    }
}
