//! The directory of copies: short stories of what is told to whom, one for each failure, and what never grows.

mod common;

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};

use common::Net;
use curlewpoint::types::{FunctionId, Hint, Time, WorkerId};
use curlewpoint_fleet::{
    directory_frames, frames, CopyDirectory, DirectorySettings, InstanceId, LinkId, MemberId, Observation,
    Run,
};
use curlewpoint_wire::{Field, Frame, Kind};
use proptest::prelude::*;
use test_case::test_case;

const W: WorkerId = WorkerId(1);
const F: FunctionId = FunctionId(9);
const BUDGET: u64 = 3_000;

/// So many, all with the directory, who know each other; nothing of the budget is left over for the rings.
fn fleet(seed: u64, n: usize) -> (Net, Vec<u64>) {
    fleet_with(seed, n, BUDGET, false)
}

fn fleet_with(seed: u64, n: usize, bytes: u64, spreads: bool) -> (Net, Vec<u64>) {
    let mut net = Net::new(seed, n as u64);
    (net.directory, net.spreads) = (Some(bytes), spreads);
    let ids = (0..n).map(|name| net.start(name, &[0, 1, 2])).collect();
    net.run(8_000);
    assert!(net.alike());
    (net, ids)
}

fn member(net: &Net, id: u64) -> MemberId {
    net.nodes[&id].fleet.own_id()
}

/// Who holds a function, as one of its column says.
fn holders(net: &Net, function: FunctionId) -> Vec<u64> {
    let by_member: BTreeMap<MemberId, u64> =
        net.nodes.iter().map(|(id, n)| (n.fleet.own_id(), *id)).collect();
    let all: BTreeSet<Vec<MemberId>> =
        net.nodes.values().filter_map(|n| n.fleet.directory()?.holders(function)).collect();
    assert_eq!(all.len(), 1, "all of the column reckon alike");
    all.into_iter().flatten().map(|m| by_member[&m]).collect()
}

/// Those who neither hold a function nor are of its column.
fn outsiders(net: &Net, function: FunctionId) -> Vec<u64> {
    let out = |n: &&u64| net.nodes[n].fleet.directory().is_some_and(|d| d.holders(function).is_none());
    net.nodes.keys().filter(out).copied().collect()
}

fn hints(net: &Net, id: u64) -> &[(WorkerId, FunctionId, Hint, u64)] {
    &net.nodes[&id].acts.hints
}

fn knows(net: &Net, id: u64, hint: Hint) -> bool {
    hints(net, id).iter().any(|h| (h.0, h.1, h.2) == (W, F, hint))
}

/// The most bytes that any instance sent for the directory, and of hints that go round the rings, in any second.
fn worst_second(net: &Net) -> usize {
    let of = |sent: &Vec<(Time, usize)>| {
        let within = |from: Time| {
            sent.iter()
                .filter(|(at, _)| *at >= from && *at < from + Time(10_000))
                .map(|(_, n)| n)
                .sum::<usize>()
        };
        sent.iter().map(|(at, _)| within(*at)).max().unwrap_or(0)
    };
    net.nodes.values().map(|n| of(&n.acts.sent)).max().unwrap_or(0)
}

/// What a second may bring: the rate, what had been saved up, and one more frame to each of a few.
const MOST: usize = 2 * BUDGET as usize + 1_500;

fn forget_figures(net: &mut Net) {
    for n in net.nodes.values_mut() {
        n.acts.sent.clear();
        n.acts.hints.clear();
        n.acts.kinds.clear();
    }
}

#[test_case(3 ; "three, who all hold everything")]
#[test_case(12 ; "twelve in one column")]
#[test_case(60 ; "sixty in four columns")]
#[test_case(150 ; "a hundred and fifty in sixteen")]
fn whoever_asks_is_told_and_hears_of_changes(n: usize) {
    let (mut net, ids) = fleet(1, n);
    let (seer, asker) = (ids[n / 2], ids[n - 1]);
    net.saw(seer, W, F, Hint::Loading);
    net.run(2_500);
    net.wanted(asker, F);
    net.run(700);
    assert!(knows(&net, asker, Hint::Loading));
    net.saw(seer, W, F, Hint::Warm);
    net.run(700);
    assert!(knows(&net, asker, Hint::Warm), "without another question");
    let told = ids.iter().filter(|id| !hints(&net, **id).is_empty()).count();
    assert!(told <= 6, "{told}: those who hold it, two contacts and the asker");
    assert_eq!(holders(&net, F).len(), n.min(3));
}

/// Where the budget leaves room for it all are told as on the rings without a directory, each as soon, and nobody asks.
#[test_case(3)]
#[test_case(12)]
#[test_case(60)]
#[test_case(150)]
fn where_there_is_room_all_are_told_and_nobody_asks(n: usize) {
    let (mut net, ids) = fleet_with(1, n, BUDGET, true);
    let seer = ids[n / 2];
    for hint in [Hint::Loading, Hint::Warm] {
        net.saw(seer, W, F, hint);
        net.run(700);
        assert!(ids.iter().filter(|id| **id != seer).all(|id| knows(&net, *id, hint)), "{hint:?}");
    }
    ids.iter().filter(|id| **id != seer).for_each(|id| net.wanted(*id, F));
    net.run(700);
    let asked: usize = net.nodes.values().filter_map(|n| n.acts.kinds.get(&Kind::ASK)).sum();
    assert_eq!(asked, 0);
    // It is asked for once it is not told of any more.
    net.run(4_000);
    net.wanted(ids[0], F);
    assert!(net.nodes[&ids[0]].fleet.directory().is_some_and(|d| d.asked_member(F).is_some()));
    assert!(ids.iter().all(|id| not_spread(&net, *id) == 0));
}

fn not_spread(net: &Net, id: u64) -> u64 {
    net.nodes[&id].fleet.directory().map_or(0, |d| d.counts().not_gossiped)
}

