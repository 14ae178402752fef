//! A process whose table of descriptors is full, at each place that opens one. The table is this test's own, so one test
//! runs at a time; what stands for peers is opened before the table is filled, as the scheduler, on the same thread, does
//! not look meanwhile.

mod test_servers;

use std::fs::File;
use std::future::Future;
use std::sync::{Mutex, PoisonError};

use curlewpoint_node::start;
use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
use test_servers::*;
use tokio::io::AsyncWriteExt;

/// Runs a test while no other of them has anything open.
fn on_its_own(story: impl Future<Output = ()>) {
    static ALONE: Mutex<()> = Mutex::new(());
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(story);
}

/// The table, full while this is held but for what was let go.
struct Full {
    files: Vec<File>,
    before: Rlimit,
}

impl Full {
    /// From here on there is room for so many.
    fn but_for(free: usize) -> Full {
        let before = getrlimit(Resource::Nofile);
        setrlimit(Resource::Nofile, Rlimit { current: Some(400), ..before }).unwrap();
        let mut files: Vec<File> = std::iter::from_fn(|| File::open("/dev/null").ok()).collect();
        assert!(files.len() > free, "more is open than this test bounds");
        files.truncate(files.len() - free);
        Full { files, before }
    }

    fn frees(&mut self, many: usize) {
        self.files.truncate(self.files.len() - many);
    }
}

impl Drop for Full {
    fn drop(&mut self) {
        setrlimit(Resource::Nofile, self.before).unwrap();
    }
}

/// A client that is owed an answer until the worker gives it: nobody may close its connection.
async fn owed(of: &Scheduler, heard: &mut tokio::sync::mpsc::UnboundedReceiver<Heard>) -> (Client, Heard) {
    let mut client = Client::new(of).await;
    client.call("1", "read", IDS[0]).await;
    let asked = soon(heard.recv()).await.unwrap();
    (client, asked)
}

/// Accepting fails: the client that has been idle longest makes room, and one that is owed an answer keeps its place.
#[test]
fn an_accept_without_a_descriptor_makes_room() {
    on_its_own(async {
        let (at, mut heard) = worker().await;
        let of = scheduler(&[&at], NOWHERE).await;
        let (mut owed, (asked, say)) = owed(&of, &mut heard).await;
        let mut idle = Client::new(&of).await;
        idle.looks(&mut 0, "fit").await;
        let mut comes = Client::at_once(of.address, &call(1, IDS[1]));
        let full = Full::but_for(0);
        idle.is_closed().await;
        let (second, say_second) = soon(heard.recv()).await.unwrap();
        say_second.send(answer(&second, "OK", "")).unwrap();
        comes.hears(&["1", "good", "", ""]).await;
        say.send(answer(&asked, "OK", "")).unwrap();
        owed.hears(&["1", "good", "", ""]).await;
        drop(full);
        of.settled().await;
    });
}

/// Accepting fails and nobody is idle: nobody is put out, who is connected is served on, and who comes is let in once there
/// is a descriptor again.
#[test]
fn an_accept_without_a_descriptor_and_nobody_idle() {
    on_its_own(async {
        let (at, mut heard) = worker().await;
        let of = scheduler(&[&at], NOWHERE).await;
        let (mut owed, (asked, say)) = owed(&of, &mut heard).await;
        let mut comes = Client::at_once(of.address, &call(1, IDS[1]));
        let mut full = Full::but_for(0);
        let mut tag = 1;
        for _ in 0..3 {
            owed.looks(&mut tag, "fit").await;
        }
        assert!(heard.try_recv().is_err(), "there is no descriptor for it");
        full.frees(1);
        let (second, say_second) = soon(heard.recv()).await.unwrap();
        say_second.send(answer(&second, "OK", "")).unwrap();
        comes.hears(&["1", "good", "", ""]).await;
        say.send(answer(&asked, "OK", "")).unwrap();
        owed.hears(&["1", "good", "", ""]).await;
        drop(full);
        of.settled().await;
    });
}

