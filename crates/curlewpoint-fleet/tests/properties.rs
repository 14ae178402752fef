//! Properties that hold under any order of events.

mod common;

use std::collections::BTreeSet;

use common::SimNetwork;
use curlewpoint::types::{FunctionId, Hint, Lifecycle, Time, WorkerId};
use curlewpoint_fleet::{
    EndpointEntry, EndpointTable, HintTable, InstanceId, ListSource, MemberState, Observation, RunId,
};
use proptest::prelude::*;

fn member_state() -> impl Strategy<Value = MemberState> {
    (0u64..4, any::<bool>(), any::<bool>(), any::<bool>(), 0u8..16).prop_map(
        |(incarnation, left, dead, list_service_lost, suspected_rings)| MemberState {
            incarnation,
            left,
            dead,
            list_service_lost,
            suspected_rings,
        },
    )
}

fn entry(start: u64) -> EndpointEntry {
    let (zone, cell) = Default::default();
    EndpointEntry {
        address: "a".into(),
        lifecycle: Lifecycle::Ready,
        start_id: start,
        started_at: None,
        zone,
        cell,
        size: 1.0,
    }
}

proptest! {
    #[test]
    fn member_states_merge_alike_in_any_order_grouping_and_repetition(a in member_state(), b in member_state(), c in member_state()) {
        prop_assert_eq!(a.merge(b), b.merge(a));
        prop_assert_eq!(a.merge(b).merge(c), a.merge(b.merge(c)));
        prop_assert_eq!(a.merge(a), a);
        prop_assert_eq!(a.merge(b).merge(b), a.merge(b));
    }

    /// Whole lists and changes from the service and from peers, in any order: the version held never decreases,
    /// and with the whole newest list the table holds exactly that.
    #[test]
    fn a_list_version_never_decreases(
        lists in proptest::collection::vec((0u64..3, 1u64..6, proptest::option::of(0u64..6), 0u64..4, any::<bool>()), 1..40)
    ) {
        let mut table = EndpointTable::new(10);
        let mut held = None;
        for (epoch, version, from, peer, aborted) in lists {
            table.begin(peer, epoch, version, from);
            table.push_entry(peer, "w", entry(version));
            if aborted {
                table.abort(peer);
            }
            let source = if peer == 0 { ListSource::Service } else { ListSource::Peer(InstanceId(peer)) };
            table.finish(peer, source);
            prop_assert!(table.held() >= held);
            held = table.held();
        }
        table.begin(0, 3, 1, None);
        table.push_entry(0, "w", entry(9));
        table.finish(0, ListSource::Service);
        prop_assert_eq!(table.held(), Some((3, 1)));
        let whole: Vec<_> = table.entries_since(None).into_iter().map(|(n, e)| (n.to_owned(), e.clone())).collect();
        prop_assert_eq!(whole, vec![("w".to_owned(), entry(9))]);
    }
}

fn observation() -> impl Strategy<Value = Observation> {
    let hint = prop_oneof![Just(Hint::Gone), Just(Hint::Full), Just(Hint::Loading), Just(Hint::Warm)];
    (0u64..3, 0u64..3, hint, 0u64..4, 0u64..9, 0u64..4).prop_map(
        |(worker, function, hint, rpcs_held, observed_at, run)| Observation {
            worker: WorkerId(worker),
            function: FunctionId(function),
            hint,
            rpcs_held,
            observed_at: Time(1_000 + observed_at),
            run: RunId(run),
            seq: 0,
        },
    )
}

proptest! {
    /// Observations of each run arrive in order on every path, and later ones are no older; runs interleave,
    /// and rows are repeated.
    #[test]
    fn observations_converge_in_any_interleaving(all in proptest::collection::vec(observation(), 1..40), picks in proptest::collection::vec(0usize..4, 200), repeats in proptest::collection::vec(any::<bool>(), 200)) {
        let mut queues: Vec<Vec<Observation>> = (0..4).map(|r| {
            let mut of: Vec<Observation> = all.iter().filter(|s| s.run == RunId(r)).copied().collect();
            of.sort_by_key(|s| s.observed_at);
            of.iter_mut().enumerate().for_each(|(seq, s)| s.seq = seq as u64 + 1);
            of
        }).collect();
        let (now, lifetime) = (Time(2_000), Time(80_000));
        let mut reference = HintTable::new(now, lifetime, 100);
        for s in queues.iter().flatten() {
            reference.receive(now, *s);
        }
        let mut reordered = HintTable::new(now, lifetime, 100);
        queues.iter_mut().for_each(|q| q.reverse());
        let mut delivered: Vec<Observation> = Vec::new();
        for (pick, repeat) in picks.into_iter().zip(repeats) {
            let Some(s) = queues[pick].pop() else { continue };
            reordered.receive(now, s);
            delivered.push(s);
            if repeat {
                prop_assert!(!reordered.receive(now, delivered[delivered.len() / 2]), "recognised by its sequence number");
            }
        }
        for s in queues.into_iter().flat_map(|q| q.into_iter().rev()) {
            reordered.receive(now, s);
        }
        prop_assert_eq!(reordered.ordered(), reference.ordered());
    }
}