/// Each sees three new loads a second and calls the function of another: the share of the others that are told of a load
/// within a second, and the rows that were not sent on.
fn told_within(bytes: u64, n: usize) -> (f64, u64) {
    let (mut net, ids) = fleet_with(40, n, bytes, true);
    let (mut told, mut of) = (0, 0);
    for s in 0..8_u64 {
        let seen: Vec<(u64, FunctionId)> = (0..3)
            .flat_map(|k| ids.iter().enumerate().map(move |(no, id)| (*id, no as u64 * 100 + s * 3 + k)))
            .map(|(id, f)| (id, FunctionId(f)))
            .collect();
        for (id, f) in &seen {
            net.saw(*id, W, *f, Hint::Loading);
            net.run(1_000 / seen.len() as u64);
        }
        net.run(1_000);
        if s >= 4 {
            for (_, f) in seen.iter().step_by(7) {
                told += ids.iter().filter(|id| is_told(&net, **id, *f)).count();
                of += n - 1;
            }
        }
        assert!(worst_second(&net) <= 2 * bytes as usize + 1_500, "{} of {bytes}", worst_second(&net));
    }
    (told as f64 / of as f64, ids.iter().map(|id| not_spread(&net, *id)).sum())
}

#[test]
fn how_many_are_told_follows_from_the_budget() {
    let (large, left_out) = told_within(40_000, 40);
    assert!(large > 0.999 && left_out == 0, "{large:.3} told, {left_out} left out of 40,000 bytes a second");
    let (some, left_out) = told_within(2_000, 40);
    assert!((0.5..0.9).contains(&some) && left_out > 0, "{some:.3} told, {left_out} left out of 2,000");
    let (few, left_out) = told_within(1_000, 40);
    assert!(few < some && left_out > 0, "{few:.3} told, {left_out} left out of 1,000");
}

/// Of a frame of hints the loads go on first, then the newest copies; what comes behind them, seen earlier, is taken all the
/// same, and what has waited a second is left out and counted.
#[test]
fn the_most_useful_and_newest_rows_go_on_first() {
    let (mut net, ids) = fleet_with(41, 12, 2_000, true);
    let (to, from) = (ids[0], *ids[1..].iter().find(|id| net.linked(ids[0], **id)).expect("neighbours"));
    let copy = |k: u64| row(k, 1_000 + k, 1_600 - 10 * k, k, net.now);
    let load = |k: u64| Observation { hint: Hint::Loading, ..row(k, 2_000 + k, 1_700, 200 + k, net.now) };
    let rows: Vec<Observation> = (1..=150).map(copy).chain((1..=8).map(load)).collect();
    let frame = frames::hints_frame(net.now, &rows);
    net.forge(from, to, &frame);
    let of = |net: &Net, id: u64, hint: Hint| -> Vec<u64> {
        hints(net, id).iter().filter(|h| h.2 == hint).map(|h| h.0 .0).collect()
    };
    let told = |net: &Net| ids.iter().find(|id| **id != to && !hints(net, **id).is_empty()).copied();
    while told(&net).is_none() {
        net.run(1);
    }
    let first = told(&net).expect("just seen");
    assert_eq!(of(&net, first, Hint::Loading).len(), 8, "the loads, though they are older");
    let copies: BTreeSet<u64> = of(&net, first, Hint::Warm).into_iter().collect();
    let newest: BTreeSet<u64> = (151 - copies.len() as u64..=150).collect();
    assert!(!copies.is_empty() && copies.len() < 40);
    assert_eq!(copies, newest);
    net.run(300);
    let more: BTreeSet<u64> = of(&net, first, Hint::Warm).into_iter().collect();
    assert!(more.len() > copies.len() && more.first() < copies.first(), "{copies:?}, then {more:?}");
    assert_eq!(not_spread(&net, to), 0, "the rest waits");
    net.run(1_500);
    assert!(not_spread(&net, to) > 0);
}

/// What others have let in goes on before what is seen here: that is told to its holders all the same.
#[test]
fn what_is_handed_on_goes_before_what_is_seen_here() {
    let (mut net, ids) = fleet_with(42, 12, 4_000, true);
    let (to, from) = (ids[0], *ids[1..].iter().find(|id| net.linked(ids[0], **id)).expect("neighbours"));
    let load = |net: &Net, k: u64| Observation { hint: Hint::Loading, ..row(k, 2_000 + k, 50, k, net.now) };
    let first = frames::hints_frame(net.now, &[load(&net, 1)]);
    net.forge(from, to, &first);
    (1..=20).for_each(|k| net.saw(to, WorkerId(k), FunctionId(3_000 + k), Hint::Loading));
    let rows: Vec<Observation> = (2..=21).map(|k| load(&net, k)).collect();
    let frame = frames::hints_frame(net.now, &rows);
    net.forge(from, to, &frame);
    net.run(115);
    let known = |from: u64| -> usize {
        let of = |id: &u64| {
            let all: BTreeSet<u64> = hints(&net, *id).iter().map(|h| h.1 .0).collect();
            all.range(from..from + 500).count()
        };
        ids.iter().filter(|id| **id != to).map(of).max().unwrap_or(0)
    };
    let (theirs, own) = (known(2_002), known(3_001));
    assert!(theirs >= 8 && own < theirs, "one knows {theirs} that were handed on, one {own} that were seen");
}

