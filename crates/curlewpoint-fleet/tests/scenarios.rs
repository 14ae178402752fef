//! Scenarios with many instances, one for each failure mode.

mod common;

use std::collections::BTreeSet;

use common::SimNetwork;
use curlewpoint::types::{FunctionId, Hint, Time, WorkerId};
use curlewpoint_fleet::{InstanceId, LinkId, MemberId, RunId};
use test_case::test_case;

/// A fleet of `n` instances started at the same time with the first three as seed peers.
fn fleet(seed: u64, n: usize, configured: u64) -> (SimNetwork, Vec<u64>) {
    let mut net = SimNetwork::new(seed, configured);
    let ids = (0..n).map(|name| net.start(name, &[0, 1, 2])).collect();
    (net, ids)
}

#[test_case(2 ; "two")]
#[test_case(12 ; "twelve")]
#[test_case(100 ; "a hundred")]
fn instances_started_together_converge_and_few_contact_the_list_service(n: usize) {
    let (mut net, _) = fleet(7, n, n as u64);
    net.run(4_000);
    assert!(net.members_agree(), "{:?}", net.alive_counts());
    assert_eq!(net.alive_counts(), BTreeSet::from([n]));
    assert_eq!(net.list_versions(), BTreeSet::from([Some((1, 1))]));
    assert_eq!(net.instance_counts(), BTreeSet::from([n as u64]));
    assert!(net.service_dials.len() <= 12, "{} dials", net.service_dials.len());
    net.run(4_000);
    assert_eq!(net.watcher_count(), n.min(3));
    assert!(net.max_share_sum <= 1.0 + 1e-6, "{}", net.max_share_sum);
}

#[test]
fn a_list_change_reaches_all_instances_within_100_ms() {
    let (mut net, _) = fleet(3, 60, 60);
    net.run(6_000);
    net.change_list();
    net.run(100);
    assert_eq!(net.list_versions(), BTreeSet::from([Some((1, 2))]));
}

#[test]
fn a_fleet_recovers_when_seven_in_ten_including_all_watchers_are_killed() {
    let (mut net, ids) = fleet(5, 40, 40);
    net.run(8_000);
    let killed: Vec<usize> = (0..28).collect();
    killed.iter().for_each(|index| net.kill(ids[*index]));
    net.run(8_000);
    assert_eq!(net.alive_counts(), BTreeSet::from([12]));
    assert_eq!(
        net.instance_counts(),
        BTreeSet::from([40]),
        "dead members may be behind a partition and still count"
    );
    assert_eq!(net.watcher_count(), 3);
    for index in &killed {
        net.start(*index, &[0, 30, 35]);
    }
    net.change_list();
    net.run(8_000);
    assert_eq!(net.alive_counts(), BTreeSet::from([40]));
    assert_eq!(net.instance_counts(), BTreeSet::from([40]));
    assert_eq!(net.list_versions(), BTreeSet::from([Some((1, 2))]));
    assert!(net.max_share_sum <= 1.0 + 1e-6, "{}", net.max_share_sum);
}

#[test]
fn a_departure_takes_effect_at_once_and_lowers_the_count_later() {
    let (mut net, ids) = fleet(5, 10, 10);
    net.run(6_000);
    net.leave(ids[3]);
    net.run(2_000);
    assert_eq!((net.alive_counts(), net.instance_counts()), (BTreeSet::from([9]), BTreeSet::from([10])));
    net.run(12_000);
    assert_eq!(net.instance_counts(), BTreeSet::from([9]));
}

#[test]
fn two_partitions_keep_serving_and_merge_after_healing() {
    let (mut net, _) = fleet(9, 24, 24);
    net.run(6_000);
    let all: Vec<usize> = (0..24).collect();
    net.partition(&all[..10], &all[10..]);
    net.change_list();
    net.run(15_000);
    assert_eq!(net.alive_counts(), BTreeSet::from([10, 14]));
    assert_eq!(net.instance_counts(), BTreeSet::from([24]), "each side still counts the other");
    assert_eq!(net.list_versions(), BTreeSet::from([Some((1, 2))]), "each side has its own watchers");
    net.blocked.clear();
    net.run(15_000);
    assert_eq!(net.alive_counts(), BTreeSet::from([24]));
    assert!(net.members_agree() && net.max_share_sum <= 1.0 + 1e-6);
}

