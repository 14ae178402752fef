//! Exhausted file descriptors at each place that opens one. The limit applies to the whole test process, so one test
//! runs at a time. The sockets of scripted peers are opened before the descriptors are exhausted; the scheduler, on
//! the same thread, does not run in between.

mod test_servers;

use std::fs::File;
use std::future::Future;
use std::sync::{Mutex, PoisonError};

use curlewpoint_node::start;
use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
use test_servers::*;
use tokio::io::AsyncWriteExt;

/// Runs a test exclusively.
fn run_exclusively(test: impl Future<Output = ()>) {
    static EXCLUSIVE: Mutex<()> = Mutex::new(());
    let _guard = EXCLUSIVE.lock().unwrap_or_else(PoisonError::into_inner);
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(test);
}

/// Holds all descriptors of the process except for those released.
struct ExhaustedDescriptors {
    files: Vec<File>,
    original_limit: Rlimit,
}

impl ExhaustedDescriptors {
    /// Takes all descriptors but this many.
    fn except(free: usize) -> ExhaustedDescriptors {
        let original_limit = getrlimit(Resource::Nofile);
        setrlimit(Resource::Nofile, Rlimit { current: Some(400), ..original_limit }).unwrap();
        let mut files: Vec<File> = std::iter::from_fn(|| File::open("/dev/null").ok()).collect();
        assert!(files.len() > free, "too many descriptors are open");
        files.truncate(files.len() - free);
        ExhaustedDescriptors { files, original_limit }
    }

    fn release(&mut self, n: usize) {
        self.files.truncate(self.files.len() - n);
    }
}

impl Drop for ExhaustedDescriptors {
    fn drop(&mut self) {
        setrlimit(Resource::Nofile, self.original_limit).unwrap();
    }
}

/// A client with an open RPC, which must not be evicted until the worker answers it.
async fn client_with_open_rpc(
    scheduler: &Scheduler, worker_rx: &mut tokio::sync::mpsc::UnboundedReceiver<ReceivedMessage>,
) -> (Client, ReceivedMessage) {
    let mut client = Client::connect(scheduler).await;
    client.send_call("1", "read", IDS[0]).await;
    let request = with_timeout(worker_rx.recv()).await.unwrap();
    (client, request)
}

/// A failed accept evicts the client that has been idle longest, and none with an open RPC.
#[test]
fn accept_without_a_descriptor_evicts_the_longest_idle_client() {
    run_exclusively(async {
        let (address, mut worker_rx) = scripted_worker().await;
        let scheduler = start_scheduler(&[&address], NO_DISCOVERY).await;
        let (mut waiting, (request, reply_tx)) = client_with_open_rpc(&scheduler, &mut worker_rx).await;
        let mut idle = Client::connect(&scheduler).await;
        idle.expect_check(&mut 0, "fit").await;
        let mut new = Client::connect_and_send(scheduler.address, &encode_call(1, IDS[1]));
        let exhausted = ExhaustedDescriptors::except(0);
        idle.expect_closed().await;
        let (second, second_reply_tx) = with_timeout(worker_rx.recv()).await.unwrap();
        second_reply_tx.send(reply_line(&second, "OK", "")).unwrap();
        new.expect_reply(&["1", "good", "", ""]).await;
        reply_tx.send(reply_line(&request, "OK", "")).unwrap();
        waiting.expect_reply(&["1", "good", "", ""]).await;
        drop(exhausted);
        scheduler.finish().await;
    });
}

/// If accepting fails and no client is idle, none is evicted; connected clients are still served, and the new client is
/// admitted once a descriptor is free.
#[test]
fn accept_without_a_descriptor_waits_when_no_client_is_idle() {
    run_exclusively(async {
        let (address, mut worker_rx) = scripted_worker().await;
        let scheduler = start_scheduler(&[&address], NO_DISCOVERY).await;
        let (mut waiting, (request, reply_tx)) = client_with_open_rpc(&scheduler, &mut worker_rx).await;
        let mut new = Client::connect_and_send(scheduler.address, &encode_call(1, IDS[1]));
        let mut exhausted = ExhaustedDescriptors::except(0);
        let mut tag = 1;
        for _ in 0..3 {
            waiting.expect_check(&mut tag, "fit").await;
        }
        assert!(worker_rx.try_recv().is_err(), "it reached the worker without a descriptor");
        exhausted.release(1);
        let (second, second_reply_tx) = with_timeout(worker_rx.recv()).await.unwrap();
        second_reply_tx.send(reply_line(&second, "OK", "")).unwrap();
        new.expect_reply(&["1", "good", "", ""]).await;
        reply_tx.send(reply_line(&request, "OK", "")).unwrap();
        waiting.expect_reply(&["1", "good", "", ""]).await;
        drop(exhausted);
        scheduler.finish().await;
    });
}

