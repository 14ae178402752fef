//! What holds whatever happens, in whatever order.

mod common;

use std::collections::BTreeSet;

use common::Net;
use curlewpoint::types::{FunctionId, Hint, Standing as Lifecycle, Time, WorkerId};
use curlewpoint_fleet::{
    EndpointEntry, EndpointTable, HintTable, InstanceId, ListSource, MemberState, Observation, Run,
};
use proptest::prelude::*;

fn standing() -> impl Strategy<Value = MemberState> {
    (0u64..4, any::<bool>(), any::<bool>(), any::<bool>(), 0u8..16).prop_map(
        |(incarnation, left, dead, blind, doubts)| MemberState {
            incarnation,
            left,
            dead,
            list_service_lost: blind,
            suspicions: doubts,
        },
    )
}

fn entry(start: u64) -> EndpointEntry {
    let (zone, cell) = Default::default();
    EndpointEntry {
        address: "a".into(),
        lifecycle: Lifecycle::Ready,
        start,
        started_at: None,
        zone,
        cell,
        size: 1.0,
    }
}

proptest! {
    #[test]
    fn records_merge_alike_in_any_order_grouping_and_number(a in standing(), b in standing(), c in standing()) {
        prop_assert_eq!(a.merge(b), b.merge(a));
        prop_assert_eq!(a.merge(b).merge(c), a.merge(b.merge(c)));
        prop_assert_eq!(a.merge(a), a);
        prop_assert_eq!(a.merge(b).merge(b), a.merge(b));
    }

    /// Whole lists and changes from the service and from peers, in any order: what is held never goes back, and with the
    /// whole of the newest it is the newest.
    #[test]
    fn a_list_never_goes_back(
        told in proptest::collection::vec((0u64..3, 1u64..6, proptest::option::of(0u64..6), 0u64..4, any::<bool>()), 1..40)
    ) {
        let mut book = EndpointTable::new(10);
        let mut held = None;
        for (epoch, version, from, peer, cut) in told {
            book.begin(peer, epoch, version, from);
            book.push_entry(peer, "w", entry(version));
            if cut {
                book.abort(peer);
            }
            let by = if peer == 0 { ListSource::Service } else { ListSource::Peer(InstanceId(peer)) };
            book.finish(peer, by);
            prop_assert!(book.held() >= held);
            held = book.held();
        }
        book.begin(0, 3, 1, None);
        book.push_entry(0, "w", entry(9));
        book.finish(0, ListSource::Service);
        prop_assert_eq!(book.held(), Some((3, 1)));
        let whole: Vec<_> = book.entries_since(None).into_iter().map(|(n, e)| (n.to_owned(), e.clone())).collect();
        prop_assert_eq!(whole, vec![("w".to_owned(), entry(9))]);
    }
}

fn sight() -> impl Strategy<Value = Observation> {
    let hint = prop_oneof![Just(Hint::Gone), Just(Hint::Full), Just(Hint::Loading), Just(Hint::Warm)];
    (0u64..3, 0u64..3, hint, 0u64..4, 0u64..9, 0u64..4).prop_map(|(worker, function, hint, held, at, run)| {
        Observation {
            worker: WorkerId(worker),
            function: FunctionId(function),
            hint,
            held_rpcs: held,
            observed_at: Time(1_000 + at),
            run: Run(run),
            seq: 0,
        }
    })
}

proptest! {
    /// Each run's sights come in its order on every way and later ones are no older; runs interleave, and rows repeat.
    #[test]
    fn sights_end_alike_whatever_way_they_came(all in proptest::collection::vec(sight(), 1..40), picks in proptest::collection::vec(0usize..4, 200), repeats in proptest::collection::vec(any::<bool>(), 200)) {
        let mut queues: Vec<Vec<Observation>> = (0..4).map(|r| {
            let mut of: Vec<Observation> = all.iter().filter(|s| s.run == Run(r)).copied().collect();
            of.sort_by_key(|s| s.observed_at);
            of.iter_mut().enumerate().for_each(|(no, s)| s.seq = no as u64 + 1);
            of
        }).collect();
        let (now, keep) = (Time(2_000), Time(80_000));
        let mut plain = HintTable::new(now, keep, 100);
        for s in queues.iter().flatten() {
            plain.receive(now, *s);
        }
        let mut mixed = HintTable::new(now, keep, 100);
        queues.iter_mut().for_each(|q| q.reverse());
        let mut came: Vec<Observation> = Vec::new();
        for (pick, again) in picks.into_iter().zip(repeats) {
            let Some(s) = queues[pick].pop() else { continue };
            mixed.receive(now, s);
            came.push(s);
            if again {
                prop_assert!(!mixed.receive(now, came[came.len() / 2]), "known by its number");
            }
        }
        for s in queues.into_iter().flat_map(|q| q.into_iter().rev()) {
            mixed.receive(now, s);
        }
        prop_assert_eq!(mixed.ordered(), plain.ordered());
    }
}

