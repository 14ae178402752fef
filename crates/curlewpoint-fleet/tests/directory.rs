//! The copy directory: scenarios for each failure mode, and limits on what is sent.

mod common;

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};

use common::SimNetwork;
use curlewpoint::types::{FunctionId, Hint, Time, WorkerId};
use curlewpoint_fleet::{
    directory_frames, frames, CopyDirectory, DirectorySettings, InstanceId, LinkId, MemberId, Observation,
    RunId,
};
use curlewpoint_wire::{Field, Frame, Kind};
use proptest::prelude::*;
use test_case::test_case;

const W: WorkerId = WorkerId(1);
const F: FunctionId = FunctionId(9);
const BYTES_PER_SECOND: u64 = 3_000;

/// A settled fleet with the directory and without gossip of its spare budget.
fn fleet(seed: u64, n: usize) -> (SimNetwork, Vec<u64>) {
    fleet_with(seed, n, BYTES_PER_SECOND, false)
}

fn fleet_with(seed: u64, n: usize, bytes: u64, gossips: bool) -> (SimNetwork, Vec<u64>) {
    let mut net = SimNetwork::new(seed, n as u64);
    (net.directory, net.gossips) = (Some(bytes), gossips);
    let ids = (0..n).map(|name| net.start(name, &[0, 1, 2])).collect();
    net.run(8_000);
    assert!(net.members_agree());
    (net, ids)
}

fn member(net: &SimNetwork, id: u64) -> MemberId {
    net.nodes[&id].fleet.own_id()
}

/// The holders of a function, as the members of its column compute them.
fn holders(net: &SimNetwork, function: FunctionId) -> Vec<u64> {
    let by_member: BTreeMap<MemberId, u64> =
        net.nodes.iter().map(|(id, n)| (n.fleet.own_id(), *id)).collect();
    let all: BTreeSet<Vec<MemberId>> =
        net.nodes.values().filter_map(|n| n.fleet.directory()?.holders(function)).collect();
    assert_eq!(all.len(), 1, "all members of the column agree");
    all.into_iter().flatten().map(|m| by_member[&m]).collect()
}

/// The instances of other columns than the function's.
fn outsiders(net: &SimNetwork, function: FunctionId) -> Vec<u64> {
    let out = |n: &&u64| net.nodes[n].fleet.directory().is_some_and(|d| d.holders(function).is_none());
    net.nodes.keys().filter(out).copied().collect()
}

fn hints(net: &SimNetwork, id: u64) -> &[(WorkerId, FunctionId, Hint, u64)] {
    &net.nodes[&id].driver.delivered_hints
}

fn knows(net: &SimNetwork, id: u64, hint: Hint) -> bool {
    hints(net, id).iter().any(|h| (h.0, h.1, h.2) == (W, F, hint))
}

/// The most bytes that any instance sent for the directory and for gossiped hints in any second.
fn worst_second(net: &SimNetwork) -> usize {
    let of = |frames: &Vec<(Time, usize)>| {
        let within = |from: Time| {
            frames
                .iter()
                .filter(|(at, _)| *at >= from && *at < from + Time(10_000))
                .map(|(_, n)| n)
                .sum::<usize>()
        };
        frames.iter().map(|(at, _)| within(*at)).max().unwrap_or(0)
    };
    net.nodes.values().map(|n| of(&n.driver.directory_sent)).max().unwrap_or(0)
}

/// Limit for one second: the rate, the burst, and one more frame to each of a few members.
const MAX_BYTES_IN_A_SECOND: usize = 2 * BYTES_PER_SECOND as usize + 1_500;

fn reset_statistics(net: &mut SimNetwork) {
    for n in net.nodes.values_mut() {
        n.driver.directory_sent.clear();
        n.driver.delivered_hints.clear();
        n.driver.directory_frames.clear();
    }
}

#[test_case(3 ; "three, which all hold everything")]
#[test_case(12 ; "twelve in one column")]
#[test_case(60 ; "sixty in four columns")]
#[test_case(150 ; "a hundred and fifty in sixteen")]
fn a_question_is_answered_and_subscribes_to_changes(n: usize) {
    let (mut net, ids) = fleet(1, n);
    let (observer, asker) = (ids[n / 2], ids[n - 1]);
    net.observe(observer, W, F, Hint::Loading);
    net.run(2_500);
    net.request_function(asker, F);
    net.run(700);
    assert!(knows(&net, asker, Hint::Loading));
    net.observe(observer, W, F, Hint::Warm);
    net.run(700);
    assert!(knows(&net, asker, Hint::Warm), "without another question");
    let informed = ids.iter().filter(|id| !hints(&net, **id).is_empty()).count();
    assert!(informed <= 6, "{informed}: the holders, two contacts and the asking instance");
    assert_eq!(holders(&net, F).len(), n.min(3));
}

/// Where the budget allows it, all instances learn of an observation by gossip as early as without a directory,
/// and none asks.
#[test_case(3)]
#[test_case(12)]
#[test_case(60)]
#[test_case(150)]
fn with_enough_budget_all_learn_by_gossip_and_none_asks(n: usize) {
    let (mut net, ids) = fleet_with(1, n, BYTES_PER_SECOND, true);
    let observer = ids[n / 2];
    for hint in [Hint::Loading, Hint::Warm] {
        net.observe(observer, W, F, hint);
        net.run(700);
        assert!(ids.iter().filter(|id| **id != observer).all(|id| knows(&net, *id, hint)), "{hint:?}");
    }
    ids.iter().filter(|id| **id != observer).for_each(|id| net.request_function(*id, F));
    net.run(700);
    let asked: usize =
        net.nodes.values().filter_map(|n| n.driver.directory_frames.get(&Kind::DIRECTORY_QUERY)).sum();
    assert_eq!(asked, 0);
    // The function is asked for once gossip about it has stopped.
    net.run(4_000);
    net.request_function(ids[0], F);
    assert!(net.nodes[&ids[0]].fleet.directory().is_some_and(|d| d.asked_member(F).is_some()));
    assert!(ids.iter().all(|id| count_not_gossiped(&net, *id) == 0));
}

fn count_not_gossiped(net: &SimNetwork, id: u64) -> u64 {
    net.nodes[&id].fleet.directory().map_or(0, |d| d.counts().not_gossiped)
}

