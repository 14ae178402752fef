use super::*;

const KIB: usize = 1024;
const MIB: usize = 1024 * KIB;
/// A body of 16 KiB and the head of its call.
const COMMAND: usize = 17 * KIB;

fn budget(memory: usize, max_clients: usize) -> Arc<MemoryBudget> {
    MemoryBudget::new(BudgetLimits::new(memory, max_clients, 25_000, COMMAND))
}

/// Reserves pieces of a size until no more is allowed.
fn take_all(client: &Arc<ClientMemory>, purpose: Purpose, bytes: usize) -> Vec<Reservation> {
    std::iter::from_fn(|| client.try_reserve(purpose, bytes)).collect()
}

/// Guards against bounds of each kind of holder that do not add up: whatever the number of clients and the memory, all
/// that they can hold is at most half of it.
#[test]
fn all_clients_together_hold_at_most_the_budget() {
    for (memory, max_clients) in [(32 * MIB, 512), (32 * MIB, 4096), (64 * MIB, 512), (192 * MIB, 128)] {
        let budget = budget(memory, max_clients);
        let clients: Vec<_> = (0..budget.limits().max_clients).map(|_| budget.client()).collect();
        let mut held = Vec::new();
        for client in &clients {
            held.extend(take_all(client, Purpose::Received, KIB));
            held.extend(take_all(client, Purpose::Open, 20 * KIB));
            held.extend(take_all(client, Purpose::Open, 1));
        }
        let figures = budget.figures();
        assert!(figures.held <= (memory as f64 * BUDGET_SHARE) as usize, "{figures}");
        assert!(figures.held >= memory / 8, "a tight bound is of no use: {figures}");
        drop(held);
        assert_eq!(budget.figures().held, 0);
        assert_eq!(budget.figures().common, 0);
    }
}

/// Guards against a crowd that leaves nothing: beside hundreds that take all they get, one that comes last can have a
/// call read and kept.
#[test]
fn greedy_clients_leave_room_for_a_small_request() {
    let budget = budget(32 * MIB, 512);
    let greedy: Vec<_> = (0..240).map(|_| budget.client()).collect();
    let held: Vec<_> = greedy.iter().flat_map(|client| take_all(client, Purpose::Open, 20 * KIB)).collect();
    let usual = budget.client();
    let received = usual.try_reserve(Purpose::Received, COMMAND);
    assert!(received.is_some());
    drop(received);
    assert!(usual.try_reserve(Purpose::Open, 5 * KIB).is_some());
    assert!(greedy[0].try_reserve(Purpose::Open, 5 * KIB).is_none());
    drop(held);
}

#[test]
fn one_command_can_be_read_however_much_the_client_holds_otherwise() {
    let budget = budget(32 * MIB, 512);
    let client = budget.client();
    let open = budget.client().reserve_unchecked(Purpose::Open, 32 * MIB);
    assert!(client.try_reserve(Purpose::Received, COMMAND).is_some());
    assert_eq!(client.reserve_for_read(MIB).bytes(), COMMAND, "and no more");
    drop(open);
    assert!(client.reserve_for_read(MIB).bytes() > COMMAND);
}

#[test]
fn what_is_held_beyond_the_share_counts_for_all() {
    let budget = budget(32 * MIB, 512);
    let (one, other) = (budget.client(), budget.client());
    let over = one.reserve_unchecked(Purpose::Open, 2 * budget.limits().common);
    let guaranteed = other.try_reserve(Purpose::Open, 8 * KIB);
    assert!(guaranteed.is_some() && other.try_reserve(Purpose::Open, 1).is_none());
    assert!(other.try_reserve(Purpose::Received, COMMAND).is_some(), "its guaranteed share");
    assert!(one.is_wanted_back(Purpose::Open) && !other.is_wanted_back(Purpose::Open));
    drop(over);
    assert!(other.try_reserve(Purpose::Open, 1).is_some());
    assert_eq!(budget.figures().denied, 1);
}

/// Guards against hundreds of incomplete commands that leave no memory for the RPCs of others.
#[test]
fn incomplete_commands_leave_room_for_open_rpcs() {
    let budget = budget(32 * MIB, 512);
    let greedy: Vec<_> = (0..500).map(|_| budget.client()).collect();
    let held: Vec<_> = greedy.iter().flat_map(|client| take_all(client, Purpose::Received, KIB)).collect();
    assert!(greedy[0].is_wanted_back(Purpose::Received));
    let usual: Vec<_> = (0..10).map(|_| budget.client()).collect();
    let open: Vec<_> = usual.iter().map(|client| client.try_reserve(Purpose::Open, 64 * KIB)).collect();
    assert!(open.iter().all(Option::is_some));
    drop(held);
}

#[test]
fn a_limit_on_open_rpcs_is_shared_like_the_bytes() {
    let limits = BudgetLimits::new(128 * MIB, 512, 1000, COMMAND);
    assert!((1000..=1001).contains(&limits.max_open()), "{limits:?}");
    assert!(BudgetLimits::new(32 * MIB, 512, 25_000, COMMAND).max_open() < 25_000);
}

/// A slice of a command keeps the whole command in memory, and so counts as the whole.
#[test]
fn bytes_are_counted_until_their_last_slice_is_dropped() {
    let budget = budget(32 * MIB, 512);
    let reservation = budget.client().reserve_unchecked(Purpose::Received, COMMAND);
    let slice = counted_bytes(vec![0; COMMAND], reservation).slice(5..6);
    let copy = slice.clone();
    drop(slice);
    assert_eq!(budget.figures().held, COMMAND);
    drop(copy);
    assert_eq!((budget.figures().held, budget.figures().highest), (0, COMMAND));
}