/// An earlier release among new ones hears what these can spare, before others do; the bytes hold there as well.
#[test]
fn neighbours_that_take_no_part_are_told_first_and_within_the_budget() {
    let mut net = Net::new(43, 12);
    net.directory = Some(BUDGET);
    let mut ids: Vec<u64> = (0..11).map(|name| net.start(name, &[0, 1, 2])).collect();
    net.directory = None;
    let old = net.start(11, &[0, 1, 2]);
    ids.push(old);
    net.run(8_000);
    // Whoever has it for a neighbour gives it all the room there is, 1,500 bytes, before others get any.
    let mut neighbours = 0;
    for (no, to) in ids[..11].iter().enumerate() {
        let from = *ids.iter().find(|id| **id != old && net.linked(*to, **id)).expect("it has neighbours");
        forget_figures(&mut net);
        let load = |k: u64| row(k, 50_000 + k, 0, k + 100 * no as u64, net.now);
        let frame = frames::hints_frame(net.now, &(1..=100).map(load).collect::<Vec<Observation>>());
        net.forge(from, *to, &frame);
        // The longest way of one step.
        net.run(4);
        let told = hints(&net, old).len();
        let sent: Vec<usize> = net.nodes[to].acts.sent.iter().map(|(_, bytes)| *bytes).collect();
        // In equal parts the second frame would have what the first has left as well.
        neighbours += usize::from(told >= 30 && sent.len() == 2 && sent[0] > sent[1]);
        net.run(10_000);
    }
    assert!(neighbours > 0);
    forget_figures(&mut net);
    for s in 0..10_u64 {
        for (no, id) in ids.iter().enumerate() {
            for k in 0..8 {
                net.saw(*id, W, FunctionId(no as u64 * 1_000 + s * 8 + k), Hint::Loading);
            }
        }
        net.run(1_000);
    }
    let heard = |id: &u64| hints(&net, *id).iter().map(|h| h.1).collect::<BTreeSet<_>>().len();
    // Eighty functions of each of eleven others.
    assert!(heard(&old) >= 300, "{} of 880", heard(&old));
    let new = ids.iter().filter(|id| **id != old);
    let worst = new.map(|id| not_spread(&net, *id)).max();
    assert!(worst > Some(0), "it was more than fits");
    assert!(worst_second(&net) <= MOST, "{}", worst_second(&net));
}

/// What is seen as soon as members know of each other reaches all who hold it: it does not wait for the next tick. Nobody
/// says it again until its function is called anew.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
#[test_case(5)]
fn what_is_seen_the_moment_members_meet_is_held_by_all_three(seed: u64) {
    let mut net = Net::new(seed, 3);
    net.directory = Some(BUDGET);
    let ids: Vec<u64> = (0..3).map(|name| net.start(name, &[0, 1, 2])).collect();
    while net.counts() != BTreeSet::from([3]) {
        net.run(1);
    }
    net.saw(ids[0], W, F, Hint::Warm);
    net.run(1_000);
    for id in &ids {
        assert_eq!(net.nodes[id].fleet.directory().map(|d| d.len()), Some(1), "{id}");
    }
}

/// The way of a question, where links are up: it does not wait for the ticks.
#[test]
fn an_answer_comes_within_a_few_ways() {
    let (mut net, ids) = fleet(2, 60);
    net.saw(ids[3], W, F, Hint::Warm);
    net.run(2_500);
    let asker = *outsiders(&net, F).iter().find(|id| **id != ids[3]).expect("there are some");
    // Another function of the column opens the link.
    let other = (10..).map(FunctionId).find(|f| {
        let d = net.nodes[&asker].fleet.directory().expect("it takes part");
        d.contacts_for(*f) == d.contacts_for(F)
    });
    net.wanted(asker, other.expect("there are many"));
    net.run(1_000);
    net.wanted(asker, F);
    net.run(30);
    assert!(knows(&net, asker, Hint::Warm), "{:?}", net.nodes[&asker].fleet.directory().map(|d| d.counts()));
}

#[test]
fn a_question_is_one_at_a_time_and_not_asked_again_while_the_answer_holds() {
    let (mut net, ids) = fleet(3, 12);
    net.saw(ids[0], W, F, Hint::Warm);
    net.run(1_000);
    let asker = *ids[1..].iter().find(|id| !holders(&net, F).contains(id)).expect("some do not hold it");
    forget_figures(&mut net);
    (0..100).for_each(|_| net.wanted(asker, F));
    net.run(300);
    (0..100).for_each(|_| net.wanted(asker, F));
    net.run(4_000);
    (0..100).for_each(|_| net.wanted(asker, F));
    net.run(300);
    assert_eq!(net.nodes[&asker].acts.kinds.get(&Kind::ASK), Some(&1));
    let d = net.nodes[&asker].fleet.directory().expect("it takes part");
    assert_eq!((d.counts().questions, d.counts().answers, d.open_question_count()), (1, 1, 0));
}

/// A question for a copy that somebody has seen, over a link that is up: who asks, for what, and whom.
fn asked_over_a_link(net: &mut Net, ids: &[u64]) -> (u64, FunctionId, u64) {
    let functions: Vec<FunctionId> = (100..140).map(FunctionId).collect();
    functions.iter().for_each(|f| net.saw(ids[0], W, *f, Hint::Warm));
    net.run(2_500);
    for f in functions {
        let held = holders(net, f);
        let asker = *ids[1..].iter().find(|id| !held.contains(id)).expect("some do not hold it");
        net.wanted(asker, f);
        let asked = net.nodes[&asker].fleet.directory().and_then(|d| d.asked_member(f)).expect("it asks");
        let asked = *ids.iter().find(|id| member(net, **id) == asked).expect("it lives");
        if asked != ids[0] && net.linked(asker, asked) {
            return (asker, f, asked);
        }
        net.run(300);
    }
    panic!("no link was ever up");
}

fn is_told(net: &Net, id: u64, function: FunctionId) -> bool {
    hints(net, id).iter().any(|h| (h.0, h.1) == (W, function))
}

#[test]
fn a_holder_that_dies_while_it_is_asked_is_passed_over() {
    let (mut net, ids) = fleet(4, 12);
    let (asker, f, asked) = asked_over_a_link(&mut net, &ids);
    net.kill(asked);
    net.run(150);
    assert!(is_told(&net, asker, f), "another was asked as soon as the link ended");
}

/// One that says nothing though its links stand is not waited for, and not asked first for a while.
#[test]
fn a_holder_that_stands_still_is_passed_over() {
    let (mut net, ids) = fleet(5, 12);
    let (asker, f, asked) = asked_over_a_link(&mut net, &ids);
    net.pause(asked, 4_000);
    net.run(600);
    assert!(is_told(&net, asker, f));
    assert_eq!(net.nodes[&asker].fleet.directory().map(|d| d.counts().unanswered), Some(1));
}