/// The table is full between two pieces of requests, cut at many places, and others come: who has sent a part stays, and is
/// served once the rest is there; who came is let in as one of those that are then idle makes room.
#[test]
fn a_full_table_between_two_pieces() {
    on_its_own(async {
        let (at, mut heard) = worker().await;
        let of = scheduler(&[&at], NOWHERE).await;
        let (mut owed, (asked, say)) = owed(&of, &mut heard).await;
        let (mut clients, mut tag) = (Vec::new(), 1);
        for cut in (1..call(1, IDS[1]).len()).step_by(3) {
            let (mut client, bytes) = (Client::new(&of).await, call(1, &format!("{cut:016x}")));
            client.0.write_all(&bytes[..cut]).await.unwrap();
            clients.push((client, bytes[cut..].to_vec()));
        }
        owed.looks(&mut tag, "fit").await;
        let mut comes = Client::at_once(of.address, &call(1, IDS[1]));
        let full = Full::but_for(0);
        for _ in 0..3 {
            owed.looks(&mut tag, "fit").await;
        }
        assert!(heard.try_recv().is_err(), "neither a part of a request nor what found no descriptor");
        for (client, rest) in &mut clients {
            client.0.write_all(rest).await.unwrap();
            loop {
                let (asked, say) = soon(heard.recv()).await.unwrap();
                say.send(answer(&asked, "OK", "")).unwrap();
                if asked["req"] != IDS[1] {
                    break;
                }
            }
            client.hears(&["1", "good", "", ""]).await;
        }
        say.send(answer(&asked, "OK", "")).unwrap();
        owed.hears(&["1", "good", "", ""]).await;
        // It may have been let in and answered above.
        tokio::select! {
            () = comes.hears(&["1", "good", "", ""]) => {}
            () = async {
                let (asked, say) = heard.recv().await.unwrap();
                say.send(answer(&asked, "OK", "")).unwrap();
                std::future::pending().await
            } => {}
        }
        drop(full);
        of.settled().await;
    });
}

/// The directory moves and there is no descriptor for a socket to ask it at its new place: the one of the old makes room.
#[test]
fn a_directory_that_moves_without_a_descriptor() {
    on_its_own(async {
        let (mut old, mut new) = (Directory::new().await, Directory::new().await);
        let of = scheduler(&[], &old.at().to_string()).await;
        old.is_asked().await;
        let full = Full::but_for(0);
        of.resolver.send(new.at()).unwrap();
        new.is_asked().await;
        new.is_asked().await;
        drop(full);
        of.settled().await;
    });
}

/// At the start there is a descriptor for the listener alone: it serves, and asks the directory once there is another.
#[test]
fn a_start_with_a_descriptor_for_the_listener_alone() {
    on_its_own(async {
        let ((at, _heard), mut directory) = (worker().await, Directory::new().await);
        let mut full = Full::but_for(1);
        let of = scheduler(&[&at], &directory.at().to_string()).await;
        // The table is full: the first tries at a socket have failed by the time that a client, let in later, is answered.
        tokio::task::yield_now().await;
        full.frees(2);
        let mut client = Client::new(&of).await;
        client.looks(&mut 0, "fit").await;
        full.frees(1);
        directory.is_asked().await;
        drop(full);
        of.settled().await;
    });
}

/// There is none for the listener: nothing starts, and it says why.
#[test]
fn a_start_without_a_descriptor() {
    on_its_own(async {
        let told = told(&[], NOWHERE, |_| ());
        let full = Full::but_for(0);
        let why = start(told).await.err().expect("nothing starts").to_string();
        drop(full);
        assert!(why.contains("cannot listen") && why.contains("Too many open files"), "{why}");
    });
}

/// There is none to dial a worker with: that says nothing against the worker, and the request is served once there is one.
#[test]
fn a_dial_without_a_descriptor() {
    on_its_own(async {
        let (at, mut heard) = worker().await;
        let of = scheduler(&[&at], NOWHERE).await;
        let (mut client, mut other) = (Client::new(&of).await, Client::new(&of).await);
        let mut tag = 0;
        other.looks(&mut tag, "fit").await;
        client.looks(&mut 0, "fit").await;
        let mut full = Full::but_for(0);
        client.call("2", "issue", IDS[0]).await;
        for _ in 0..3 {
            other.looks(&mut tag, "fit").await;
        }
        assert!(heard.try_recv().is_err());
        // One for each end.
        full.frees(2);
        let (asked, say) = soon(heard.recv()).await.unwrap();
        say.send(answer(&asked, "OK", "")).unwrap();
        client.hears(&["2", "good", "", ""]).await;
        drop(full);
        of.settled().await;
    });
}
