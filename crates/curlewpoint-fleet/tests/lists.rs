//! Transfer of endpoint lists between peers: to a starting instance, among many, with peers that fail during a
//! transfer, and together with an earlier release.

mod common;

use std::collections::BTreeSet;

use common::{SimNetwork, TestDriver, MS};
use curlewpoint::types::{Lifecycle, Time};
use curlewpoint_fleet::{
    frames, EndpointEntry, Fleet, FleetLimits, InstanceId, LinkId, ListOutcome, ListSource, MemberId, RunId,
};
use curlewpoint_wire::{Field, Frame, Kind, PREFIX_BYTES};
use proptest::prelude::*;
use test_case::test_case;

/// More workers than frames may be in flight on a link.
const LONG_LIST: usize = 20_000;

/// A fleet of `n` instances that have run for a while and hold a list of `entries` workers.
fn settled_fleet(seed: u64, n: usize, entries: usize, earlier_release: bool) -> (SimNetwork, Vec<u64>) {
    let mut net = SimNetwork::new(seed, n as u64 + 1);
    (net.list_length, net.earlier_release) = (entries, earlier_release);
    let ids: Vec<u64> = (0..n).map(|name| net.start(name, &[0, 1, 2])).collect();
    net.run(8_000);
    assert_eq!(net.list_versions(), BTreeSet::from([Some((1, 1))]));
    (net, ids)
}

/// Starts an instance that cannot reach the list service and runs until a peer has begun to send it the list.
/// Returns the ids of the instance and of that peer.
fn start_receiving(net: &mut SimNetwork, name: usize) -> (u64, u64) {
    let before: Vec<(u64, usize)> =
        net.nodes.iter().map(|(id, n)| (*id, n.driver.whole_lists_begun)).collect();
    net.cut_from_service.insert(name);
    let new = net.start(name, &[0, 1, 2]);
    for _ in 0..2_000 {
        net.run(1);
        let sending = before
            .iter()
            .find(|(id, whole_lists_begun)| net.nodes[id].driver.whole_lists_begun > *whole_lists_begun);
        if let Some((id, _)) = sending {
            assert_eq!(net.nodes[&new].driver.list_version, None, "the transfer must take some time");
            return (new, *id);
        }
    }
    panic!("no peer sends the list");
}

/// Runs until an instance holds a list, checks that it is complete, and returns the time in milliseconds.
fn run_until_held(net: &mut SimNetwork, id: u64, max_ms: u64) -> u64 {
    let took = (0..max_ms).find(|_| {
        net.run(1);
        net.nodes[&id].driver.list_version.is_some()
    });
    let took = took.unwrap_or_else(|| panic!("no list within {max_ms} ms: {:?}", net.list_versions()));
    assert!(net.holds_complete_list(id));
    took
}

/// Checks the bytes of one transfer, with several entries per frame or one.
#[test_case(false, false, 60 ; "all of this release")]
#[test_case(true, false, 66 ; "peers of an earlier release")]
#[test_case(false, true, 66 ; "starting instance of an earlier release")]
fn a_list_longer_than_an_outbox_reaches_a_starting_instance_once(
    earlier_peers: bool, earlier_release: bool, row: usize,
) {
    let (mut net, _) = settled_fleet(3, 12, LONG_LIST, earlier_peers);
    assert_eq!(net.overrun_links, 0, "no link overruns");
    let (whole_lists_begun, bytes) = net.list_traffic();
    net.earlier_release = earlier_release;
    let new = net.start(12, &[0, 1, 2]);
    let took = run_until_held(&mut net, new, 1_000);
    net.run(4_000);
    let lists_sent = net.list_traffic();
    println!("{took} ms, {} whole lists, {} bytes", lists_sent.0 - whole_lists_begun, lists_sent.1 - bytes);
    assert_eq!((lists_sent.0 - whole_lists_begun, net.overrun_links), (1, 0));
    let (min, max) = (LONG_LIST * row, LONG_LIST * row * 101 / 100);
    assert!((min..=max).contains(&(lists_sent.1 - bytes)), "{} bytes", lists_sent.1 - bytes);
}