/// Each instance observes three new loads per second. Returns the share of the other instances that learn of a
/// load within a second, and the number of rows not gossiped.
fn share_informed_within_a_second(bytes: u64, n: usize) -> (f64, u64) {
    let (mut net, ids) = fleet_with(40, n, bytes, true);
    let (mut informed, mut of) = (0, 0);
    for s in 0..8_u64 {
        let seen: Vec<(u64, FunctionId)> = (0..3)
            .flat_map(|k| {
                ids.iter().enumerate().map(move |(index, id)| (*id, index as u64 * 100 + s * 3 + k))
            })
            .map(|(id, f)| (id, FunctionId(f)))
            .collect();
        for (id, f) in &seen {
            net.observe(*id, W, *f, Hint::Loading);
            net.run(1_000 / seen.len() as u64);
        }
        net.run(1_000);
        if s >= 4 {
            for (_, f) in seen.iter().step_by(7) {
                informed += ids.iter().filter(|id| is_informed(&net, **id, *f)).count();
                of += n - 1;
            }
        }
        assert!(worst_second(&net) <= 2 * bytes as usize + 1_500, "{} of {bytes}", worst_second(&net));
    }
    (informed as f64 / of as f64, ids.iter().map(|id| count_not_gossiped(&net, *id)).sum())
}

#[test]
fn the_budget_determines_how_many_learn_by_gossip() {
    let (large, dropped) = share_informed_within_a_second(40_000, 40);
    assert!(large > 0.999 && dropped == 0, "{large:.3} informed, {dropped} dropped at 40,000 bytes a second");
    let (some, dropped) = share_informed_within_a_second(2_000, 40);
    assert!((0.5..0.9).contains(&some) && dropped > 0, "{some:.3} informed, {dropped} dropped at 2,000");
    let (few, dropped) = share_informed_within_a_second(1_000, 40);
    assert!(few < some && dropped > 0, "{few:.3} informed, {dropped} dropped at 1,000");
}

/// Of a received frame of hints the loads are passed on first, then the newest copies; older rows are accepted
/// too, and what has waited for a second is dropped and counted.
#[test]
fn the_most_useful_and_newest_rows_are_passed_on_first() {
    let (mut net, ids) = fleet_with(41, 12, 2_000, true);
    let (to, from) = (ids[0], *ids[1..].iter().find(|id| net.are_linked(ids[0], **id)).expect("neighbours"));
    let copy = |k: u64| row(k, 1_000 + k, 1_600 - 10 * k, k, net.now);
    let load = |k: u64| Observation { hint: Hint::Loading, ..row(k, 2_000 + k, 1_700, 200 + k, net.now) };
    let rows: Vec<Observation> = (1..=150).map(copy).chain((1..=8).map(load)).collect();
    let frame = frames::hints_frame(net.now, &rows);
    net.inject_frame(from, to, &frame);
    let of = |net: &SimNetwork, id: u64, hint: Hint| -> Vec<u64> {
        hints(net, id).iter().filter(|h| h.2 == hint).map(|h| h.0 .0).collect()
    };
    let first_informed =
        |net: &SimNetwork| ids.iter().find(|id| **id != to && !hints(net, **id).is_empty()).copied();
    while first_informed(&net).is_none() {
        net.run(1);
    }
    let first = first_informed(&net).expect("it was just found");
    assert_eq!(of(&net, first, Hint::Loading).len(), 8, "the loads first, though they are older");
    let copies: BTreeSet<u64> = of(&net, first, Hint::Warm).into_iter().collect();
    let newest: BTreeSet<u64> = (151 - copies.len() as u64..=150).collect();
    assert!(!copies.is_empty() && copies.len() < 40);
    assert_eq!(copies, newest);
    net.run(300);
    let more: BTreeSet<u64> = of(&net, first, Hint::Warm).into_iter().collect();
    assert!(more.len() > copies.len() && more.first() < copies.first(), "{copies:?}, then {more:?}");
    assert_eq!(count_not_gossiped(&net, to), 0, "the rest is queued");
    net.run(1_500);
    assert!(count_not_gossiped(&net, to) > 0);
}

/// Rows of other instances are passed on before own observations, which reach their holders anyway.
#[test]
fn rows_of_others_are_passed_on_before_own_observations() {
    let (mut net, ids) = fleet_with(42, 12, 4_000, true);
    let (to, from) = (ids[0], *ids[1..].iter().find(|id| net.are_linked(ids[0], **id)).expect("neighbours"));
    let load =
        |net: &SimNetwork, k: u64| Observation { hint: Hint::Loading, ..row(k, 2_000 + k, 50, k, net.now) };
    let first = frames::hints_frame(net.now, &[load(&net, 1)]);
    net.inject_frame(from, to, &first);
    (1..=20).for_each(|k| net.observe(to, WorkerId(k), FunctionId(3_000 + k), Hint::Loading));
    let rows: Vec<Observation> = (2..=21).map(|k| load(&net, k)).collect();
    let frame = frames::hints_frame(net.now, &rows);
    net.inject_frame(from, to, &frame);
    net.run(115);
    let known = |from: u64| -> usize {
        let of = |id: &u64| {
            let all: BTreeSet<u64> = hints(&net, *id).iter().map(|h| h.1 .0).collect();
            all.range(from..from + 500).count()
        };
        ids.iter().filter(|id| **id != to).map(of).max().unwrap_or(0)
    };
    let (passed_on, own) = (known(2_002), known(3_001));
    assert!(
        passed_on >= 8 && own < passed_on,
        "one instance knows {passed_on} rows passed on, one {own} own observations"
    );
}