/// Descriptors run out between two parts of requests, split at many places, and another client connects: clients with
/// an incomplete request stay and are served once it is complete; the new client is admitted when one of them is idle
/// again.
#[test]
fn descriptors_exhausted_between_two_parts_lose_no_request() {
    run_exclusively(async {
        let (address, mut worker_rx) = scripted_worker().await;
        let scheduler = start_scheduler(&[&address], NO_DISCOVERY).await;
        let (mut waiting, (request, reply_tx)) = client_with_open_rpc(&scheduler, &mut worker_rx).await;
        let (mut clients, mut tag) = (Vec::new(), 1);
        for split in (1..encode_call(1, IDS[1]).len()).step_by(3) {
            let (mut client, bytes) =
                (Client::connect(&scheduler).await, encode_call(1, &format!("{split:016x}")));
            client.0.write_all(&bytes[..split]).await.unwrap();
            clients.push((client, bytes[split..].to_vec()));
        }
        waiting.expect_check(&mut tag, "fit").await;
        let mut new = Client::connect_and_send(scheduler.address, &encode_call(1, IDS[1]));
        let exhausted = ExhaustedDescriptors::except(0);
        for _ in 0..3 {
            waiting.expect_check(&mut tag, "fit").await;
        }
        assert!(
            worker_rx.try_recv().is_err(),
            "an incomplete request or a client without a descriptor reached the worker"
        );
        for (client, rest) in &mut clients {
            client.0.write_all(rest).await.unwrap();
            loop {
                let (request, reply_tx) = with_timeout(worker_rx.recv()).await.unwrap();
                reply_tx.send(reply_line(&request, "OK", "")).unwrap();
                if request["req"] != IDS[1] {
                    break;
                }
            }
            client.expect_reply(&["1", "good", "", ""]).await;
        }
        reply_tx.send(reply_line(&request, "OK", "")).unwrap();
        waiting.expect_reply(&["1", "good", "", ""]).await;
        // It may have been admitted and answered above.
        tokio::select! {
            () = new.expect_reply(&["1", "good", "", ""]) => {}
            () = async {
                let (request, reply_tx) = worker_rx.recv().await.unwrap();
                reply_tx.send(reply_line(&request, "OK", "")).unwrap();
                std::future::pending().await
            } => {}
        }
        drop(exhausted);
        scheduler.finish().await;
    });
}

/// If the discovery address changes and no descriptor is free, the sockets of the old addresses are closed.
#[test]
fn a_change_of_the_discovery_address_without_a_descriptor_closes_old_sockets() {
    run_exclusively(async {
        let (mut old, mut new) = (ScriptedDiscovery::new().await, ScriptedDiscovery::new().await);
        let scheduler = start_scheduler(&[], &old.address().to_string()).await;
        old.expect_query().await;
        let exhausted = ExhaustedDescriptors::except(0);
        scheduler.resolver.send(new.address()).unwrap();
        new.expect_query().await;
        new.expect_query().await;
        drop(exhausted);
        scheduler.finish().await;
    });
}

/// If only one descriptor is free at the start it is used for the listener; discovery is queried once another is free.
#[test]
fn a_start_with_a_descriptor_for_the_listener_only_serves() {
    run_exclusively(async {
        let ((address, _worker_rx), mut discovery) =
            (scripted_worker().await, ScriptedDiscovery::new().await);
        let mut exhausted = ExhaustedDescriptors::except(1);
        let scheduler = start_scheduler(&[&address], &discovery.address().to_string()).await;
        // The first attempts to open a discovery socket have failed by the time that the client below is answered.
        tokio::task::yield_now().await;
        exhausted.release(2);
        let mut client = Client::connect(&scheduler).await;
        client.expect_check(&mut 0, "fit").await;
        exhausted.release(1);
        discovery.expect_query().await;
        drop(exhausted);
        scheduler.finish().await;
    });
}

/// Without a descriptor for the listener the start fails with an error that names the cause.
#[test]
fn a_start_without_a_descriptor_fails_with_its_cause() {
    run_exclusively(async {
        let config = startup_config(&[], NO_DISCOVERY, |_| ());
        let exhausted = ExhaustedDescriptors::except(0);
        let error = start(config).await.err().expect("the start fails").to_string();
        drop(exhausted);
        assert!(error.contains("cannot listen") && error.contains("Too many open files"), "{error}");
    });
}

/// A dial that fails for lack of a descriptor is not counted against the worker; the request is served once one is
/// free.
#[test]
fn a_dial_without_a_descriptor_does_not_count_against_the_worker() {
    run_exclusively(async {
        let (address, mut worker_rx) = scripted_worker().await;
        let scheduler = start_scheduler(&[&address], NO_DISCOVERY).await;
        let (mut client, mut other) = (Client::connect(&scheduler).await, Client::connect(&scheduler).await);
        let mut tag = 0;
        other.expect_check(&mut tag, "fit").await;
        client.expect_check(&mut 0, "fit").await;
        let mut exhausted = ExhaustedDescriptors::except(0);
        client.send_call("2", "issue", IDS[0]).await;
        for _ in 0..3 {
            other.expect_check(&mut tag, "fit").await;
        }
        assert!(worker_rx.try_recv().is_err());
        // One for each end of the connection.
        exhausted.release(2);
        let (request, reply_tx) = with_timeout(worker_rx.recv()).await.unwrap();
        reply_tx.send(reply_line(&request, "OK", "")).unwrap();
        client.expect_reply(&["2", "good", "", ""]).await;
        drop(exhausted);
        scheduler.finish().await;
    });
}