/// Each instance receives the list once, unless it gets it from the list service.
#[test]
fn twelve_instances_started_together_receive_the_list_once_each() {
    let (net, _) = settled_fleet(5, 12, 8_500, false);
    let (whole_lists_begun, _) = net.list_traffic();
    assert!((1..=12).contains(&whole_lists_begun), "{whole_lists_begun} whole lists");
    assert_eq!(net.overrun_links, 0);
}

#[test]
fn restarted_instances_receive_the_list_once_each() {
    let (mut net, ids) = settled_fleet(7, 12, 8_500, false);
    let (whole_lists_begun, _) = net.list_traffic();
    let mut asked = 0;
    for (index, name) in [(4, 4), (9, 9)] {
        net.kill(ids[index]);
        net.run(3_000);
        let new = net.start(name, &[0, 1, 2]);
        run_until_held(&mut net, new, 1_000);
        net.run(3_000);
        asked += net.nodes[&new].driver.list_requests.len();
    }
    let lists_sent = net.list_traffic().0 - whole_lists_begun;
    assert!(lists_sent == 2 && asked <= 2, "{lists_sent} whole lists, {asked} requests");
}

#[derive(Clone, Copy)]
enum Fault {
    Dies,
    Pauses,
    IsPartitioned,
}

/// Another peer is asked after half a second and a tick, and at once if the link has ended.
#[test_case(Fault::Dies, 250 ; "dies")]
#[test_case(Fault::Pauses, 750 ; "pauses")]
#[test_case(Fault::IsPartitioned, 750 ; "is partitioned")]
fn another_peer_is_asked_when_the_sender_fails(fault: Fault, max_ms: u64) {
    for seed in 0..8 {
        let (mut net, _) = settled_fleet(seed, 12, LONG_LIST, false);
        let (new, sender) = start_receiving(&mut net, 12);
        net.run(3);
        let name = net.nodes[&sender].name;
        match fault {
            Fault::Dies => net.kill(sender),
            Fault::Pauses => net.pause(sender, 10_000),
            Fault::IsPartitioned => net.partition(&[name], &[12]),
        }
        let before = net.list_traffic().0;
        let took = run_until_held(&mut net, new, max_ms);
        println!("seed {seed}: {took} ms");
        assert_eq!(net.list_traffic().0, before + 1, "one peer is asked at a time");
        net.run(6_000);
        assert!(net.holds_complete_list(new) && net.incomplete_lists.is_empty());
    }
}

#[test]
fn changes_during_a_transfer_are_sent_after_it() {
    let (mut net, _) = settled_fleet(11, 12, LONG_LIST, false);
    let whole_lists_begun = net.list_traffic().0;
    let (new, _) = start_receiving(&mut net, 12);
    for _ in 0..40 {
        net.change_list();
        net.run(4);
    }
    net.run(400);
    assert!(net.incomplete_lists.is_empty(), "{:?}", net.incomplete_lists);
    assert_eq!(net.nodes[&new].driver.list_version, Some(net.list_version));
    assert_eq!((net.list_traffic().0 - whole_lists_begun, net.overrun_links), (1, 0));
}

/// The list service has restarted; the transfer is still of its previous run.
#[test]
fn a_list_of_another_epoch_is_sent_after_the_current_transfer() {
    let (mut net, _) = settled_fleet(13, 12, LONG_LIST, false);
    let (new, _) = start_receiving(&mut net, 12);
    net.list_version = (2, 1);
    net.change_list();
    net.run(4_000);
    assert!(net.incomplete_lists.is_empty(), "{:?}", net.incomplete_lists);
    assert_eq!(net.list_versions(), BTreeSet::from([Some((2, 2))]));
    assert!(net.holds_complete_list(new));
}