/// An instance of an earlier release among new ones is sent what the spare budget allows before others are; the
/// budget holds there as well.
#[test]
fn neighbours_without_the_directory_are_served_first_and_within_the_budget() {
    let mut net = SimNetwork::new(43, 12);
    net.directory = Some(BYTES_PER_SECOND);
    let mut ids: Vec<u64> = (0..11).map(|name| net.start(name, &[0, 1, 2])).collect();
    net.directory = None;
    let earlier = net.start(11, &[0, 1, 2]);
    ids.push(earlier);
    net.run(8_000);
    // A neighbour spends all of its spare budget, 1,500 bytes, on it before others get any.
    let mut neighbours = 0;
    for (index, to) in ids[..11].iter().enumerate() {
        let from = *ids
            .iter()
            .find(|id| **id != earlier && net.are_linked(*to, **id))
            .expect("the instance has neighbours");
        reset_statistics(&mut net);
        let load = |k: u64| row(k, 50_000 + k, 0, k + 100 * index as u64, net.now);
        let frame = frames::hints_frame(net.now, &(1..=100).map(load).collect::<Vec<Observation>>());
        net.inject_frame(from, *to, &frame);
        // The longest transit time of one hop.
        net.run(4);
        let received = hints(&net, earlier).len();
        let frame_sizes: Vec<usize> =
            net.nodes[to].driver.directory_sent.iter().map(|(_, bytes)| *bytes).collect();
        // With equal shares the second frame would contain what did not fit into the first.
        neighbours +=
            usize::from(received >= 30 && frame_sizes.len() == 2 && frame_sizes[0] > frame_sizes[1]);
        net.run(10_000);
    }
    assert!(neighbours > 0);
    reset_statistics(&mut net);
    for s in 0..10_u64 {
        for (index, id) in ids.iter().enumerate() {
            for k in 0..8 {
                net.observe(*id, W, FunctionId(index as u64 * 1_000 + s * 8 + k), Hint::Loading);
            }
        }
        net.run(1_000);
    }
    let received_by = |id: &u64| hints(&net, *id).iter().map(|h| h.1).collect::<BTreeSet<_>>().len();
    // Eighty functions from each of eleven others.
    assert!(received_by(&earlier) >= 300, "{} of 880", received_by(&earlier));
    let new = ids.iter().filter(|id| **id != earlier);
    let worst = new.map(|id| count_not_gossiped(&net, *id)).max();
    assert!(worst > Some(0), "more than the budget allows was observed");
    assert!(worst_second(&net) <= MAX_BYTES_IN_A_SECOND, "{}", worst_second(&net));
}

/// An observation made as soon as members know each other must reach all holders without waiting for the next
/// tick, because it is not repeated until its function is called again.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
#[test_case(5)]
fn an_observation_made_as_members_meet_reaches_all_three_holders(seed: u64) {
    let mut net = SimNetwork::new(seed, 3);
    net.directory = Some(BYTES_PER_SECOND);
    let ids: Vec<u64> = (0..3).map(|name| net.start(name, &[0, 1, 2])).collect();
    while net.alive_counts() != BTreeSet::from([3]) {
        net.run(1);
    }
    net.observe(ids[0], W, F, Hint::Warm);
    net.run(1_000);
    for id in &ids {
        assert_eq!(net.nodes[id].fleet.directory().map(|d| d.len()), Some(1), "{id}");
    }
}

/// With links up, a question and its answer do not wait for ticks.
#[test]
fn an_answer_arrives_within_a_few_transit_times() {
    let (mut net, ids) = fleet(2, 60);
    net.observe(ids[3], W, F, Hint::Warm);
    net.run(2_500);
    let asker =
        *outsiders(&net, F).iter().find(|id| **id != ids[3]).expect("some instances are of other columns");
    // A question about another function of the column opens the link.
    let other = (10..).map(FunctionId).find(|f| {
        let d = net.nodes[&asker].fleet.directory().expect("the instance takes part");
        d.contacts_for(*f) == d.contacts_for(F)
    });
    net.request_function(asker, other.expect("the column has many functions"));
    net.run(1_000);
    net.request_function(asker, F);
    net.run(30);
    assert!(knows(&net, asker, Hint::Warm), "{:?}", net.nodes[&asker].fleet.directory().map(|d| d.counts()));
}

#[test]
fn one_question_is_open_at_a_time_and_is_not_repeated_while_its_answer_is_valid() {
    let (mut net, ids) = fleet(3, 12);
    net.observe(ids[0], W, F, Hint::Warm);
    net.run(1_000);
    let asker =
        *ids[1..].iter().find(|id| !holders(&net, F).contains(id)).expect("some instances do not hold it");
    reset_statistics(&mut net);
    (0..100).for_each(|_| net.request_function(asker, F));
    net.run(300);
    (0..100).for_each(|_| net.request_function(asker, F));
    net.run(4_000);
    (0..100).for_each(|_| net.request_function(asker, F));
    net.run(300);
    assert_eq!(net.nodes[&asker].driver.directory_frames.get(&Kind::DIRECTORY_QUERY), Some(&1));
    let d = net.nodes[&asker].fleet.directory().expect("the instance takes part");
    assert_eq!((d.counts().questions, d.counts().answers, d.open_question_count()), (1, 1, 0));
}

/// Asks over a link that is up for a copy that another instance has observed. Returns the asking instance, the
/// function and the member asked.
fn ask_over_an_open_link(net: &mut SimNetwork, ids: &[u64]) -> (u64, FunctionId, u64) {
    let functions: Vec<FunctionId> = (100..140).map(FunctionId).collect();
    functions.iter().for_each(|f| net.observe(ids[0], W, *f, Hint::Warm));
    net.run(2_500);
    for f in functions {
        let holders_of_f = holders(net, f);
        let asker =
            *ids[1..].iter().find(|id| !holders_of_f.contains(id)).expect("some instances do not hold it");
        net.request_function(asker, f);
        let asked =
            net.nodes[&asker].fleet.directory().and_then(|d| d.asked_member(f)).expect("the instance asks");
        let asked = *ids.iter().find(|id| member(net, **id) == asked).expect("the instance is alive");
        if asked != ids[0] && net.are_linked(asker, asked) {
            return (asker, f, asked);
        }
        net.run(300);
    }
    panic!("no link was up");
}

fn is_informed(net: &SimNetwork, id: u64, function: FunctionId) -> bool {
    hints(net, id).iter().any(|h| (h.0, h.1) == (W, function))
}

#[test]
fn another_holder_is_asked_when_the_asked_one_dies() {
    let (mut net, ids) = fleet(4, 12);
    let (asker, f, asked) = ask_over_an_open_link(&mut net, &ids);
    net.kill(asked);
    net.run(150);
    assert!(is_informed(&net, asker, f), "another holder is asked as soon as the link has ended");
}

/// A holder that does not respond although its links are up is not waited for, and is not asked first for a
/// while.
#[test]
fn another_holder_is_asked_when_the_asked_one_is_paused() {
    let (mut net, ids) = fleet(5, 12);
    let (asker, f, asked) = ask_over_an_open_link(&mut net, &ids);
    net.pause(asked, 4_000);
    net.run(600);
    assert!(is_informed(&net, asker, f));
    assert_eq!(net.nodes[&asker].fleet.directory().map(|d| d.counts().unanswered), Some(1));
}