/// It comes back with what it held before, and with what lay in its sockets meanwhile: a copy that is gone is not told as
/// one that stands, whichever holder is asked.
#[test]
fn a_holder_that_stood_still_returns_with_old_knowledge() {
    let (mut net, ids) = fleet(6, 12);
    let held = holders(&net, F);
    let seer = *ids.iter().find(|id| !held.contains(id)).expect("nine do not hold it");
    net.saw(seer, W, F, Hint::Warm);
    net.run(1_000);
    let stopped = held[0];
    net.pause(stopped, 3_000);
    net.run(500);
    // What is told meanwhile lies before it, and reads young when it wakes.
    net.saw(seer, W, F, Hint::Loading);
    net.run(600);
    net.saw(seer, W, F, Hint::Gone);
    net.run(1_950);
    assert_eq!(
        net.nodes[&stopped].fleet.directory().map(|d| d.len()),
        Some(0),
        "it has missed what others heard"
    );
    net.run(1_500);
    for asker in ids.iter().filter(|id| !held.contains(id) && **id != seer) {
        net.wanted(*asker, F);
        net.run(200);
    }
    net.run(2_000);
    for asker in ids.iter().filter(|id| !held.contains(id) && **id != seer) {
        let last = hints(&net, *asker).iter().rev().find(|h| (h.0, h.1) == (W, F));
        assert!(last.is_none_or(|h| h.2 == Hint::Gone), "{last:?}");
    }
}

/// It reads what lay in a socket before it has noticed that it stood still.
#[test]
fn what_lay_in_a_socket_is_not_taken_for_young() {
    let (mut net, ids) = fleet(22, 6);
    let (to, from) =
        (ids[0], *ids[1..].iter().find(|id| net.linked(ids[0], **id)).expect("it has neighbours"));
    net.pause(to, 2_000);
    net.run(1_900);
    let frame = directory_frames::observations_frame(net.now, &[row(1, F.0, 5, 1, net.now)]);
    net.forge(from, to, &frame);
    assert_eq!(net.nodes[&to].fleet.directory().map(|d| d.len()), Some(0));
}

/// While members change two views name other holders: whoever asks is told as soon as what is seen is told again.
#[test]
fn two_views_of_who_holds_it_while_members_change() {
    let (mut net, ids) = fleet(7, 40);
    let seer = ids[20];
    net.saw(seer, W, F, Hint::Warm);
    net.run(1_000);
    for holder in holders(&net, F).into_iter().filter(|h| *h != seer) {
        net.kill(holder);
    }
    for name in 40..60 {
        net.start(name, &[0, 1, 2]);
    }
    // Nobody has seen yet who died; whoever asks may be told nothing, and nothing waits.
    net.run(300);
    let asker = *net.nodes.keys().rev().find(|id| **id != seer).expect("many live");
    net.wanted(asker, F);
    for _ in 0..8 {
        net.run(1_000);
        net.saw(seer, W, F, Hint::Warm);
        net.wanted(asker, F);
    }
    assert!(net.alike());
    assert!(knows(&net, asker, Hint::Warm));
    assert!(worst_second(&net) <= MOST, "{}", worst_second(&net));
}

/// Each half goes on by itself; after the cut nothing is caught up at once.
#[test_case(false ; "the directory alone")]
#[test_case(true ; "with what it leaves for the rings")]
fn a_cut_and_its_end_bring_no_burst_over_the_budget(spreads: bool) {
    let (mut net, ids) = fleet_with(8, 60, BUDGET, spreads);
    let busy = |net: &mut Net, seconds: usize| {
        for s in 0..seconds {
            for (no, id) in ids.iter().enumerate() {
                for k in 0..10 {
                    let f = FunctionId(((no * 7 + k * 13 + s) % 200) as u64);
                    net.wanted(*id, f);
                    net.saw(*id, WorkerId((no % 30) as u64), f, Hint::Warm);
                }
            }
            net.run(1_000);
        }
    };
    busy(&mut net, 3);
    let (left, right): (Vec<usize>, Vec<usize>) = ((0..30).collect(), (30..60).collect());
    net.cut_apart(&left, &right);
    busy(&mut net, 6);
    net.cut.clear();
    busy(&mut net, 12);
    assert!(worst_second(&net) <= MOST, "{}", worst_second(&net));
    assert_eq!(net.counts(), BTreeSet::from([60]), "and both are one again");
    net.saw(ids[4], W, F, Hint::Loading);
    net.run(2_000);
    net.wanted(ids[50], F);
    net.run(1_000);
    assert!(knows(&net, ids[50], Hint::Loading));
}

/// All have RPCs of one function in the same second, and all see copies of it.
#[test_case(false ; "the directory alone")]
#[test_case(true ; "with what it leaves for the rings")]
fn a_function_suddenly_called_everywhere_floods_no_holder(spreads: bool) {
    let (mut net, ids) = fleet_with(9, 150, BUDGET, spreads);
    net.saw(ids[0], W, F, Hint::Loading);
    net.run(2_500);
    forget_figures(&mut net);
    for round in 0..5_u64 {
        for (no, id) in ids.iter().enumerate() {
            net.wanted(*id, F);
            net.saw(*id, WorkerId(no as u64 % 20 + round), F, Hint::Warm);
        }
        net.run(1_000);
    }
    assert!(worst_second(&net) <= MOST, "{}", worst_second(&net));
    let told = ids.iter().filter(|id| hints(&net, **id).iter().any(|h| h.1 == F)).count();
    assert!(told >= 140, "{told} of 150 were told of it");
    for id in &ids {
        let d = net.nodes[id].fleet.directory().expect("it takes part");
        assert!(
            d.len() <= 64 && d.subscriber_count() <= 128,
            "{} rows, {} subscribers",
            d.len(),
            d.subscriber_count()
        );
    }
}

#[test]
fn a_newcomer_that_knows_nothing_is_told_when_it_asks_and_holds_what_is_told_from_then_on() {
    let (mut net, ids) = fleet(10, 30);
    net.saw(ids[3], W, F, Hint::Warm);
    net.run(2_500);
    let new = net.start(30, &[0, 1, 2]);
    // It serves from its first moment: what it wants is asked for when there is somebody to ask.
    net.wanted(new, F);
    net.run(1_000);
    net.wanted(new, F);
    net.run(2_500);
    net.wanted(new, F);
    net.run(700);
    assert!(knows(&net, new, Hint::Warm));
}