proptest! {
    /// Rows of one run may come in any order within a hundred: each counts once.
    #[test]
    fn hints_of_a_run_count_once_in_any_order(
        mut order in Just((1u64..=100).collect::<Vec<u64>>()).prop_shuffle(), from in 0u64..1_000, again in 0usize..100
    ) {
        let (now, keep) = (Time(1_000_000), Time(80_000));
        let seen = |no: u64| Observation {
            worker: WorkerId(no % 7), function: FunctionId(no % 5), hint: Hint::Warm, held_rpcs: 0,
            observed_at: now - Time(1_000 - no), run: Run(1), seq: from + no,
        };
        let (mut plain, mut mixed) = (HintTable::new(now, keep, 100), HintTable::new(now, keep, 100));
        for (in_order, no) in (1..=100).zip(&order) {
            plain.receive(now, seen(in_order));
            mixed.receive(now, seen(*no));
        }
        prop_assert_eq!(mixed.ordered(), plain.ordered());
        // Known by their numbers, also where they look younger by now.
        order.rotate_left(again);
        for no in order {
            prop_assert!(!mixed.receive(now, Observation { observed_at: now, ..seen(no) }), "{}", no);
        }
    }
}

#[derive(Clone, Debug)]
enum Step {
    Start(usize),
    Kill(usize),
    Leave(usize),
    Pause(usize, u64),
    Cut(usize),
    OneWay(usize, usize),
    Heal,
    Change,
    Blind(usize),
    Service(bool),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0usize..9).prop_map(Step::Start),
        (0usize..9).prop_map(Step::Kill),
        (0usize..9).prop_map(Step::Leave),
        (0usize..9, 200u64..9_000).prop_map(|(n, ms)| Step::Pause(n, ms)),
        (1usize..8).prop_map(Step::Cut),
        (0usize..9, 0usize..9).prop_map(|(a, b)| Step::OneWay(a, b)),
        Just(Step::Heal),
        Just(Step::Change),
        (0usize..9).prop_map(Step::Blind),
        any::<bool>().prop_map(Step::Service),
        (50u64..4_000).prop_map(Step::Wait),
    ]
}

fn play(net: &mut Net, step: Step) {
    let named = |net: &Net, name: usize| net.addresses.get(&format!("a{name}")).copied();
    match step {
        Step::Start(name) if named(net, name).is_none() => {
            net.start(name, &[0, 1, 2]);
        }
        Step::Kill(name) => named(net, name).into_iter().for_each(|id| net.kill(id)),
        Step::Leave(name) => named(net, name).into_iter().for_each(|id| net.leave(id)),
        Step::Pause(name, ms) => named(net, name).into_iter().for_each(|id| net.pause(id, ms)),
        Step::Cut(at) => {
            let all: Vec<usize> = (0..9).collect();
            net.cut_apart(&all[..at], &all[at..]);
        }
        Step::OneWay(a, b) => drop(net.cut.insert((a, b))),
        Step::Heal => net.cut.clear(),
        Step::Change => net.change(),
        Step::Blind(name) => drop(net.blind.insert(name)),
        Step::Service(up) => net.service_up = up,
        Step::Wait(ms) => net.run(ms),
        Step::Start(_) => {}
    }
    net.run(100);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 100, failure_persistence: None, ..ProptestConfig::default() })]

    /// Any order of joins, losses, cuts, pauses and stale views: once all is well again, all hold the same records, count
    /// those who live and no fewer, hold the newest list, and few watch it.
    #[test]
    fn what_was_torn_is_whole_again(
        seed: u64, n in 2usize..9, steps in proptest::collection::vec(step(), 1..25)
    ) {
        let mut net = Net::new(seed, 9);
        for name in 0..n {
            net.start(name, &[0, 1, 2]);
        }
        net.run(3_000);
        steps.into_iter().for_each(|s| play(&mut net, s));
        net.cut.clear();
        net.blind.clear();
        net.service_up = true;
        // Who starts needs one of the peers to begin with that lives.
        play(&mut net, Step::Start(0));
        net.run(20_000);
        net.change();
        net.run(25_000);
        let living = net.living().len();
        prop_assert!(net.alike(), "{}", net.told());
        prop_assert_eq!(net.counts(), BTreeSet::from([living]));
        prop_assert_eq!(net.lists(), BTreeSet::from([Some(net.version)]));
        prop_assert_eq!(net.watchers(), living.min(3));
        prop_assert!(net.instance_counts().iter().all(|a| *a >= living as u64));
    }

    /// Rule 4's claim: with joins, losses and restarts that are heard of, and one of the peers to begin
    /// with in the fleet, the sum of all shares is never above one.
    #[test]
    fn the_shares_never_add_up_to_more_than_one(
        seed: u64, n in 2usize..9, steps in proptest::collection::vec(step(), 1..25)
    ) {
        let mut net = Net::new(seed, 9);
        for name in 0..n {
            net.start(name, &[0, 1, 2]);
        }
        net.run(4_000);
        let heard = |s: &Step| {
            let first = matches!(s, Step::Kill(0) | Step::Leave(0));
            !first && matches!(s, Step::Start(_) | Step::Kill(_) | Step::Leave(_) | Step::Change | Step::Wait(_))
        };
        steps.into_iter().filter(heard).for_each(|s| play(&mut net, s));
        net.run(12_000);
        prop_assert!(net.worst_sum <= 1.0 + 1e-6, "{}: {}", net.worst_sum, net.told());
        prop_assert!(net.now > Time(0));
    }
}