/// A paused holder resumes with outdated rows and with frames buffered in its sockets: a copy that is gone must
/// not be reported as ready, whichever holder is asked.
#[test]
fn a_resumed_holder_does_not_report_outdated_copies() {
    let (mut net, ids) = fleet(6, 12);
    let holders_of_f = holders(&net, F);
    let observer = *ids.iter().find(|id| !holders_of_f.contains(id)).expect("nine instances do not hold it");
    net.observe(observer, W, F, Hint::Warm);
    net.run(1_000);
    let stopped = holders_of_f[0];
    net.pause(stopped, 3_000);
    net.run(500);
    // What is sent meanwhile is buffered, and looks young when the holder resumes.
    net.observe(observer, W, F, Hint::Loading);
    net.run(600);
    net.observe(observer, W, F, Hint::Gone);
    net.run(1_950);
    assert_eq!(
        net.nodes[&stopped].fleet.directory().map(|d| d.len()),
        Some(0),
        "it has missed what others received"
    );
    net.run(1_500);
    for asker in ids.iter().filter(|id| !holders_of_f.contains(id) && **id != observer) {
        net.request_function(*asker, F);
        net.run(200);
    }
    net.run(2_000);
    for asker in ids.iter().filter(|id| !holders_of_f.contains(id) && **id != observer) {
        let last = hints(&net, *asker).iter().rev().find(|h| (h.0, h.1) == (W, F));
        assert!(last.is_none_or(|h| h.2 == Hint::Gone), "{last:?}");
    }
}

/// The instance reads buffered frames before it has noticed its pause.
#[test]
fn buffered_rows_are_not_accepted_after_a_pause() {
    let (mut net, ids) = fleet(22, 6);
    let (to, from) = (
        ids[0],
        *ids[1..].iter().find(|id| net.are_linked(ids[0], **id)).expect("the instance has neighbours"),
    );
    net.pause(to, 2_000);
    net.run(1_900);
    let frame = directory_frames::observations_frame(net.now, &[row(1, F.0, 5, 1, net.now)]);
    net.inject_frame(from, to, &frame);
    assert_eq!(net.nodes[&to].fleet.directory().map(|d| d.len()), Some(0));
}

/// While members change, instances disagree about the holders: an instance that asks is answered once the
/// observation is repeated.
#[test]
fn a_question_is_answered_after_members_change() {
    let (mut net, ids) = fleet(7, 40);
    let observer = ids[20];
    net.observe(observer, W, F, Hint::Warm);
    net.run(1_000);
    for holder in holders(&net, F).into_iter().filter(|h| *h != observer) {
        net.kill(holder);
    }
    for name in 40..60 {
        net.start(name, &[0, 1, 2]);
    }
    // No instance has noticed the failures yet; a question may have no answer, and nothing blocks.
    net.run(300);
    let asker = *net.nodes.keys().rev().find(|id| **id != observer).expect("many instances are alive");
    net.request_function(asker, F);
    for _ in 0..8 {
        net.run(1_000);
        net.observe(observer, W, F, Hint::Warm);
        net.request_function(asker, F);
    }
    assert!(net.members_agree());
    assert!(knows(&net, asker, Hint::Warm));
    assert!(worst_second(&net) <= MAX_BYTES_IN_A_SECOND, "{}", worst_second(&net));
}

/// Each partition continues on its own; healing must not cause a burst of updates.
#[test_case(false ; "the directory alone")]
#[test_case(true ; "with gossip of the spare budget")]
fn a_partition_and_its_healing_stay_within_the_budget(gossips: bool) {
    let (mut net, ids) = fleet_with(8, 60, BYTES_PER_SECOND, gossips);
    let busy = |net: &mut SimNetwork, seconds: usize| {
        for s in 0..seconds {
            for (index, id) in ids.iter().enumerate() {
                for k in 0..10 {
                    let f = FunctionId(((index * 7 + k * 13 + s) % 200) as u64);
                    net.request_function(*id, f);
                    net.observe(*id, WorkerId((index % 30) as u64), f, Hint::Warm);
                }
            }
            net.run(1_000);
        }
    };
    busy(&mut net, 3);
    let (left, right): (Vec<usize>, Vec<usize>) = ((0..30).collect(), (30..60).collect());
    net.partition(&left, &right);
    busy(&mut net, 6);
    net.blocked.clear();
    busy(&mut net, 12);
    assert!(worst_second(&net) <= MAX_BYTES_IN_A_SECOND, "{}", worst_second(&net));
    assert_eq!(net.alive_counts(), BTreeSet::from([60]), "the fleet is one again");
    net.observe(ids[4], W, F, Hint::Loading);
    net.run(2_000);
    net.request_function(ids[50], F);
    net.run(1_000);
    assert!(knows(&net, ids[50], Hint::Loading));
}

/// All instances have RPCs for one function in the same second, and observe copies of it.
#[test_case(false ; "the directory alone")]
#[test_case(true ; "with gossip of the spare budget")]
fn a_function_suddenly_called_everywhere_does_not_overload_its_holders(gossips: bool) {
    let (mut net, ids) = fleet_with(9, 150, BYTES_PER_SECOND, gossips);
    net.observe(ids[0], W, F, Hint::Loading);
    net.run(2_500);
    reset_statistics(&mut net);
    for round in 0..5_u64 {
        for (index, id) in ids.iter().enumerate() {
            net.request_function(*id, F);
            net.observe(*id, WorkerId(index as u64 % 20 + round), F, Hint::Warm);
        }
        net.run(1_000);
    }
    assert!(worst_second(&net) <= MAX_BYTES_IN_A_SECOND, "{}", worst_second(&net));
    let informed = ids.iter().filter(|id| hints(&net, **id).iter().any(|h| h.1 == F)).count();
    assert!(informed >= 140, "{informed} of 150 learned of it");
    for id in &ids {
        let d = net.nodes[id].fleet.directory().expect("the instance takes part");
        assert!(
            d.len() <= 64 && d.subscriber_count() <= 128,
            "{} rows, {} subscribers",
            d.len(),
            d.subscriber_count()
        );
    }
}

#[test]
fn a_starting_instance_is_answered_when_it_asks() {
    let (mut net, ids) = fleet(10, 30);
    net.observe(ids[3], W, F, Hint::Warm);
    net.run(2_500);
    let new = net.start(30, &[0, 1, 2]);
    // It serves at once: what it requests is asked for as soon as there is a member to ask.
    net.request_function(new, F);
    net.run(1_000);
    net.request_function(new, F);
    net.run(2_500);
    net.request_function(new, F);
    net.run(700);
    assert!(knows(&net, new, Hint::Warm));
}

