use super::*;
use curlewpoint_engine::PoolLimits;
use curlewpoint_link::LinkLimits;

/// A driver without connections.
fn driver() -> NodeDriver {
    let (event_tx, _) = tokio::sync::mpsc::channel(1);
    let dialler = Dialler { limits: LinkLimits::default(), timeout: Duration::from_secs(1), event_tx };
    let limits = PoolLimits {
        requests_per_conn: 1,
        conns_per_worker: 1,
        total_conns: 1,
        idle_timeout: Time(1),
        back_off: (Time(1), Time(1)),
    };
    NodeDriver::new(Pool::new(limits, 1), dialler, Clock::start())
}

fn begin(driver: &mut NodeDriver, rpc: u64) -> Arc<str> {
    let id: Arc<str> = format!("{rpc:016x}").into();
    driver.next_rpc_id = Arc::clone(&id);
    driver.rpc_accepted(RpcId(rpc));
    id
}

/// Guards against an ID that runs twice: calls that are denied at full speed displaced the IDs that workers know.
#[test]
fn ids_that_no_worker_received_displace_none_that_one_did() {
    let mut driver = driver();
    let ran = begin(&mut driver, 1);
    driver.sockets.used_reqs.insert(Arc::clone(&ran), vec![ConnId(1)]);
    driver.rpc_forgotten(RpcId(1));
    for rpc in 2..=2 * MAX_RECENT_IDS as u64 {
        let denied = begin(&mut driver, rpc);
        assert!(driver.is_known_id(&denied), "while it is open");
        driver.rpc_forgotten(RpcId(rpc));
        assert!(!driver.is_known_id(&denied));
    }
    assert!(driver.is_known_id(&ran));
}