/// All instances of a zone restart and contact the same three peers.
#[test]
fn many_starting_instances_are_served_within_the_transfer_budget() {
    let (mut net, ids) = settled_fleet(17, 6, LONG_LIST, false);
    net.configured_count = 46;
    let whole_lists_begun = net.list_traffic().0;
    let new: Vec<u64> = (6..46).map(|name| net.start(name, &[0, 1, 2])).collect();
    net.run(17_000);
    assert!(new.iter().all(|id| net.holds_complete_list(*id) && net.nodes[id].driver.list_version.is_some()));
    let lists_sent = net.list_traffic().0 - whole_lists_begun;
    let mut worst = 0;
    for id in ids.iter().chain(&new) {
        let sent = &net.nodes[id].driver.list_bytes_sent;
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
    println!("{lists_sent} whole lists, {worst} bytes in the worst second of an instance");
    // The burst, the rate of one second, and the part by which the budget is overdrawn.
    assert!(worst <= 2 * 4_000_000 + (256 << 10), "{worst} bytes in a second");
    assert!(lists_sent <= 80, "{lists_sent} whole lists for 40");
}

// One instance with scripted peers.

const LIMITS: FleetLimits = FleetLimits {
    max_instances: 100,
    max_inbound_links: 100,
    watchers: 3,
    answer_slack: Time(1_500),
    hint_lifetime: Time(80_000),
    exchange_hints: true,
};

struct SingleInstance {
    now: Time,
    fleet: Fleet,
    driver: TestDriver,
}

impl SingleInstance {
    fn without_peers() -> SingleInstance {
        let now = Time(864_000_000);
        let fleet = Fleet::start(now, "f", ("me", RunId(1)), "a", vec!["b".into()], 9, LIMITS, 1);
        SingleInstance { now, fleet, driver: TestDriver::default() }
    }

    fn new() -> SingleInstance {
        let mut me = SingleInstance::without_peers();
        // It knows a peer without a list, so it asks peers that it meets later.
        let first = me.peer(0);
        me.heartbeat(first, None);
        me
    }

    fn peer(&mut self, index: u64) -> LinkId {
        self.peer_on(index, index)
    }

    fn peer_on(&mut self, link: u64, index: u64) -> LinkId {
        let (link, name) = (LinkId(1 << 63 | link), format!("peer-{index}"));
        let id = MemberId { instance: InstanceId::of(&name), run: RunId(9) };
        self.fleet.link_accepted(self.now, &mut self.driver, link);
        self.fleet.peer_accepts_list_entries(link);
        self.fleet.join_received(
            self.now,
            &mut self.driver,
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

    fn heartbeat(&mut self, link: LinkId, held: Option<(u64, u64)>) {
        self.fleet.heartbeat_received(self.now, &mut self.driver, link, (1, 0), 7, held, None, true, false);
    }

    fn advance(&mut self, ms: u64) {
        self.now = self.now + Time(ms * MS);
        self.fleet.advance(self.now, &mut self.driver);
    }

    fn read(&mut self, link: LinkId, frame: &Frame) -> bool {
        frames::dispatch(&mut self.fleet, self.now, &mut self.driver, link, frame).is_ok()
    }
}

/// A peer that never finishes its list must not block the transfer: another peer is asked after five seconds.
#[test]
fn a_list_that_never_ends_is_requested_from_another_peer() {
    let mut me = SingleInstance::new();
    let (slow, other) = (me.peer(1), me.peer(2));
    me.heartbeat(slow, Some((3, 3)));
    me.heartbeat(other, Some((3, 3)));
    assert_eq!(me.driver.list_requests, [slow]);
    assert!(me.read(slow, &frames::list_begin_frame((3, 3), None)));
    for index in 0..49 {
        me.advance(100);
        assert!(me.read(slow, &frames::entry_frame(me.now, &format!("w-{index}"), &entry("a"))));
        me.heartbeat(slow, Some((3, 3)));
        me.heartbeat(other, Some((3, 3)));
        assert_eq!(me.driver.list_requests, [slow], "after {index}");
    }
    me.advance(100);
    assert_eq!(me.driver.list_requests, [slow, other]);
    for frame in [frames::list_begin_frame((3, 3), None), frames::list_end_frame()] {
        assert!(me.read(other, &frame));
    }
    assert_eq!(me.fleet.endpoints().held(), Some((3, 3)));
    assert_eq!(me.driver.list_requests, [slow, other, slow], "the slow peer is told which version is held");
    assert!(me.read(slow, &frames::list_end_frame()));
    assert!(me.fleet.endpoints().is_empty(), "the list of the slow peer was never complete");
}

/// An instance that starts must not receive the whole list from every peer that announces it before the first
/// peer has sent its own: its join frame counts as a request to that peer.
#[test]
fn a_join_without_known_members_counts_as_a_list_request() {
    let mut me = SingleInstance::without_peers();
    let (first, other) = (me.peer(1), me.peer(2));
    me.heartbeat(other, Some((3, 3)));
    me.heartbeat(first, Some((3, 3)));
    assert_eq!(me.driver.list_requests, []);
    me.advance(520);
    assert_eq!(me.driver.list_requests, [other], "the first peer does not answer");
}

/// Two instances that monitor each other have two links between them.
#[test]
fn a_paused_peer_is_not_asked_over_its_other_link() {
    let mut me = SingleInstance::new();
    let links = [me.peer_on(1, 1), me.peer_on(2, 1), me.peer_on(3, 3)];
    links.iter().for_each(|link| me.heartbeat(*link, Some((3, 3))));
    assert_eq!(me.driver.list_requests, [links[0]]);
    me.advance(499);
    assert_eq!(me.driver.list_requests, [links[0]]);
    me.advance(20);
    assert_eq!(me.driver.list_requests, [links[0], links[2]]);
}

/// A peer whose list is not accepted without confirmation must not be asked for it again at each heartbeat.
#[test]
fn a_peer_with_an_unconfirmed_list_is_not_asked_at_each_heartbeat() {
    let mut me = SingleInstance::new();
    let (first, second) = (me.peer(1), me.peer(2));
    let send_list = |me: &mut SingleInstance, link: LinkId, version| {
        assert!(
            me.read(link, &frames::list_begin_frame(version, None))
                && me.read(link, &frames::list_end_frame())
        );
    };
    send_list(&mut me, first, (1, 1));
    for _ in 0..6 {
        me.heartbeat(first, Some((5, 1)));
        if me.driver.list_requests.len() == 1 && me.fleet.refusal_count() == 0 {
            send_list(&mut me, first, (5, 1));
        }
        me.heartbeat(second, Some((1, 1)));
        me.advance(300);
    }
    assert_eq!((me.fleet.endpoints().held(), &me.driver.list_requests[..]), (Some((1, 1)), &[first][..]));
    me.heartbeat(second, Some((5, 1)));
    send_list(&mut me, second, (5, 1));
    assert_eq!(me.fleet.endpoints().held(), Some((5, 1)));
    assert_eq!(me.driver.list_requests, [first, second]);
}

/// An instance of an earlier release repeats its request at each heartbeat while it receives the list.
#[test]
fn repeated_requests_during_a_transfer_start_no_second_one() {
    let mut me = SingleInstance::new();
    let now = me.now;
    me.fleet.list_begin_received(now, None, 1, 1, None);
    (0..LONG_LIST).for_each(|index| {
        me.fleet.list_entry_received(now, None, &format!("worker-{index:06}"), entry("127.0.0.1:1"))
    });
    me.fleet.list_end_received(now, &mut me.driver, None);
    let link = me.peer(1);
    for _ in 0..5 {
        me.advance(300);
        me.fleet.list_requested(me.now, &mut me.driver, link, None);
    }
    assert_eq!(me.driver.whole_lists_begun, 1);
    let part = me.driver.list_bytes;
    assert!(part < 256 << 10, "{part} bytes without an acknowledgement");
    // It has received the list from another peer, so the transfer ends.
    me.fleet.list_requested(me.now, &mut me.driver, link, Some((1, 1)));
    me.fleet.heartbeat_received(me.now, &mut me.driver, link, (9, u64::MAX), 7, None, None, true, false);
    assert_eq!((me.driver.whole_lists_begun, me.driver.list_bytes), (1, part));
}

/// An instance of an earlier release asks for the whole list where changes do not fit what it holds. Changes
/// sent during that transfer would end it.
#[test]
fn changes_wait_for_the_end_of_a_whole_list() {
    let mut me = SingleInstance::new();
    let service_sends = |me: &mut SingleInstance, version, from: Option<u64>, rows: usize| {
        me.fleet.list_begin_received(me.now, None, 1, version, from);
        for index in 0..rows {
            me.fleet.list_entry_received(me.now, None, &format!("worker-{index:06}"), entry("127.0.0.1:1"));
        }
        me.fleet.list_end_received(me.now, &mut me.driver, None);
    };
    service_sends(&mut me, 1, None, LONG_LIST);
    service_sends(&mut me, 2, Some(1), 1);
    // The instance monitors this peer, so it sends changes to it.
    let (link, id) = (LinkId(1), MemberId { instance: InstanceId::of("old"), run: RunId(9) });
    me.advance(100);
    me.fleet.link_up(me.now, &mut me.driver, link);
    me.fleet.join_received(me.now, &mut me.driver, link, "f", id, "old", "old", Default::default(), 5);
    me.heartbeat(link, Some((1, 1)));
    me.fleet.list_requested(me.now, &mut me.driver, link, None);
    assert_eq!((me.driver.lists_begun, me.driver.whole_lists_begun), (1, 1));
    service_sends(&mut me, 3, Some(2), 1);
    assert_eq!(me.driver.lists_begun, 1, "not during the transfer");
    for _ in 0..60 {
        me.advance(100);
        me.fleet.heartbeat_received(
            me.now,
            &mut me.driver,
            link,
            (9, u64::MAX),
            7,
            Some((1, 1)),
            None,
            true,
            false,
        );
    }
    assert_eq!((me.driver.lists_begun, me.driver.whole_lists_begun), (2, 1), "after the transfer");
}

/// An instance that holds a later version accepts the changes since an earlier one and needs no whole list.
#[test]
fn changes_since_an_earlier_version_than_held_are_accepted() {
    let mut table = curlewpoint_fleet::EndpointTable::new(10);
    let source = ListSource::Peer(InstanceId(1));
    let send_list = |table: &mut curlewpoint_fleet::EndpointTable, version, from, rows: &[(&str, u64)]| {
        table.begin(1, 1, version, from);
        rows.iter().for_each(|(name, start)| {
            table.push_entry(1, name, EndpointEntry { start_id: *start, ..entry("a") })
        });
        table.finish(1, source)
    };
    assert_eq!(send_list(&mut table, 1, None, &[("v", 1), ("w", 1)]), ListOutcome::Accepted(None));
    assert_eq!(send_list(&mut table, 2, Some(1), &[("v", 2)]), ListOutcome::Accepted(Some(1)));
    assert_eq!(send_list(&mut table, 3, Some(1), &[("v", 2), ("w", 3)]), ListOutcome::Accepted(Some(1)));
    assert_eq!(
        send_list(&mut table, 9, Some(4), &[("w", 9)]),
        ListOutcome::Gap,
        "the changes up to version 4 are missing"
    );
    let starts: Vec<u64> = table.entries().values().map(|e| e.start_id).collect();
    assert_eq!((table.held(), starts), (Some((1, 3)), vec![2, 3]));
}

// Frames.

fn entry(address: &str) -> EndpointEntry {
    let (zone, cell) = ("zone-03".to_owned(), "cell-0007".to_owned());
    EndpointEntry {
        address: address.into(),
        lifecycle: Lifecycle::Draining,
        start_id: 1 << 40,
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

/// However long names are, frames stay within the size that a peer reads, and the list arrives complete.
/// [`TestDriver`] asserts the bound.
#[test_case(20 ; "usual names")]
#[test_case(3_000 ; "long names")]
#[test_case(16_000 ; "names as long as a frame of one entry allows")]
fn a_whole_list_fits_into_frames_that_peers_read(length: usize) {
    let mut me = SingleInstance::new();
    let now = me.now;
    me.fleet.list_begin_received(now, None, 1, 1, None);
    (0..300).for_each(|index| {
        me.fleet.list_entry_received(now, None, &format!("{index:0length$}"), entry("127.0.0.1:1"))
    });
    me.fleet.list_end_received(now, &mut me.driver, None);
    let link = me.peer(1);
    me.fleet.list_requested(now, &mut me.driver, link, None);
    for _ in 0..100 {
        me.advance(1_000);
        me.fleet.heartbeat_received(me.now, &mut me.driver, link, (9, u64::MAX), 7, None, None, true, false);
    }
    assert_eq!(me.driver.whole_lists_begun, 1);
    assert!(me.driver.list_bytes >= 300 * length, "{} bytes", me.driver.list_bytes);
}

#[test]
fn more_entries_than_a_frame_may_hold_are_an_error() {
    let named = |n: usize| -> Vec<(String, EndpointEntry)> {
        (0..n).map(|index| (index.to_string(), entry(""))).collect()
    };
    assert_eq!(frames::read_entries(Time(900_000_000), &frame_of(&named(1_024))).map(|r| r.len()), Ok(1_024));
    assert!(frames::read_entries(Time(900_000_000), &frame_of(&named(1_025))).is_err());
}

/// Nothing of a malformed frame or of the list begun on its link is used; other links are not affected.
#[test]
fn a_malformed_frame_of_entries_ends_only_its_link() {
    let mut me = SingleInstance::new();
    let (bad, good) = (me.peer(1), me.peer(2));
    let whole = frame_of(&rows(&[("v".into(), "a".into()), ("w".into(), "b".into())]));
    let truncated = Frame::new(Kind::LIST_ENTRIES).body(whole.body.slice(..whole.body.len() - 1));
    let no_name = Frame::new(Kind::LIST_ENTRIES).body(vec![0, 0]);
    assert!(me.read(bad, &frames::list_begin_frame((1, 1), None)) && me.read(bad, &whole));
    assert!(!me.read(bad, &no_name) && !me.read(bad, &truncated));
    me.fleet.link_down(me.now, &mut me.driver, bad);
    assert!(me.read(bad, &frames::list_end_frame()));
    assert_eq!(me.fleet.endpoints().held(), None);
    for frame in [frames::list_begin_frame((1, 1), None), whole, frames::list_end_frame()] {
        assert!(me.read(good, &frame));
    }
    assert_eq!((me.fleet.endpoints().held(), me.fleet.endpoints().len()), (Some((1, 1)), 2));
}

#[test]
fn a_join_announces_that_entry_frames_are_accepted() {
    let mut me = SingleInstance::new();
    let member = me.fleet.members().get(me.fleet.own_id()).expect("its own record").clone();
    let id = MemberId { instance: InstanceId::of("me"), run: RunId(9) };
    let join = frames::join_frame("f", id, &member, 5);
    assert_eq!(join.get_int(Field::ACCEPTS_LIST_ENTRIES), Ok(1));
    let bytes = PREFIX_BYTES + join.header().len();
    println!("a join of {bytes} bytes");
    assert!(me.read(LinkId(1 << 63), &join), "it is ignored on an unknown link");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn entries_are_read_as_they_were_written(
        of in proptest::collection::vec((".{0,40}", ".{0,30}"), 0..60), age in proptest::option::of(0u64..1 << 40)
    ) {
        let now = Time(1 << 41);
        let since = age.map(|a| now - Time(a));
        let all: Vec<(String, EndpointEntry)> = rows(&of).into_iter().map(|(n, e)| (n, EndpointEntry { started_at: since, ..e })).collect();
        let refs: Vec<(&str, &EndpointEntry)> = all.iter().map(|(n, e)| (n.as_str(), e)).collect();
        prop_assert_eq!(frames::read_entries(now, &frames::entries_frame(now, &refs)), Ok(all));
    }

    /// A truncated frame is an error unless it ends between two entries; a changed byte never causes a panic.
    #[test]
    fn damaged_entries_are_an_error_and_never_a_panic(
        of in proptest::collection::vec((".{0,9}", ".{0,9}"), 1..6), at: prop::sample::Index, with: u8
    ) {
        let now = Time(900_000_000);
        let all = rows(&of);
        let whole = frame_of(&all);
        let ends: Vec<usize> = (0..=all.len()).map(|n| frame_of(&all[..n]).body.len()).collect();
        let at = at.index(whole.body.len());
        let cut = Frame::new(Kind::LIST_ENTRIES).body(whole.body.slice(..at));
        prop_assert_eq!(frames::read_entries(now, &cut).is_ok(), ends.contains(&at));
        let mut bytes = whole.body.to_vec();
        bytes[at] = with;
        let _ = frames::read_entries(now, &Frame::new(Kind::LIST_ENTRIES).body(bytes));
    }
}

#[derive(Clone, Debug)]
enum Step {
    Start(usize, bool),
    Kill(usize),
    Pause(usize, u64),
    Partition(usize, usize),
    Change(u64),
    RestartService,
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0usize..6, any::<bool>()).prop_map(|(name, earlier_release)| Step::Start(name, earlier_release)),
        (0usize..6).prop_map(Step::Kill),
        (0usize..6, 100u64..2_000).prop_map(|(name, ms)| Step::Pause(name, ms)),
        (0usize..6, 0usize..6).prop_map(|(a, b)| Step::Partition(a, b)),
        (1u64..9).prop_map(Step::Change),
        Just(Step::RestartService),
        (1u64..300).prop_map(Step::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, failure_persistence: None, ..ProptestConfig::default() })]

    /// In any order of transfers, changes and failures, with instances of this and an earlier release: a list
    /// held at any time is one that the service has sent in full, and once all faults are over it is the
    /// newest.
    #[test]
    fn a_held_list_was_sent_in_full_by_the_service(seed: u64, steps in proptest::collection::vec(step(), 1..20)) {
        let mut net = SimNetwork::new(seed, 6);
        net.list_length = 6_000;
        for name in 0..3 {
            net.start(name, &[0, 1, 2]);
        }
        net.run(1_500);
        for step in steps {
            let named = |net: &SimNetwork, name: usize| net.addresses.get(&format!("a{name}")).copied();
            match step {
                Step::Start(name, earlier_release) if named(&net, name).is_none() => {
                    net.earlier_release = earlier_release;
                    net.start(name, &[0, 1, 2]);
                }
                Step::Start(..) => {}
                Step::Kill(name) => named(&net, name).into_iter().for_each(|id| net.kill(id)),
                Step::Pause(name, ms) => named(&net, name).into_iter().for_each(|id| net.pause(id, ms)),
                // The simulation drops what is sent into a partition, so the partition lasts until the link is
                // closed, and no instance is paused.
                Step::Partition(a, b) if a != b => {
                    net.run(2_000);
                    net.partition(&[a], &[b]);
                    net.run(2_500);
                    net.blocked.clear();
                }
                Step::Partition(..) => {}
                Step::Change(n) => (0..n).for_each(|_| net.change_list()),
                Step::RestartService => net.list_version = (net.list_version.0 + 1, 1),
                Step::Wait(ms) => net.run(ms),
            }
            net.run(4);
        }
        net.earlier_release = false;
        if !net.addresses.contains_key("a0") {
            net.start(0, &[0, 1, 2]);
        }
        net.run(10_000);
        net.change_list();
        net.run(12_000);
        prop_assert_eq!(net.list_versions(), BTreeSet::from([Some(net.list_version)]));
        prop_assert!(net.instance_ids().into_iter().all(|id| net.holds_complete_list(id)));
        prop_assert!(net.incomplete_lists.is_empty(), "{:?} held an incomplete list", net.incomplete_lists);
    }
}