#[test]
fn instances_without_the_list_service_get_the_list_from_peers() {
    let (mut net, _) = fleet(11, 20, 20);
    net.cut_from_service.extend(0..10);
    net.run(8_000);
    assert_eq!(net.list_versions(), BTreeSet::from([Some((1, 1))]));
    net.cut_from_service = (10..20).collect();
    net.run(6_000);
    net.change_list();
    net.run(3_000);
    assert_eq!(net.list_versions(), BTreeSet::from([Some((1, 2))]));
}

#[test]
fn an_unavailable_list_service_is_contacted_by_few_and_found_again() {
    let (mut net, _) = fleet(13, 50, 50);
    net.run(6_000);
    let before = net.service_dials.len();
    net.service_up = false;
    net.run(20_000);
    assert!(net.service_dials.len() - before <= 120, "{}", net.service_dials.len() - before);
    assert_eq!(net.alive_counts(), BTreeSet::from([50]), "no member is declared dead");
    net.list_version = (2, 1);
    net.service_up = true;
    net.run(10_000);
    assert_eq!(net.list_versions(), BTreeSet::from([Some((2, 1))]));
}

/// The first answer ends the hold: a peer's heartbeat shows with its list that there is no newer one, while the
/// list service shows that only with its next answer, two transit times of 2 ms later.
#[test]
fn a_paused_instance_holds_until_it_has_learned_the_current_list() {
    for seed in 0..60 {
        let (mut net, ids) = fleet(seed, 12, 12);
        net.run(6_000);
        net.pause(ids[4], 10_000);
        net.run(5_000);
        net.change_list();
        net.run(4_999);
        let others = |net: &SimNetwork| net.nodes[&ids[5]].fleet.members().alive().count();
        assert_eq!(others(&net), 11);
        // It resumes with the old list and holds from its first step until it has learned of the current one, and
        // no longer than allowed.
        let (mut held_ms, mut late_ms) = (0, 0);
        for _ in 0..200 {
            net.run(1);
            let node = &net.nodes[&ids[4]];
            if node.fleet.is_holding(net.now) {
                held_ms += 1;
                late_ms += u64::from(node.driver.list_version != Some((1, 1)));
            }
        }
        assert!((1..=75).contains(&held_ms), "seed {seed}: held for {held_ms} ms");
        assert!(late_ms <= 4, "seed {seed}: still holds {late_ms} ms after receiving the list");
        net.run(5_000);
        assert_eq!(net.list_versions(), BTreeSet::from([Some((1, 2))]));
        assert_eq!(net.alive_counts(), BTreeSet::from([12]));
        assert!(!net.nodes[&ids[4]].fleet.is_holding(net.now));
    }
}

/// Instances that were paused together must not confirm each other's old list. The live instances have closed
/// their links to both, so the link between two paused instances is the first on which anything is reported,
/// and that is as old. The list service is slow, so its answer comes after theirs.
#[test]
fn instances_paused_together_do_not_confirm_each_others_old_list() {
    let (mut net, ids) = fleet(17, 12, 12);
    net.run(6_000);
    // With half of the fleet paused, some of the paused instances monitor each other in any ring order.
    let paused = &ids[..6];
    paused.iter().for_each(|id| net.pause(*id, 10_000));
    net.run(5_000);
    net.change_list();
    net.run(3_000);
    assert!(
        ids[6..].iter().all(|id| net.nodes[id].driver.list_version == Some((1, 2))),
        "the live instances have the new list"
    );
    net.run(1_999);
    net.service_up = false;
    let has_resumed = |net: &SimNetwork, id: &u64| {
        let expected = "fleet: resuming after a pause: a peer has reported the current list";
        net.nodes[id].driver.log.iter().any(|line| line == expected)
    };
    for _ in 0..200 {
        net.run(1);
        for id in paused.iter().filter(|id| has_resumed(&net, id)) {
            assert_eq!(
                net.nodes[id].driver.list_version,
                Some((1, 2)),
                "it resumes with an old list on a peer's report"
            );
        }
    }
}