/// A starting instance must not have to find each copy through an RPC of its own.
#[test]
fn a_starting_instance_receives_recent_rows_before_it_asks() {
    let (mut net, ids) = fleet(23, 30);
    (100..160).for_each(|f| net.observe(ids[3], W, FunctionId(f), Hint::Warm));
    net.run(2_500);
    let new = net.start(30, &[0, 1, 2]);
    net.run(1_500);
    assert!(hints(&net, new).len() >= 15, "{}", hints(&net, new).len());
    assert_eq!(net.nodes[&new].driver.directory_frames.get(&Kind::DIRECTORY_QUERY), None);
}

#[test_case(false ; "the directory alone")]
#[test_case(true ; "with gossip of the spare budget")]
fn instances_started_together_stay_within_the_budget(gossips: bool) {
    let mut net = SimNetwork::new(11, 100);
    (net.directory, net.gossips) = (Some(BYTES_PER_SECOND), gossips);
    let ids: Vec<u64> = (0..100).map(|name| net.start(name, &[0, 1, 2])).collect();
    for round in 0..60_u64 {
        for (index, id) in ids.iter().enumerate() {
            let f = FunctionId((index as u64 + round) % 300);
            net.request_function(*id, f);
            net.observe(*id, WorkerId(index as u64 % 30), f, Hint::Loading);
        }
        net.run(100);
    }
    assert!(worst_second(&net) <= MAX_BYTES_IN_A_SECOND, "{}", worst_second(&net));
    assert!(net.members_agree());
}

/// What one instance sends for the same work does not depend on the number of instances. With gossip it is as
/// much as the budget allows, in each second at each size.
#[test_case(false ; "the directory alone")]
#[test_case(true ; "with gossip of the spare budget")]
fn traffic_per_instance_does_not_grow_with_the_fleet(gossips: bool) {
    let mean = |n: usize| {
        let (mut net, ids) = fleet_with(12, n, BYTES_PER_SECOND, gossips);
        let work = |net: &mut SimNetwork, seconds: u64| {
            for s in 0..seconds {
                for (index, id) in ids.iter().enumerate() {
                    // The numbers of functions and workers grow with the fleet; each instance makes one new
                    // observation per second.
                    let f = FunctionId((index as u64 * 31 + s * 7) % (20 * n as u64));
                    net.request_function(*id, f);
                    net.observe(*id, WorkerId((index as u64 * 17 + s) % (2 * n as u64)), f, Hint::Loading);
                }
                net.run(1_000);
            }
        };
        work(&mut net, 10);
        reset_statistics(&mut net);
        work(&mut net, 10);
        assert!(worst_second(&net) <= MAX_BYTES_IN_A_SECOND, "{} at {n}", worst_second(&net));
        let all: usize =
            net.nodes.values().flat_map(|node| node.driver.directory_sent.iter().map(|(_, b)| b)).sum();
        all as f64 / n as f64 / 10.0
    };
    let (few, some, many) = (mean(30), mean(90), mean(180));
    let summary = format!("{few:.0} bytes a second with 30, {some:.0} with 90, {many:.0} with 180");
    // Ten seconds, and the burst.
    let most = 1.1 * BYTES_PER_SECOND as f64;
    assert!(few < most && some < most && many < most, "{summary}");
    assert!(gossips || (many <= 1.6 * few && many < BYTES_PER_SECOND as f64), "{summary}");
}

fn row(worker: u64, function: u64, age_ms: u64, seq: u64, now: Time) -> Observation {
    let at = now - Time(age_ms * 10);
    let (worker, function) = (WorkerId(worker), FunctionId(function));
    Observation { worker, function, hint: Hint::Warm, rpcs_held: 0, observed_at: at, run: RunId(77), seq }
}

#[test]
fn intake_from_a_flooding_peer_is_limited() {
    let (mut net, ids) = fleet(13, 6);
    let (to, from) = (
        ids[0],
        *ids[1..].iter().find(|id| net.are_linked(ids[0], **id)).expect("the instance has neighbours"),
    );
    for second in 0..10_u64 {
        for frame in 0..100 {
            let seq = |k: u64| 1 + k + frame * 500 + second * 50_000;
            let rows: Vec<Observation> = (0..500).map(|k| row(seq(k), seq(k), 0, seq(k), net.now)).collect();
            let frame = directory_frames::observations_frame(net.now, &rows);
            net.inject_frame(from, to, &frame);
        }
        net.run(1_000);
    }
    let d = net.nodes[&to].fleet.directory().expect("the instance takes part");
    assert!(d.len() <= 6_000, "{} rows of half a million", d.len());
    assert!(d.counts().ignored >= 490_000, "{:?}", d.counts());
    assert!(worst_second(&net) <= MAX_BYTES_IN_A_SECOND, "{}", worst_second(&net));
    assert!(net.are_linked(from, to), "its frames as a member are still accepted");
}

/// A peer that reports copies that do not exist, within its intake limit: the number of rows stays bounded, and
/// later observations are kept.
#[test]
fn forged_rows_do_not_displace_later_observations() {
    let (mut net, ids) = fleet(14, 6);
    let holders_of_f = holders(&net, F);
    let to = holders_of_f[0];
    let from =
        *ids.iter().find(|id| **id != to && net.are_linked(to, **id)).expect("the instance has neighbours");
    for second in 0..20_u64 {
        let rows: Vec<Observation> =
            (0..400).map(|k| row(1_000 + second * 400 + k, F.0, 0, 1 + second * 400 + k, net.now)).collect();
        let frame = directory_frames::observations_frame(net.now, &rows);
        net.inject_frame(from, to, &frame);
        net.run(200);
    }
    net.observe(ids[5], W, F, Hint::Warm);
    net.run(1_500);
    let d = net.nodes[&to].fleet.directory().expect("the instance takes part");
    assert!(d.len() <= 64, "{} rows of one function", d.len());
    let asker = *ids
        .iter()
        .find(|id| !holders_of_f.contains(id) && **id != ids[5])
        .expect("some instances do not hold it");
    net.request_function(asker, F);
    net.run(1_000);
    assert!(knows(&net, asker, Hint::Warm), "an answer holds the latest rows first");
}

