use super::*;
use crate::client_task::{command_bytes, READ_AHEAD_LIMIT};
use crate::memory_budget::BudgetLimits;
use bytes::Bytes;
use curlewpoint_link::ReadAhead;
use curlewpoint_platform::resp::encode_array;
use test_case::test_case;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const MEMORY_BYTES: usize = 64 << 20;
const MAX_OPEN: usize = 1000;
const GUARANTEED_BYTES: usize = 17 * 1024;

/// A listener whose command channel is full and not received from. Returns the receivers of priority events and
/// commands.
async fn blocked_listener(
    max_clients: usize,
) -> (std::net::SocketAddr, mpsc::Receiver<Event>, mpsc::Receiver<Event>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let ((priority_tx, priority_rx), (command_tx, command_rx)) = (mpsc::channel(64), mpsc::channel(1));
    command_tx.try_send(Event::Stop).unwrap_or_default();
    let (shutdown, tasks, clock) = (CancellationToken::new(), TaskTracker::new(), Clock::start());
    let limits = LinkLimits { max_frame_bytes: 1024, ..LinkLimits::default() };
    let memory = MemoryBudget::new(BudgetLimits::new(MEMORY_BYTES, max_clients, MAX_OPEN, GUARANTEED_BYTES));
    let context = ClientContext { limits, clock, priority_tx, command_tx, shutdown, tasks, memory };
    tokio::spawn(accept(listener, context));
    (address, priority_rx, command_rx)
}

/// Fails a test in which a step takes longer than this.
async fn with_timeout<T>(step: impl std::future::Future<Output = T>) -> T {
    timeout(Duration::from_secs(10), step).await.expect("timed out")
}

fn command(words: &[&str]) -> Vec<u8> {
    encode_array(&words.iter().map(|w| w.as_bytes()).collect::<Vec<_>>()).to_vec()
}

/// Guards against calls that start after their client has disconnected, when the engine is busy and the reader
/// blocked: the disconnect is reported at once, and commands that were read but not passed on are dropped.
#[tokio::test]
async fn a_disconnect_is_reported_while_calls_are_blocked() {
    let (address, mut priority_rx, mut command_rx) = blocked_listener(8).await;
    let mut client = TcpStream::connect(address).await.unwrap();
    for tag in 1..=32 {
        client.write_all(&command(&["CALL", &tag.to_string(), "read", "", "body"])).await.unwrap();
    }
    let connected = with_timeout(priority_rx.recv()).await;
    assert!(matches!(connected, Some(Event::ClientConnected(..))));
    drop(client);
    assert!(matches!(with_timeout(priority_rx.recv()).await, Some(Event::ClientDisconnected(_))));
    assert!(
        matches!(with_timeout(command_rx.recv()).await, Some(Event::Stop)),
        "the event that filled the channel"
    );
    // No call follows the disconnect.
    drop(connected);
    tokio::task::yield_now().await;
    assert!(command_rx.try_recv().is_err());
}

/// Guards against calls that start after their client has left with much still unread: more than is read ahead of a busy
/// engine. None of them is passed on once the engine takes commands again.
#[tokio::test]
async fn nothing_is_passed_on_for_a_client_that_has_left_behind_more_than_is_read_ahead() {
    const CALLS: usize = 4 * READ_AHEAD_LIMIT.0;
    let (address, mut priority_rx, mut command_rx) = blocked_listener(8).await;
    let mut client = TcpStream::connect(address).await.unwrap();
    for tag in 1..=CALLS {
        client.write_all(&command(&["CALL", &tag.to_string(), "read", "", "body"])).await.unwrap();
    }
    let connected = with_timeout(priority_rx.recv()).await;
    assert!(matches!(connected, Some(Event::ClientConnected(..))));
    drop(client);
    assert!(matches!(with_timeout(command_rx.recv()).await, Some(Event::Stop)));
    assert!(matches!(with_timeout(priority_rx.recv()).await, Some(Event::ClientDisconnected(_))));
    assert!(command_rx.try_recv().is_err());
}

/// A cancel overtakes blocked calls, and a call that it withdraws is never passed on.
#[tokio::test]
async fn a_cancel_overtakes_blocked_calls_and_withdraws_its_own() {
    let (address, mut priority_rx, mut command_rx) = blocked_listener(8).await;
    let mut client = TcpStream::connect(address).await.unwrap();
    let commands = [
        command(&["CALL", "1", "read", "", "body"]),
        command(&["CALL", "2", "read", "", "body"]),
        command(&["CANCEL", "1"]),
        command(&["CANCEL", "7"]),
    ];
    client.write_all(&commands.concat()).await.unwrap();
    let connected = with_timeout(priority_rx.recv()).await;
    assert!(matches!(connected, Some(Event::ClientConnected(..))));
    let Some(Event::ClientCancel(_, words, 0)) = with_timeout(priority_rx.recv()).await else {
        panic!("no cancel")
    };
    assert_eq!(words[1], "7", "the other cancel met its call in the read-ahead queue");
    assert!(matches!(with_timeout(command_rx.recv()).await, Some(Event::Stop)));
    let Some(Event::ClientCommand(_, words)) = with_timeout(command_rx.recv()).await else {
        panic!("no call")
    };
    assert_eq!(words[1], "2");
}

/// What is read from a client ahead of the engine is bounded in commands and in bytes.
#[test_case(1, 64 ; "commands")]
#[test_case(16 * 1024, 2 ; "bytes")]
fn read_ahead_is_bounded(bytes: usize, max_commands: usize) {
    let mut ahead = ReadAhead::new(READ_AHEAD_LIMIT);
    while ahead.has_room() {
        let words = vec![Bytes::from(vec![0; bytes])];
        let bytes = command_bytes(&words);
        ahead.push(words, bytes);
    }
    assert_eq!(ahead.iter().count(), max_commands);
}