#[test]
fn a_restarted_instance_counts_separately_while_its_old_run_is_alive() {
    let (mut net, ids) = fleet(19, 8, 8);
    net.run(6_000);
    let restarted = net.start(3, &[0, 1]);
    net.run(1_500);
    assert!(net.nodes[&ids[0]].fleet.instance_count().effective() >= 9);
    net.kill(ids[3]);
    net.run(14_000);
    let table = net.nodes[&restarted].fleet.members();
    assert_eq!(table.alive().count(), 8);
    assert_eq!(net.instance_counts(), BTreeSet::from([8]));
}

#[test]
fn a_single_peer_cannot_move_the_list_far_ahead() {
    let (mut net, ids) = fleet(23, 5, 5);
    net.run(6_000);
    let now = net.now;
    let node = net.nodes.get_mut(&ids[0]).expect("the instance is alive");
    let mut driver = std::mem::take(&mut node.driver);
    let link = node.fleet.peer_links().next().expect("the instance has peers").0;
    for epoch in [u64::MAX, 900] {
        node.fleet.list_begin_received(now, Some(link), epoch, 1, None);
        node.fleet.list_end_received(now, &mut driver, Some(link));
    }
    assert_eq!(node.fleet.endpoints().held(), Some((1, 1)));
    assert!(driver.log.iter().any(|l| l.contains("far ahead")), "{:?}", driver.log);
    node.driver = driver;
    net.change_list();
    net.run(500);
    assert_eq!(net.list_versions(), BTreeSet::from([Some((1, 2))]));
}

#[test]
fn a_flood_of_forged_members_is_refused_and_logged_once() {
    let mut net = SimNetwork::new(29, 3);
    net.limits.max_instances = 16;
    let id = net.start(9, &[]);
    net.run(500);
    let now = net.now;
    let node = net.nodes.get_mut(&id).expect("the instance is alive");
    let (mut driver, link) = (std::mem::take(&mut node.driver), LinkId(1 << 62));
    let of = |name: &str| MemberId { instance: InstanceId::of(name), run: RunId(1) };
    node.fleet.link_accepted(now, &mut driver, link);
    node.fleet.join_received(
        now,
        &mut driver,
        link,
        "f",
        of("forger"),
        "forger",
        "a8",
        Default::default(),
        1,
    );
    for index in 0..1_000 {
        let name = format!("forged-{index}");
        node.fleet.member_received(now, &mut driver, link, of(&name), &name, "a", Default::default());
    }
    assert_eq!((node.fleet.members().len(), node.fleet.refusal_count()), (64, 1));
    assert_eq!(driver.refused, ["more members than are kept"]);
}

/// Two partitions that start separately cannot know of each other, so each uses the configured count, which is
/// larger. If that count is too small, the condition of the claim is violated and the sum of the shares exceeds
/// one.
#[test_case(12, false ; "the configured count is right")]
#[test_case(3, true ; "the configured count is too small, and the sum shows it")]
fn two_partitions_that_start_separately(configured: u64, exceeds_one: bool) {
    let mut net = SimNetwork::new(37, configured);
    let all: Vec<usize> = (0..12).collect();
    net.partition(&all[..6], &all[6..]);
    for name in 0..12 {
        net.start(name, &[0, 6]);
    }
    net.run(15_000);
    assert_eq!(net.max_share_sum > 1.0 + 1e-6, exceeds_one, "{}", net.max_share_sum);
    net.blocked.clear();
    net.run(15_000);
    assert_eq!((net.alive_counts(), net.instance_counts()), (BTreeSet::from([12]), BTreeSet::from([12])));
}

#[test]
fn an_instance_of_another_fleet_is_refused() {
    let (mut net, ids) = fleet(31, 2, 2);
    net.run(3_000);
    let now = net.now;
    let node = net.nodes.get_mut(&ids[0]).expect("the instance is alive");
    let mut driver = std::mem::take(&mut node.driver);
    let link = LinkId(1 << 62);
    node.fleet.link_accepted(now, &mut driver, link);
    let me = node.fleet.own_id();
    node.fleet.join_received(now, &mut driver, link, "other", me, "x", "a9", Default::default(), 1);
    assert_eq!(driver.refused, ["this is fleet 'f', not 'other'"]);
}