#[test_case(Frame::new(Kind::OBSERVATIONS).ints(Field::ROWS, &[1, 2, 3]) ; "half a row")]
#[test_case(Frame::new(Kind::OBSERVATIONS).text(Field::ROWS, "rows") ; "rows encoded as text")]
#[test_case(Frame::new(Kind::DIRECTORY_UPDATE).ints(Field::ROWS, &[0; 7 * 1_025]) ; "more rows than a frame holds")]
#[test_case(Frame::new(Kind::DIRECTORY_QUERY).ints(Field::FUNCTIONS, &[0; 1_025]) ; "more function ids than a frame holds")]
#[test_case(Frame::new(Kind::DIRECTORY_JOIN) ; "an announcement without its fields")]
fn a_malformed_frame_closes_only_its_link(frame: Frame) {
    let (mut net, ids) = fleet(15, 6);
    let (to, from) = (
        ids[0],
        *ids[1..].iter().find(|id| net.are_linked(ids[0], **id)).expect("the instance has neighbours"),
    );
    let others = |net: &SimNetwork| {
        ids.iter().filter(|id| **id != to && **id != from && net.are_linked(to, **id)).count()
    };
    let before = (net.nodes[&to].fleet.link_count(), others(&net));
    net.inject_frame(from, to, &frame);
    assert_eq!((net.nodes[&to].fleet.link_count(), others(&net)), (before.0 - 1, before.1));
    net.run(5_000);
    assert!(
        net.are_linked(from, to) && net.members_agree(),
        "the link is opened again, as no member has died"
    );
}

#[test]
fn hints_of_an_unknown_kind_are_skipped() {
    let (mut net, ids) = fleet(16, 3);
    let rows = [[1, F.0, 9, 0, 0, 5, 1], [2, F.0, 3, 0, 0, 5, 2]].concat();
    let from = *ids[1..].iter().find(|id| net.are_linked(ids[0], **id)).expect("the instance has neighbours");
    net.inject_frame(from, ids[0], &Frame::new(Kind::OBSERVATIONS).ints(Field::ROWS, &rows));
    assert_eq!(net.nodes[&ids[0]].fleet.directory().map(|d| d.len()), Some(1));
}

/// During an upgrade, releases without and with the directory run in one fleet: neighbours of earlier ones
/// gossip as before, and earlier ones are asked nothing.
#[test]
fn one_instance_with_the_directory_among_earlier_releases_gossips_as_before() {
    let mut net = SimNetwork::new(17, 12);
    let mut ids: Vec<u64> = (0..11).map(|name| net.start(name, &[0, 1, 2])).collect();
    net.directory = Some(BYTES_PER_SECOND);
    let new = net.start(11, &[0, 1, 2]);
    ids.push(new);
    net.run(8_000);
    net.observe(ids[4], W, F, Hint::Loading);
    net.run(500);
    assert!(knows(&net, new, Hint::Loading));
    net.observe(new, W, F, Hint::Warm);
    net.run(500);
    assert!(ids[..11].iter().all(|id| knows(&net, *id, Hint::Warm)));
    (0..50).for_each(|f| net.request_function(new, FunctionId(f)));
    net.run(5_000);
    assert!(net.members_agree());
    assert_eq!(net.nodes[&new].fleet.directory_link_count(), 0, "no member to ask");
    assert_eq!(net.nodes[&new].driver.directory_frames.get(&Kind::DIRECTORY_QUERY), None);
}

#[test]
fn in_a_half_upgraded_fleet_the_new_instances_ask_each_other() {
    let mut net = SimNetwork::new(18, 20);
    let mut ids = Vec::new();
    for name in 0..20 {
        net.directory = (name % 2 == 0).then_some(BYTES_PER_SECOND);
        ids.push(net.start(name, &[0, 1, 2]));
    }
    net.run(8_000);
    net.observe(ids[4], W, F, Hint::Warm);
    net.observe(ids[5], WorkerId(2), F, Hint::Warm);
    net.run(2_000);
    let earlier = |index: &usize| index % 2 == 1 && *index != 5;
    assert!((0..20).filter(earlier).all(|index| knows(&net, ids[index], Hint::Warm)), "by gossip");
    for index in (0..20).filter(|index| index % 2 == 0 && *index != 4) {
        net.request_function(ids[index], F);
        net.run(300);
    }
    net.run(3_000);
    assert!((0..20).filter(|index| index % 2 == 0 && *index != 4).all(|index| knows(
        &net,
        ids[index],
        Hint::Warm
    )));
    assert!(net.members_agree());
}

/// Links for the directory alone are few and are closed when idle, and no member is suspected because of them.
#[test]
fn idle_directory_links_are_closed() {
    let (mut net, ids) = fleet(19, 60);
    (0..200).for_each(|f| net.request_function(ids[7], FunctionId(f)));
    net.run(5_000);
    let open = net.nodes[&ids[7]].fleet.directory_link_count();
    assert!((1..=30).contains(&open), "{open} links to ask 59 others");
    net.run(160_000);
    let left: usize = ids.iter().map(|id| net.nodes[id].fleet.directory_link_count()).sum();
    assert_eq!((left, net.alive_counts()), (0, BTreeSet::from([60])));
}

/// However links open and close: members die, pause, are partitioned and restart, others ask, and links idle
/// out.
#[test_case(31)]
#[test_case(32)]
#[test_case(33)]
fn the_link_index_stays_correct_as_links_open_and_close(seed: u64) {
    let (mut net, _) = fleet(seed, 24);
    let mut checked = 0;
    for round in 0..60_u64 {
        let ids = net.instance_ids();
        let one = ids[net.rng.rand_range(0..ids.len() as u64) as usize];
        let name = net.nodes[&one].name;
        match round % 6 {
            0 => net.kill(one),
            1 => net.pause(one, 900 + 40 * round),
            2 => net.partition(&[name], &(0..24).filter(|n| *n != name).collect::<Vec<usize>>()),
            3 => net.blocked.clear(),
            4 => drop(net.start(24 + round as usize, &[0, 1, 2])),
            _ => net.run(if round % 18 == 5 { 70_000 } else { 3_000 }),
        }
        for id in net.instance_ids() {
            let f = FunctionId(net.rng.rand_range(0..50));
            net.request_function(id, f);
            net.observe(id, WorkerId(round), f, Hint::Warm);
        }
        net.run(700);
        let all: Vec<MemberId> = net.nodes.values().map(|n| n.fleet.own_id()).collect();
        for node in net.nodes.values() {
            let mut open_links: BTreeMap<MemberId, BTreeSet<LinkId>> = BTreeMap::new();
            for (link, member) in node.fleet.peer_links().chain(node.fleet.directory_peers()) {
                open_links.entry(member).or_default().insert(link);
            }
            for member in &all {
                let indexed = node.fleet.link_to(*member);
                let open = open_links.get(member);
                assert_eq!(indexed.is_some(), open.is_some(), "round {round}: {indexed:?} of {open:?}");
                assert!(indexed.is_none_or(|link| open.is_some_and(|all| all.contains(&link))));
                checked += usize::from(indexed.is_some());
            }
        }
    }
    assert!(checked > 5_000, "{checked} links checked");
}