proptest! {
    /// Rows of one run may arrive in any order within a hundred; each counts once.
    #[test]
    fn hints_of_a_run_count_once_in_any_order(
        mut order in Just((1u64..=100).collect::<Vec<u64>>()).prop_shuffle(), from in 0u64..1_000, repeat_from in 0usize..100
    ) {
        let (now, lifetime) = (Time(1_000_000), Time(80_000));
        let seen = |seq: u64| Observation {
            worker: WorkerId(seq % 7), function: FunctionId(seq % 5), hint: Hint::Warm, rpcs_held: 0,
            observed_at: now - Time(1_000 - seq), run: RunId(1), seq: from + seq,
        };
        let (mut reference, mut reordered) = (HintTable::new(now, lifetime, 100), HintTable::new(now, lifetime, 100));
        for (in_order, seq) in (1..=100).zip(&order) {
            reference.receive(now, seen(in_order));
            reordered.receive(now, seen(*seq));
        }
        prop_assert_eq!(reordered.ordered(), reference.ordered());
        // They are recognised by their sequence numbers even if they look younger by now.
        order.rotate_left(repeat_from);
        for seq in order {
            prop_assert!(!reordered.receive(now, Observation { observed_at: now, ..seen(seq) }), "{}", seq);
        }
    }
}

#[derive(Clone, Debug)]
enum Step {
    Start(usize),
    Kill(usize),
    Leave(usize),
    Pause(usize, u64),
    Partition(usize),
    BlockOneWay(usize, usize),
    Heal,
    Change,
    CutFromService(usize),
    Service(bool),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0usize..9).prop_map(Step::Start),
        (0usize..9).prop_map(Step::Kill),
        (0usize..9).prop_map(Step::Leave),
        (0usize..9, 200u64..9_000).prop_map(|(n, ms)| Step::Pause(n, ms)),
        (1usize..8).prop_map(Step::Partition),
        (0usize..9, 0usize..9).prop_map(|(a, b)| Step::BlockOneWay(a, b)),
        Just(Step::Heal),
        Just(Step::Change),
        (0usize..9).prop_map(Step::CutFromService),
        any::<bool>().prop_map(Step::Service),
        (50u64..4_000).prop_map(Step::Wait),
    ]
}

fn apply(net: &mut SimNetwork, step: Step) {
    let id_of = |net: &SimNetwork, name: usize| net.addresses.get(&format!("a{name}")).copied();
    match step {
        Step::Start(name) if id_of(net, name).is_none() => {
            net.start(name, &[0, 1, 2]);
        }
        Step::Kill(name) => id_of(net, name).into_iter().for_each(|id| net.kill(id)),
        Step::Leave(name) => id_of(net, name).into_iter().for_each(|id| net.leave(id)),
        Step::Pause(name, ms) => id_of(net, name).into_iter().for_each(|id| net.pause(id, ms)),
        Step::Partition(at) => {
            let all: Vec<usize> = (0..9).collect();
            net.partition(&all[..at], &all[at..]);
        }
        Step::BlockOneWay(a, b) => drop(net.blocked.insert((a, b))),
        Step::Heal => net.blocked.clear(),
        Step::Change => net.change_list(),
        Step::CutFromService(name) => drop(net.cut_from_service.insert(name)),
        Step::Service(up) => net.service_up = up,
        Step::Wait(ms) => net.run(ms),
        Step::Start(_) => {}
    }
    net.run(100);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 100, failure_persistence: None, ..ProptestConfig::default() })]

    /// After any order of joins, failures, partitions and pauses, once all faults are over: all instances hold
    /// the same records, count exactly the live instances, hold the newest list, and few watch it.
    #[test]
    fn the_fleet_converges_after_any_faults(
        seed: u64, n in 2usize..9, steps in proptest::collection::vec(step(), 1..25)
    ) {
        let mut net = SimNetwork::new(seed, 9);
        for name in 0..n {
            net.start(name, &[0, 1, 2]);
        }
        net.run(3_000);
        steps.into_iter().for_each(|s| apply(&mut net, s));
        net.blocked.clear();
        net.cut_from_service.clear();
        net.service_up = true;
        // A starting instance needs a seed peer that is alive.
        apply(&mut net, Step::Start(0));
        net.run(20_000);
        net.change_list();
        net.run(25_000);
        let living = net.instance_ids().len();
        prop_assert!(net.members_agree(), "{}", net.describe());
        prop_assert_eq!(net.alive_counts(), BTreeSet::from([living]));
        prop_assert_eq!(net.list_versions(), BTreeSet::from([Some(net.list_version)]));
        prop_assert_eq!(net.watcher_count(), living.min(3));
        prop_assert!(net.instance_counts().iter().all(|a| *a >= living as u64));
    }

    /// The claim behind the load limit of cold workers (rule 4): with joins, failures and restarts that are
    /// observed, and a seed peer in the fleet, the sum of all shares never exceeds one.
    #[test]
    fn the_shares_never_sum_to_more_than_one(
        seed: u64, n in 2usize..9, steps in proptest::collection::vec(step(), 1..25)
    ) {
        let mut net = SimNetwork::new(seed, 9);
        for name in 0..n {
            net.start(name, &[0, 1, 2]);
        }
        net.run(4_000);
        let observed = |s: &Step| {
            let first = matches!(s, Step::Kill(0) | Step::Leave(0));
            !first && matches!(s, Step::Start(_) | Step::Kill(_) | Step::Leave(_) | Step::Change | Step::Wait(_))
        };
        steps.into_iter().filter(observed).for_each(|s| apply(&mut net, s));
        net.run(12_000);
        prop_assert!(net.max_share_sum <= 1.0 + 1e-6, "{}: {}", net.max_share_sum, net.describe());
        prop_assert!(net.now > Time(0));
    }
}