/// It does not have to find each copy anew, one RPC after the other.
#[test]
fn one_that_starts_is_told_some_of_the_latest_before_it_asks() {
    let (mut net, ids) = fleet(23, 30);
    (100..160).for_each(|f| net.saw(ids[3], W, FunctionId(f), Hint::Warm));
    net.run(2_500);
    let new = net.start(30, &[0, 1, 2]);
    net.run(1_500);
    assert!(hints(&net, new).len() >= 15, "{}", hints(&net, new).len());
    assert_eq!(net.nodes[&new].acts.kinds.get(&Kind::ASK), None);
}

#[test_case(false ; "the directory alone")]
#[test_case(true ; "with what it leaves for the rings")]
fn all_that_start_at_once_stay_within_the_budget(spreads: bool) {
    let mut net = Net::new(11, 100);
    (net.directory, net.spreads) = (Some(BUDGET), spreads);
    let ids: Vec<u64> = (0..100).map(|name| net.start(name, &[0, 1, 2])).collect();
    for round in 0..60_u64 {
        for (no, id) in ids.iter().enumerate() {
            let f = FunctionId((no as u64 + round) % 300);
            net.wanted(*id, f);
            net.saw(*id, WorkerId(no as u64 % 30), f, Hint::Loading);
        }
        net.run(100);
    }
    assert!(worst_second(&net) <= MOST, "{}", worst_second(&net));
    assert!(net.alike());
}

/// What one instance sends for the same work is the same, however many there are.
/// With the rings it is as much as fits: each second of each instance and size.
#[test_case(false ; "the directory alone")]
#[test_case(true ; "with what it leaves for the rings")]
fn what_one_sends_does_not_grow_with_their_number(spreads: bool) {
    let mean = |n: usize| {
        let (mut net, ids) = fleet_with(12, n, BUDGET, spreads);
        let work = |net: &mut Net, seconds: u64| {
            for s in 0..seconds {
                for (no, id) in ids.iter().enumerate() {
                    // In step with the fleet: functions and workers grow as it does, each sees one new thing a second.
                    let f = FunctionId((no as u64 * 31 + s * 7) % (20 * n as u64));
                    net.wanted(*id, f);
                    net.saw(*id, WorkerId((no as u64 * 17 + s) % (2 * n as u64)), f, Hint::Loading);
                }
                net.run(1_000);
            }
        };
        work(&mut net, 10);
        forget_figures(&mut net);
        work(&mut net, 10);
        assert!(worst_second(&net) <= MOST, "{} at {n}", worst_second(&net));
        let all: usize = net.nodes.values().flat_map(|node| node.acts.sent.iter().map(|(_, b)| b)).sum();
        all as f64 / n as f64 / 10.0
    };
    let (few, some, many) = (mean(30), mean(90), mean(180));
    let told = format!("{few:.0} bytes a second with 30, {some:.0} with 90, {many:.0} with 180");
    // Over ten seconds, and what had been saved up.
    let most = 1.1 * BUDGET as f64;
    assert!(few < most && some < most && many < most, "{told}");
    assert!(spreads || (many <= 1.6 * few && many < BUDGET as f64), "{told}");
}

fn row(worker: u64, function: u64, age_ms: u64, no: u64, now: Time) -> Observation {
    let at = now - Time(age_ms * 10);
    let (worker, function) = (WorkerId(worker), FunctionId(function));
    Observation { worker, function, hint: Hint::Warm, held_rpcs: 0, observed_at: at, run: Run(77), seq: no }
}

#[test]
fn a_peer_that_floods_is_read_so_much_and_no_more() {
    let (mut net, ids) = fleet(13, 6);
    let (to, from) =
        (ids[0], *ids[1..].iter().find(|id| net.linked(ids[0], **id)).expect("it has neighbours"));
    for second in 0..10_u64 {
        for frame in 0..100 {
            let no = |k: u64| 1 + k + frame * 500 + second * 50_000;
            let rows: Vec<Observation> = (0..500).map(|k| row(no(k), no(k), 0, no(k), net.now)).collect();
            let frame = directory_frames::observations_frame(net.now, &rows);
            net.forge(from, to, &frame);
        }
        net.run(1_000);
    }
    let d = net.nodes[&to].fleet.directory().expect("it takes part");
    assert!(d.len() <= 6_000, "{} rows of half a million", d.len());
    assert!(d.counts().ignored >= 490_000, "{:?}", d.counts());
    assert!(worst_second(&net) <= MOST, "{}", worst_second(&net));
    assert!(net.linked(from, to), "what it tells as a member is still heard");
}

/// Within what is read of one, a liar tells of copies that are not there: rows stay bounded, and what is seen later holds.
#[test]
fn one_that_lies_within_bounds_takes_no_room_from_what_is_seen_later() {
    let (mut net, ids) = fleet(14, 6);
    let held = holders(&net, F);
    let to = held[0];
    let from = *ids.iter().find(|id| **id != to && net.linked(to, **id)).expect("it has neighbours");
    for second in 0..20_u64 {
        let rows: Vec<Observation> =
            (0..400).map(|k| row(1_000 + second * 400 + k, F.0, 0, 1 + second * 400 + k, net.now)).collect();
        let frame = directory_frames::observations_frame(net.now, &rows);
        net.forge(from, to, &frame);
        net.run(200);
    }
    net.saw(ids[5], W, F, Hint::Warm);
    net.run(1_500);
    let d = net.nodes[&to].fleet.directory().expect("it takes part");
    assert!(d.len() <= 64, "{} rows of one function", d.len());
    let asker = *ids.iter().find(|id| !held.contains(id) && **id != ids[5]).expect("some do not hold it");
    net.wanted(asker, F);
    net.run(1_000);
    assert!(knows(&net, asker, Hint::Warm), "the latest come first in an answer");
}