#[test]
fn an_instance_without_hint_exchange_holds_rows_and_neither_sends_nor_asks() {
    let mut net = SimNetwork::new(20, 3);
    net.directory = Some(BYTES_PER_SECOND);
    let one = net.start(0, &[0, 1, 2]);
    net.limits.exchange_hints = false;
    let passive = net.start(1, &[0, 1, 2]);
    net.limits.exchange_hints = true;
    let two = net.start(2, &[0, 1, 2]);
    net.run(6_000);
    net.observe(one, W, F, Hint::Warm);
    net.observe(passive, WorkerId(2), F, Hint::Warm);
    net.request_function(passive, F);
    net.run(1_000);
    net.request_function(two, F);
    net.run(500);
    assert_eq!(hints(&net, two), [(W, F, Hint::Warm, 0)]);
    assert_eq!(hints(&net, passive), []);
    assert_eq!(net.nodes[&passive].fleet.directory().map(|d| d.len()), Some(1));
}

/// Where more is queued than the budget allows, answers and loads are sent first and repetitions last, and what
/// is dropped is counted.
#[test]
fn the_most_useful_items_are_sent_first_and_dropped_ones_counted() {
    let mut net = SimNetwork::new(21, 3);
    net.directory = Some(1_000);
    let ids: Vec<u64> = (0..3).map(|name| net.start(name, &[0, 1, 2])).collect();
    net.run(6_000);
    let asker = ids[1];
    net.request_function(asker, F);
    net.run(500);
    for f in 100..600 {
        net.observe(ids[0], W, FunctionId(f), Hint::Warm);
    }
    net.observe(ids[0], W, F, Hint::Loading);
    net.run(300);
    assert!(knows(&net, asker, Hint::Loading), "it did not queue behind 500 copies");
    net.run(5_000);
    let counts = net.nodes[&ids[0]].fleet.directory().expect("the instance takes part").counts();
    assert!(counts.dropped > 0 && counts.bytes <= 1_000 * 13, "{counts:?}");
}

// The state machine on its own.

fn directory_of(n: u64) -> (CopyDirectory, Vec<MemberId>) {
    directory_with_budget(n, 1 << 20)
}

fn directory_with_budget(n: u64, bytes: u64) -> (CopyDirectory, Vec<MemberId>) {
    let id =
        |index: u64| MemberId { instance: InstanceId::of(&format!("n{index}")), run: RunId(index << 48) };
    let all: Vec<MemberId> = (1..=n).map(id).collect();
    let settings = DirectorySettings {
        bytes_per_second: bytes,
        observation_lifetime: Time(80_000),
        exchange_hints: true,
        gossips: false,
    };
    let mut d = CopyDirectory::new(Time(1_000_000), all[0], settings);
    d.update_members(all[0], all.iter().copied());
    (d, all)
}

/// What is to be sent now, if all members are linked.
fn batches_at(d: &mut CopyDirectory, now: Time) -> Vec<(MemberId, Vec<Observation>, Vec<Observation>)> {
    let (batches, _) = d.take_batches(now, |_| true);
    batches.into_iter().map(|(to, p)| (to, p.copies, p.observations)).collect()
}

#[test]
fn subscriptions_are_bounded_and_expire() {
    let (mut d, all) = directory_of(400);
    let now = Time(1_000_000);
    all[1..].iter().for_each(|m| d.question_received(now, *m, &[F]));
    assert_eq!(d.subscriber_count(), 128, "of 399");
    for k in 0..1_000 {
        let many: Vec<FunctionId> = (0..100).map(|f| FunctionId(k * 100 + f)).collect();
        d.question_received(now, all[1], &many);
    }
    assert_eq!(d.subscriber_count(), 16_384, "of a hundred thousand");
    assert!(d.open_question_count() <= 256);
    d.advance(now + Time(310_000));
    assert_eq!(d.subscriber_count(), 0);
}

#[test]
fn an_answer_holds_at_most_the_eight_latest_rows() {
    let (mut d, all) = directory_of(3);
    let now = Time(1_000_000);
    let rows = (0..40).map(|k| row(k, F.0, 4_000 - 100 * k, k + 1, now)).collect();
    d.observations_received(now, all[1], rows);
    d.question_received(now, all[2], &[F]);
    let answer = batches_at(&mut d, now).into_iter().find(|(to, ..)| *to == all[2]).expect("an answer").1;
    let workers: Vec<u64> = answer.iter().map(|s| s.worker.0).collect();
    assert_eq!(workers, (32..40).rev().collect::<Vec<u64>>());
}

/// A row that returns along another path looks younger by the transit times; its sequence number identifies it.
#[test]
fn a_row_that_returns_is_not_sent_again() {
    let (mut d, all) = directory_of(3);
    let now = Time(1_000_000);
    d.question_received(now, all[2], &[F]);
    d.observations_received(now, all[1], vec![row(1, F.0, 50, 7, now)]);
    assert!(!batches_at(&mut d, now).is_empty());
    d.observations_received(now, all[1], vec![row(1, F.0, 20, 7, now)]);
    assert!(batches_at(&mut d, now).is_empty());
}

/// The cost of a call must depend on what is sent, not on what is queued for a link, for a batch or for the
/// budget.
#[test]
fn queued_items_are_not_scanned_at_each_call() {
    let (mut d, _) = directory_of(400);
    let mut now = Time(1_000_000);
    let link_checks = Cell::new(0);
    let not_linked = |_: MemberId| {
        link_checks.set(link_checks.get() + 1);
        false
    };
    (0..2_000).for_each(|f| d.observe(now, W, FunctionId(f), Hint::Warm, 0));
    let (_, unlinked) = d.take_batches(now, not_linked);
    let first = link_checks.replace(0);
    assert!(first <= 100 && unlinked.len() == first, "{first} members are contacted, each checked once");
    assert_eq!(d.unlinked_members().iter().collect::<BTreeSet<_>>(), unlinked.iter().collect());
    for _ in 0..500 {
        now = now + Time(10);
        d.take_batches(now, not_linked);
    }
    assert_eq!(link_checks.get(), 0, "nothing has changed");
    d.link_up(unlinked[0]);
    let (batches, _) = d.take_batches(now + Time(300), |m| m == unlinked[0]);
    assert_eq!(batches.into_keys().collect::<Vec<_>>(), [unlinked[0]]);
}