#[test]
fn a_snapshot_list_is_used_until_another_list_arrives() {
    let mut net = SimNetwork::new(41, 2);
    net.service_up = false;
    net.list_version = (3, 7);
    let id = net.start(0, &[1]);
    let now = net.now;
    let node = net.nodes.get_mut(&id).expect("the instance is alive");
    node.fleet.restore_list(now, 9, 9);
    node.fleet.remember_peer("a5");
    net.run(1_900);
    assert_eq!(net.nodes[&id].driver.list_version, None);
    net.run(300);
    assert_eq!(net.nodes[&id].driver.list_version, Some((9, 9)));
    // The remembered address answers and knows no newer list, so that of the snapshot stays the newest.
    net.start(5, &[]);
    net.run(6_000);
    assert_eq!(
        (net.alive_counts(), net.list_versions()),
        (BTreeSet::from([2]), BTreeSet::from([Some((9, 9))]))
    );
    net.service_up = true;
    net.list_version = (10, 1);
    net.run(8_000);
    assert_eq!(net.list_versions(), BTreeSet::from([Some((10, 1))]));
}

#[test]
fn a_snapshot_list_never_replaces_a_received_list() {
    let mut net = SimNetwork::new(43, 2);
    let id = net.start(0, &[]);
    let now = net.now;
    net.nodes.get_mut(&id).expect("the instance is alive").fleet.restore_list(now, 9, 9);
    net.run(5_000);
    assert_eq!(net.nodes[&id].driver.list_version, Some((1, 1)));
}

/// With a single peer no second one can confirm the list of a restarted service: the instance has to ask the
/// service itself.
#[test]
fn an_instance_with_one_peer_asks_a_restarted_service_itself() {
    let mut net = SimNetwork::new(47, 2);
    net.limits.watchers = 1;
    net.start(0, &[0, 1]);
    net.start(1, &[0, 1]);
    net.run(6_000);
    assert_eq!(net.watcher_count(), 1);
    net.list_version = (2, 1);
    net.run(8_000);
    assert_eq!(net.list_versions(), BTreeSet::from([Some((2, 1))]));
    assert_eq!(net.watcher_count(), 1, "it stops watching again");
}

/// Remembered addresses are tried after the configured seed peers: three addresses that no longer answer must
/// not make an instance believe that it is the first.
#[test]
fn remembered_addresses_do_not_replace_the_configured_peers() {
    for seed in 0..20 {
        let (mut net, _) = fleet(seed, 4, 20);
        // By now the count is four everywhere, which leaves no share for an instance that takes one without
        // being admitted.
        net.run(16_000);
        let late = net.start(9, &[0, 1, 2]);
        let node = net.nodes.get_mut(&late).expect("the instance is alive");
        (0..12).for_each(|index| node.fleet.remember_peer(&format!("gone-{index}")));
        net.run(14_000);
        assert!(net.max_share_sum <= 1.0 + 1e-6, "seed {seed}: {}", net.max_share_sum);
        assert_eq!(net.instance_counts(), BTreeSet::from([5]), "seed {seed}");
    }
}

const W: WorkerId = WorkerId(1);
const F: FunctionId = FunctionId(9);

/// Number of instances to which the hint was delivered exactly once.
fn count_delivered(net: &SimNetwork, hint: Hint) -> usize {
    let delivered = |n: &&common::SimNode| {
        n.driver.delivered_hints.iter().filter(|h| **h == (W, F, hint, 0)).count() == 1
    };
    net.nodes.values().filter(delivered).count()
}

#[test]
fn an_observation_reaches_all_once_and_a_repetition_is_not_sent() {
    let (mut net, ids) = fleet(5, 60, 60);
    net.run(6_000);
    net.observe(ids[4], W, F, Hint::Loading);
    net.run(400);
    assert_eq!(count_delivered(&net, Hint::Loading), 59, "all but the observer");
    net.observe(ids[9], W, F, Hint::Warm);
    net.run(400);
    assert_eq!(count_delivered(&net, Hint::Warm), 59);
    let rows = |net: &SimNetwork| net.nodes.values().map(|n| n.driver.hint_rows_sent).sum::<usize>();
    let before = rows(&net);
    assert!(
        before <= 2 * 2 * 60,
        "{before} rows for two observations: at most two per instance and observation"
    );
    ids.iter().for_each(|id| net.observe(*id, W, F, Hint::Warm));
    net.run(400);
    assert_eq!(rows(&net), before, "all instances know it");
}