#[test_case(Frame::new(Kind::SIGHTS).ints(Field::ROWS, &[1, 2, 3]) ; "half a row")]
#[test_case(Frame::new(Kind::SIGHTS).text(Field::ROWS, "rows") ; "rows that are a text")]
#[test_case(Frame::new(Kind::COPIES).ints(Field::ROWS, &[0; 7 * 1_025]) ; "more rows than a frame holds")]
#[test_case(Frame::new(Kind::ASK).ints(Field::FUNCTIONS, &[0; 1_025]) ; "more names than a frame holds")]
#[test_case(Frame::new(Kind::DIRECTORY) ; "no word of what the link is for")]
fn a_spoilt_frame_closes_that_link_alone(frame: Frame) {
    let (mut net, ids) = fleet(15, 6);
    let (to, from) =
        (ids[0], *ids[1..].iter().find(|id| net.linked(ids[0], **id)).expect("it has neighbours"));
    let others =
        |net: &Net| ids.iter().filter(|id| **id != to && **id != from && net.linked(to, **id)).count();
    let before = (net.nodes[&to].fleet.link_count(), others(&net));
    net.forge(from, to, &frame);
    assert_eq!((net.nodes[&to].fleet.link_count(), others(&net)), (before.0 - 1, before.1));
    net.run(5_000);
    assert!(net.linked(from, to) && net.alike(), "the link is opened anew, as nobody died");
}

#[test]
fn hints_of_a_kind_that_is_not_known_yet_are_passed_over() {
    let (mut net, ids) = fleet(16, 3);
    let rows = [[1, F.0, 9, 0, 0, 5, 1], [2, F.0, 3, 0, 0, 5, 2]].concat();
    let from = *ids[1..].iter().find(|id| net.linked(ids[0], **id)).expect("it has neighbours");
    net.forge(from, ids[0], &Frame::new(Kind::SIGHTS).ints(Field::ROWS, &rows));
    assert_eq!(net.nodes[&ids[0]].fleet.directory().map(|d| d.len()), Some(1));
}

/// For a release old and new run in one fleet: neighbours of an old one tell as before, and old ones are asked for nothing.
#[test]
fn a_new_one_among_old_ones_is_told_and_tells_as_before() {
    let mut net = Net::new(17, 12);
    let mut ids: Vec<u64> = (0..11).map(|name| net.start(name, &[0, 1, 2])).collect();
    net.directory = Some(BUDGET);
    let new = net.start(11, &[0, 1, 2]);
    ids.push(new);
    net.run(8_000);
    net.saw(ids[4], W, F, Hint::Loading);
    net.run(500);
    assert!(knows(&net, new, Hint::Loading));
    net.saw(new, W, F, Hint::Warm);
    net.run(500);
    assert!(ids[..11].iter().all(|id| knows(&net, *id, Hint::Warm)));
    (0..50).for_each(|f| net.wanted(new, FunctionId(f)));
    net.run(5_000);
    assert!(net.alike());
    assert_eq!(net.nodes[&new].fleet.directory_link_count(), 0, "nobody to ask");
    assert_eq!(net.nodes[&new].acts.kinds.get(&Kind::ASK), None);
}

#[test]
fn half_of_them_old_all_serve_and_the_new_ones_ask_each_other() {
    let mut net = Net::new(18, 20);
    let mut ids = Vec::new();
    for name in 0..20 {
        net.directory = (name % 2 == 0).then_some(BUDGET);
        ids.push(net.start(name, &[0, 1, 2]));
    }
    net.run(8_000);
    net.saw(ids[4], W, F, Hint::Warm);
    net.saw(ids[5], WorkerId(2), F, Hint::Warm);
    net.run(2_000);
    let old = |no: &usize| no % 2 == 1 && *no != 5;
    assert!((0..20).filter(old).all(|no| knows(&net, ids[no], Hint::Warm)), "round the rings");
    for no in (0..20).filter(|no| no % 2 == 0 && *no != 4) {
        net.wanted(ids[no], F);
        net.run(300);
    }
    net.run(3_000);
    assert!((0..20).filter(|no| no % 2 == 0 && *no != 4).all(|no| knows(&net, ids[no], Hint::Warm)));
    assert!(net.alike());
}

/// Links for the directory alone are few, and go when nothing goes over them; nobody is judged by them.
#[test]
fn links_that_are_idle_are_closed() {
    let (mut net, ids) = fleet(19, 60);
    (0..200).for_each(|f| net.wanted(ids[7], FunctionId(f)));
    net.run(5_000);
    let open = net.nodes[&ids[7]].fleet.directory_link_count();
    assert!((1..=30).contains(&open), "{open} links to ask 59 others by");
    net.run(160_000);
    let left: usize = ids.iter().map(|id| net.nodes[id].fleet.directory_link_count()).sum();
    assert_eq!((left, net.counts()), (0, BTreeSet::from([60])));
}

/// Whichever way links come and go: members die, stand still, are cut off and start anew, others ask, links idle out.
#[test_case(31)]
#[test_case(32)]
#[test_case(33)]
fn whom_a_link_reaches_is_known_however_links_come_and_go(seed: u64) {
    let (mut net, _) = fleet(seed, 24);
    let mut checked = 0;
    for round in 0..60_u64 {
        let ids = net.living();
        let one = ids[net.rng.rand_range(0..ids.len() as u64) as usize];
        let name = net.nodes[&one].name;
        match round % 6 {
            0 => net.kill(one),
            1 => net.pause(one, 900 + 40 * round),
            2 => net.cut_apart(&[name], &(0..24).filter(|n| *n != name).collect::<Vec<usize>>()),
            3 => net.cut.clear(),
            4 => drop(net.start(24 + round as usize, &[0, 1, 2])),
            _ => net.run(if round % 18 == 5 { 70_000 } else { 3_000 }),
        }
        for id in net.living() {
            let f = FunctionId(net.rng.rand_range(0..50));
            net.wanted(id, f);
            net.saw(id, WorkerId(round), f, Hint::Warm);
        }
        net.run(700);
        let all: Vec<MemberId> = net.nodes.values().map(|n| n.fleet.own_id()).collect();
        for node in net.nodes.values() {
            let mut stand: BTreeMap<MemberId, BTreeSet<LinkId>> = BTreeMap::new();
            for (link, member) in node.fleet.peer_links().chain(node.fleet.directory_peers()) {
                stand.entry(member).or_default().insert(link);
            }
            for member in &all {
                let kept = node.fleet.link_to(*member);
                let there = stand.get(member);
                assert_eq!(kept.is_some(), there.is_some(), "round {round}: {kept:?} of {there:?}");
                assert!(kept.is_none_or(|link| there.is_some_and(|all| all.contains(&link))));
                checked += usize::from(kept.is_some());
            }
        }
    }
    assert!(checked > 5_000, "{checked} links looked at");
}