/// While the budget is used up nothing is examined; then the items queued for a member are sent together.
#[test]
fn items_waiting_for_the_budget_are_sent_in_few_frames() {
    let (mut d, all) = directory_with_budget(3, 3_000);
    let (mut now, mut frames, mut rows) = (Time(1_000_000), 0, 0);
    for call in 0..2_000_u64 {
        now = now + Time(50);
        d.observe(now, W, FunctionId(call), Hint::Warm, 0);
        for (to, _, observations) in batches_at(&mut d, now) {
            assert!(all[1..].contains(&to));
            (frames, rows) = (frames + 1, rows + observations.len());
            d.charge(16 + 32 * observations.len());
        }
    }
    // Ten seconds: ten times to two members, and one more frame at the start.
    assert!(frames <= 202, "{frames} frames");
    assert!(rows >= 800, "{rows} rows of 32 bytes out of 3,000 bytes a second");
}

/// A question and its answer are sent at once, together with what is queued for the same member; a load waits a
/// tenth of a second for others, a repetition longer.
#[test]
fn items_that_are_not_urgent_are_batched() {
    let (mut d, all) = directory_of(3);
    let t0 = Time(1_000_000);
    d.observe(t0, W, F, Hint::Loading, 0);
    assert_eq!(batches_at(&mut d, t0).len(), 2, "the first after a pause is sent at once");
    let row_of = |worker: u64, now: Time| row(worker, F.0, 0, worker, now);
    (2..5).for_each(|w| d.observe(t0 + Time(w * 100), WorkerId(w), F, Hint::Loading, 0));
    assert!(batches_at(&mut d, t0 + Time(900)).is_empty());
    assert_eq!(
        batches_at(&mut d, t0 + Time(1_000)).iter().map(|(.., s)| s.len()).collect::<Vec<_>>(),
        [3, 3]
    );
    d.observe(t0 + Time(1_100), WorkerId(6), F, Hint::Loading, 0);
    d.observations_received(t0 + Time(1_100), all[1], vec![row_of(7, t0 + Time(1_100))]);
    d.question_received(t0 + Time(1_100), all[2], &[F]);
    let batches = batches_at(&mut d, t0 + Time(1_100));
    assert_eq!(batches.len(), 1, "the asking member is answered at once, and no other is sent anything");
    assert_eq!((batches[0].0, batches[0].2.len()), (all[2], 1), "queued items are sent along");
    // A repetition, later on.
    let t1 = t0 + Time(30_000);
    d.observe(t1, WorkerId(6), F, Hint::Loading, 0);
    assert!(!batches_at(&mut d, t1).is_empty());
    d.observe(t1 + Time(100), WorkerId(4), F, Hint::Loading, 0);
    assert!(batches_at(&mut d, t1 + Time(2_900)).is_empty());
    assert!(!batches_at(&mut d, t1 + Time(3_000)).is_empty());
}

/// A queued repetition of a load that becomes a ready copy is sent in the class of ready copies.
#[test]
fn a_queued_repetition_that_becomes_news_is_sent_as_news() {
    let (mut d, _) = directory_of(3);
    let t0 = Time(1_000_000);
    (1..3).for_each(|w| d.observe(t0, WorkerId(w), F, Hint::Loading, 0));
    assert!(!batches_at(&mut d, t0).is_empty());
    let t1 = t0 + Time(20_000);
    d.observe(t1, WorkerId(2), F, Hint::Loading, 0);
    assert!(!batches_at(&mut d, t1).is_empty());
    d.observe(t1 + Time(10), WorkerId(1), F, Hint::Loading, 0);
    assert!(batches_at(&mut d, t1 + Time(10)).is_empty(), "it waits for more of its class");
    d.observe(t1 + Time(20), WorkerId(1), F, Hint::Warm, 0);
    let batches = batches_at(&mut d, t1 + Time(20));
    assert!(batches.iter().all(|(.., s)| s.len() == 1 && s[0].hint == Hint::Warm) && batches.len() == 2);
    assert!(batches_at(&mut d, t1 + Time(9_000)).is_empty(), "once");
}

/// Gossip leaves half of the burst, so a question never waits for it.
#[test]
fn gossip_leaves_a_reserve_to_the_directory() {
    let (mut d, all) = directory_with_budget(3, 3_000);
    let now = Time(1_000_000);
    assert_eq!(d.gossip_allowance(now), 1_500);
    d.charge(1_500);
    assert_eq!(d.gossip_allowance(now), 0);
    d.question_received(now, all[1], &[F]);
    assert_eq!(batches_at(&mut d, now).len(), 1);
    d.charge(600);
    assert_eq!(d.gossip_allowance(now + Time(2_000)), 0, "the directory's own use is refilled first");
    assert_eq!(d.gossip_allowance(now + Time(3_000)), 300);
}

#[test]
fn a_non_participant_is_neither_asked_nor_a_holder() {
    let (mut d, all) = directory_of(3);
    assert!(d.mark_non_participant(all[1]));
    d.update_members(all[0], all.iter().copied());
    assert_eq!(d.contacts_for(F), [all[2]]);
    assert_eq!(d.holders(F).map(|h| h.len()), Some(2));
}

proptest! {
    /// Rows in any order and repeated converge: the latest observation of each function at each worker remains.
    #[test]
    fn rows_converge_in_any_order(
        rows in proptest::collection::vec((0u64..3, 0u64..3, 0u64..50), 1..40), rotate in 0usize..40
    ) {
        let now = Time(1_000_000);
        // Each row has a run of its own, because the sequence numbers of one run arrive in order.
        let seen = |(index, (w, f, age)): (usize, (u64, u64, u64))| Observation { run: RunId(100 + index as u64), ..row(w, f, age, 1, now) };
        let mut numbered: Vec<Observation> = rows.into_iter().enumerate().map(seen).collect();
        let result = |order: &[Observation]| {
            let (mut d, all) = directory_of(3);
            order.iter().for_each(|s| drop(d.observations_received(now, all[1], vec![*s, *s])));
            d.question_received(now, all[2], &[FunctionId(0), FunctionId(1), FunctionId(2)]);
            let mut all: Vec<(WorkerId, FunctionId, Time)> = batches_at(&mut d, now).into_iter().filter(|(to, ..)| *to == all[2])
                .flat_map(|(_, copies, _)| copies).map(|s| (s.worker, s.function, s.observed_at)).collect();
            all.sort();
            all
        };
        let first = result(&numbered);
        let by = rotate % numbered.len();
        numbered.rotate_left(by);
        prop_assert_eq!(result(&numbered), first);
    }
}