#[test]
fn a_starting_instance_receives_the_known_hints() {
    let (mut net, ids) = fleet(6, 20, 21);
    net.run(6_000);
    net.observe(ids[4], W, F, Hint::Warm);
    net.run(3_000);
    let new = net.start(20, &[0, 1, 2]);
    net.run(300);
    assert_eq!(net.nodes[&new].driver.delivered_hints, [(W, F, Hint::Warm, 0)]);
    // The hint expires, and is not sent to later instances.
    net.run(8_000);
    assert!(net.nodes.values().all(|n| n.fleet.hints().is_empty()));
    let late = net.start(21, &[0, 1, 2]);
    net.run(300);
    assert_eq!(net.nodes[&late].driver.delivered_hints, []);
}

#[test]
fn hints_do_not_cross_a_partition_and_flow_again_after_it() {
    let (mut net, ids) = fleet(8, 20, 20);
    net.run(6_000);
    let (left, right): (Vec<usize>, Vec<usize>) = ((0..10).collect(), (10..20).collect());
    net.partition(&left, &right);
    net.run(3_000);
    net.observe(ids[4], W, F, Hint::Loading);
    net.run(1_000);
    assert_eq!(count_delivered(&net, Hint::Loading), 9);
    net.blocked.clear();
    net.run(10_000);
    net.observe(ids[14], W, F, Hint::Warm);
    net.run(1_000);
    assert_eq!(count_delivered(&net, Hint::Warm), 19);
}

#[test]
fn an_instance_without_hint_exchange_only_passes_hints_on() {
    let mut net = SimNetwork::new(4, 3);
    let one = net.start(0, &[0, 1, 2]);
    net.limits.exchange_hints = false;
    let passive = net.start(1, &[0, 1, 2]);
    net.limits.exchange_hints = true;
    let two = net.start(2, &[0, 1, 2]);
    net.run(6_000);
    // In any ring order one of these two is reached by the other only through the third.
    net.partition(&[0], &[2]);
    net.run(3_000);
    net.observe(one, W, F, Hint::Warm);
    net.observe(passive, WorkerId(2), F, Hint::Warm);
    net.run(1_000);
    assert_eq!(net.nodes[&two].driver.delivered_hints, [(W, F, Hint::Warm, 0)]);
    assert_eq!(net.nodes[&passive].driver.delivered_hints, []);
}

#[test]
fn own_observations_are_rate_limited() {
    let (mut net, ids) = fleet(9, 3, 3);
    net.run(6_000);
    (0..10_000).for_each(|f| net.observe(ids[0], W, FunctionId(f), Hint::Warm));
    net.run(1_000);
    let received = net.nodes[&ids[1]].driver.delivered_hints.len();
    assert!((100..=400).contains(&received), "{received}");
}

/// Few instances watch, so nearly all learn of the restarted service from one peer first. They must not all ask
/// the service at once, nor ask it although two peers have confirmed the list meanwhile (`herd` with 200
/// instances: 109 connections in 100 ms).
#[test]
fn a_restarted_list_service_is_contacted_by_few() {
    let (mut net, _) = fleet(11, 150, 150);
    net.run(8_000);
    net.service_dials.clear();
    net.list_version = (2, 1);
    net.change_list();
    net.run(8_000);
    assert_eq!(net.list_versions(), BTreeSet::from([Some((2, 2))]));
    let dials = &net.service_dials;
    let within = |at: &Time| dials.iter().filter(|d| at <= *d && **d < *at + Time(1_000)).count();
    let most = dials.iter().map(within).max().unwrap_or(0);
    assert!(most <= 16 && dials.len() <= 60, "{most} in 100 ms, {} in all", dials.len());
}

/// The list must not queue behind the records of all members, nor wait for a request.
#[test]
fn a_starting_instance_receives_the_list_before_the_member_records() {
    let (mut net, _) = fleet(12, 100, 101);
    net.run(6_000);
    let new = net.start(100, &[0, 1, 2]);
    net.run(1_000);
    let driver = &net.nodes[&new].driver;
    assert_eq!(
        (driver.list_version, driver.known_at_first_list),
        (Some((1, 1)), 2),
        "it knew itself and its first peer"
    );
}