#[test]
fn one_that_keeps_out_of_it_holds_for_others_and_neither_tells_nor_asks() {
    let mut net = Net::new(20, 3);
    net.directory = Some(BUDGET);
    let one = net.start(0, &[0, 1, 2]);
    net.bounds.exchange_hints = false;
    let out_of_it = net.start(1, &[0, 1, 2]);
    net.bounds.exchange_hints = true;
    let two = net.start(2, &[0, 1, 2]);
    net.run(6_000);
    net.saw(one, W, F, Hint::Warm);
    net.saw(out_of_it, WorkerId(2), F, Hint::Warm);
    net.wanted(out_of_it, F);
    net.run(1_000);
    net.wanted(two, F);
    net.run(500);
    assert_eq!(hints(&net, two), [(W, F, Hint::Warm, 0)]);
    assert_eq!(hints(&net, out_of_it), []);
    assert_eq!(net.nodes[&out_of_it].fleet.directory().map(|d| d.len()), Some(1));
}

/// Where more is to be told than the budget allows, answers and loads leave first and the same again last, and what was
/// left out is counted.
#[test]
fn the_most_useful_leaves_first_and_what_is_left_out_is_counted() {
    let mut net = Net::new(21, 3);
    net.directory = Some(1_000);
    let ids: Vec<u64> = (0..3).map(|name| net.start(name, &[0, 1, 2])).collect();
    net.run(6_000);
    let asker = ids[1];
    net.wanted(asker, F);
    net.run(500);
    for f in 100..600 {
        net.saw(ids[0], W, FunctionId(f), Hint::Warm);
    }
    net.saw(ids[0], W, F, Hint::Loading);
    net.run(300);
    assert!(knows(&net, asker, Hint::Loading), "it did not wait behind 500 copies");
    net.run(5_000);
    let counts = net.nodes[&ids[0]].fleet.directory().expect("it takes part").counts();
    assert!(counts.dropped > 0 && counts.bytes <= 1_000 * 13, "{counts:?}");
}

// The state machine alone.

fn alone(n: u64) -> (CopyDirectory, Vec<MemberId>) {
    alone_with(n, 1 << 20)
}

fn alone_with(n: u64, bytes: u64) -> (CopyDirectory, Vec<MemberId>) {
    let id = |no: u64| MemberId { instance: InstanceId::of(&format!("n{no}")), run: Run(no << 48) };
    let all: Vec<MemberId> = (1..=n).map(id).collect();
    let terms = DirectorySettings {
        bytes_per_second: bytes,
        observation_lifetime: Time(80_000),
        exchange_hints: true,
        gossips: false,
    };
    let mut d = CopyDirectory::new(Time(1_000_000), all[0], terms);
    d.update_members(all[0], all.iter().copied());
    (d, all)
}

/// What it would send now to whom it is linked with.
fn sent(d: &mut CopyDirectory, now: Time) -> Vec<(MemberId, Vec<Observation>, Vec<Observation>)> {
    let (parcels, _) = d.take_batches(now, |_| true);
    parcels.into_iter().map(|(to, p)| (to, p.copies, p.observations)).collect()
}

#[test]
fn those_who_are_told_of_changes_are_bounded_and_forgotten() {
    let (mut d, all) = alone(400);
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
fn an_answer_holds_the_latest_rows_and_no_more_than_eight() {
    let (mut d, all) = alone(3);
    let now = Time(1_000_000);
    let rows = (0..40).map(|k| row(k, F.0, 4_000 - 100 * k, k + 1, now)).collect();
    d.observations_received(now, all[1], rows);
    d.question_received(now, all[2], &[F]);
    let told = sent(&mut d, now).into_iter().find(|(to, ..)| *to == all[2]).expect("an answer").1;
    let workers: Vec<u64> = told.iter().map(|s| s.worker.0).collect();
    assert_eq!(workers, (32..40).rev().collect::<Vec<u64>>());
}

/// A row that comes back by another way looks younger by the time on links, and is known by its number.
#[test]
fn a_row_that_comes_again_is_not_told_again() {
    let (mut d, all) = alone(3);
    let now = Time(1_000_000);
    d.question_received(now, all[2], &[F]);
    d.observations_received(now, all[1], vec![row(1, F.0, 50, 7, now)]);
    assert!(!sent(&mut d, now).is_empty());
    d.observations_received(now, all[1], vec![row(1, F.0, 20, 7, now)]);
    assert!(sent(&mut d, now).is_empty());
}

/// A call costs by what leaves with it, not by what waits for a link, for others or for the budget.
#[test]
fn what_waits_is_not_looked_through_at_each_call() {
    let (mut d, _) = alone(400);
    let mut now = Time(1_000_000);
    let looks = Cell::new(0);
    let far = |_: MemberId| {
        looks.set(looks.get() + 1);
        false
    };
    (0..2_000).for_each(|f| d.observe(now, W, FunctionId(f), Hint::Warm, 0));
    let (_, unlinked) = d.take_batches(now, far);
    let first = looks.replace(0);
    assert!(first <= 100 && unlinked.len() == first, "{first} members are spoken to, each looked for once");
    assert_eq!(d.unlinked_members().iter().collect::<BTreeSet<_>>(), unlinked.iter().collect());
    for _ in 0..500 {
        now = now + Time(10);
        d.take_batches(now, far);
    }
    assert_eq!(looks.get(), 0, "nothing has changed");
    d.link_up(unlinked[0]);
    let (parcels, _) = d.take_batches(now + Time(300), |m| m == unlinked[0]);
    assert_eq!(parcels.into_keys().collect::<Vec<_>>(), [unlinked[0]]);
}

/// While the budget is used up nothing is looked at, and then what waits for one leaves together.
#[test]
fn what_waits_for_the_budget_leaves_in_few_frames() {
    let (mut d, all) = alone_with(3, 3_000);
    let (mut now, mut frames, mut rows) = (Time(1_000_000), 0, 0);
    for call in 0..2_000_u64 {
        now = now + Time(50);
        d.observe(now, W, FunctionId(call), Hint::Warm, 0);
        for (to, _, sights) in sent(&mut d, now) {
            assert!(all[1..].contains(&to));
            (frames, rows) = (frames + 1, rows + sights.len());
            d.charge(16 + 32 * sights.len());
        }
    }
    // Ten seconds: ten times at two members, and a frame more as it begins.
    assert!(frames <= 202, "{frames} frames");
    assert!(rows >= 800, "{rows} rows of 32 bytes out of 3,000 bytes a second");
}

/// A question and its answer wait for nothing and take along what waits; a load waits a tenth of a second for others, the
/// same again longer.
#[test]
fn what_nobody_waits_for_is_gathered() {
    let (mut d, all) = alone(3);
    let t0 = Time(1_000_000);
    d.observe(t0, W, F, Hint::Loading, 0);
    assert_eq!(sent(&mut d, t0).len(), 2, "the first after a while goes at once");
    let row_of = |worker: u64, now: Time| row(worker, F.0, 0, worker, now);
    (2..5).for_each(|w| d.observe(t0 + Time(w * 100), WorkerId(w), F, Hint::Loading, 0));
    assert!(sent(&mut d, t0 + Time(900)).is_empty());
    assert_eq!(sent(&mut d, t0 + Time(1_000)).iter().map(|(.., s)| s.len()).collect::<Vec<_>>(), [3, 3]);
    d.observe(t0 + Time(1_100), WorkerId(6), F, Hint::Loading, 0);
    d.observations_received(t0 + Time(1_100), all[1], vec![row_of(7, t0 + Time(1_100))]);
    d.question_received(t0 + Time(1_100), all[2], &[F]);
    let told = sent(&mut d, t0 + Time(1_100));
    assert_eq!(told.len(), 1, "one that asked is answered at once, another not told for it");
    assert_eq!((told[0].0, told[0].2.len()), (all[2], 1), "and what waits goes along");
    // The same again, two seconds on.
    let t1 = t0 + Time(30_000);
    d.observe(t1, WorkerId(6), F, Hint::Loading, 0);
    assert!(!sent(&mut d, t1).is_empty());
    d.observe(t1 + Time(100), WorkerId(4), F, Hint::Loading, 0);
    assert!(sent(&mut d, t1 + Time(2_900)).is_empty());
    assert!(!sent(&mut d, t1 + Time(3_000)).is_empty());
}

/// A copy that was told of as the same again goes with those that came up, if that is what it has become.
#[test]
fn what_becomes_news_while_it_waits_leaves_as_news() {
    let (mut d, _) = alone(3);
    let t0 = Time(1_000_000);
    (1..3).for_each(|w| d.observe(t0, WorkerId(w), F, Hint::Loading, 0));
    assert!(!sent(&mut d, t0).is_empty());
    let t1 = t0 + Time(20_000);
    d.observe(t1, WorkerId(2), F, Hint::Loading, 0);
    assert!(!sent(&mut d, t1).is_empty());
    d.observe(t1 + Time(10), WorkerId(1), F, Hint::Loading, 0);
    assert!(sent(&mut d, t1 + Time(10)).is_empty(), "it waits for more of the kind");
    d.observe(t1 + Time(20), WorkerId(1), F, Hint::Warm, 0);
    let told = sent(&mut d, t1 + Time(20));
    assert!(told.iter().all(|(.., s)| s.len() == 1 && s[0].hint == Hint::Warm) && told.len() == 2);
    assert!(sent(&mut d, t1 + Time(9_000)).is_empty(), "once");
}

/// The rings leave half of what may be saved up, so a question never waits for them.
#[test]
fn what_goes_round_the_rings_leaves_a_reserve_to_the_directory() {
    let (mut d, all) = alone_with(3, 3_000);
    let now = Time(1_000_000);
    assert_eq!(d.gossip_allowance(now), 1_500);
    d.charge(1_500);
    assert_eq!(d.gossip_allowance(now), 0);
    d.question_received(now, all[1], &[F]);
    assert_eq!(sent(&mut d, now).len(), 1);
    d.charge(600);
    assert_eq!(d.gossip_allowance(now + Time(2_000)), 0, "what the directory has used comes first");
    assert_eq!(d.gossip_allowance(now + Time(3_000)), 300);
}

#[test]
fn one_that_takes_no_part_is_neither_asked_nor_told() {
    let (mut d, all) = alone(3);
    assert!(d.mark_non_participant(all[1]));
    d.update_members(all[0], all.iter().copied());
    assert_eq!(d.contacts_for(F), [all[2]]);
    assert_eq!(d.holders(F).map(|h| h.len()), Some(2));
}

proptest! {
    /// Rows in any order and repeated end alike: the latest sight of each function at each worker.
    #[test]
    fn rows_end_alike_whatever_way_they_came(
        rows in proptest::collection::vec((0u64..3, 0u64..3, 0u64..50), 1..40), rotate in 0usize..40
    ) {
        let now = Time(1_000_000);
        // Each of a run of its own: the numbers of one run come in its order.
        let seen = |(no, (w, f, age)): (usize, (u64, u64, u64))| Observation { run: Run(100 + no as u64), ..row(w, f, age, 1, now) };
        let mut numbered: Vec<Observation> = rows.into_iter().enumerate().map(seen).collect();
        let told = |order: &[Observation]| {
            let (mut d, all) = alone(3);
            order.iter().for_each(|s| drop(d.observations_received(now, all[1], vec![*s, *s])));
            d.question_received(now, all[2], &[FunctionId(0), FunctionId(1), FunctionId(2)]);
            let mut all: Vec<(WorkerId, FunctionId, Time)> = sent(&mut d, now).into_iter().filter(|(to, ..)| *to == all[2])
                .flat_map(|(_, copies, _)| copies).map(|s| (s.worker, s.function, s.at)).collect();
            all.sort();
            all
        };
        let first = told(&numbered);
        let by = rotate % numbered.len();
        numbered.rotate_left(by);
        prop_assert_eq!(told(&numbered), first);
    }
}
