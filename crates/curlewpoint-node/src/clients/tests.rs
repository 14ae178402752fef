use super::*;
use curlewpoint_platform::resp::encode_array;
use test_case::test_case;
use tokio::io::AsyncWriteExt;

/// A door whose calls nobody takes: what is told of endings comes out here.
async fn held_back(most: usize) -> (std::net::SocketAddr, mpsc::Receiver<Note>, mpsc::Receiver<Note>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let ((endings, ended), (asks, asked)) = (mpsc::channel(64), mpsc::channel(1));
    asks.try_send(Note::Stop).unwrap_or_default();
    let (closing, tasks, clock) = (CancellationToken::new(), TaskTracker::new(), Clock::start());
    let bounds = Bounds { frame: 1024, ..Bounds::default() };
    tokio::spawn(accept(listener, most, Desk { bounds, clock, endings, asks, closing, tasks }));
    (address, ended, asked)
}

/// No step of a story takes longer.
async fn soon<T>(what: impl std::future::Future<Output = T>) -> T {
    timeout(Duration::from_secs(10), what).await.expect("it never came")
}

fn said(words: &[&str]) -> Vec<u8> {
    encode_array(&words.iter().map(|w| w.as_bytes()).collect::<Vec<_>>()).to_vec()
}

/// Guards against calls that begin after their client has gone, where the engine is busy and the reader held back: the
/// going is told at once, and what was read and not taken is never asked.
#[tokio::test]
async fn a_going_is_told_though_calls_are_held_back() {
    let (address, mut ended, mut asked) = held_back(8).await;
    let mut client = TcpStream::connect(address).await.unwrap();
    for tag in 1..=32 {
        client.write_all(&said(&["CALL", &tag.to_string(), "read", "", "body"])).await.unwrap();
    }
    let client_in = soon(ended.recv()).await;
    assert!(matches!(client_in, Some(Note::ClientIn(..))));
    drop(client);
    assert!(matches!(soon(ended.recv()).await, Some(Note::ClientOut(_, None))));
    assert!(matches!(soon(asked.recv()).await, Some(Note::Stop)), "what had filled the channel");
    // Nothing of it is asked after it was told to have gone.
    drop(client_in);
    tokio::task::yield_now().await;
    assert!(asked.try_recv().is_err());
}

/// A cancel goes ahead of calls that are held back; the one that it withdraws is never asked.
#[tokio::test]
async fn a_cancel_goes_ahead_and_takes_its_call_along() {
    let (address, mut ended, mut asked) = held_back(8).await;
    let mut client = TcpStream::connect(address).await.unwrap();
    let all = [
        said(&["CALL", "1", "read", "", "body"]),
        said(&["CALL", "2", "read", "", "body"]),
        said(&["CANCEL", "1"]),
        said(&["CANCEL", "7"]),
    ];
    client.write_all(&all.concat()).await.unwrap();
    let client_in = soon(ended.recv()).await;
    assert!(matches!(client_in, Some(Note::ClientIn(..))));
    let Some(Note::Cancel(_, words)) = soon(ended.recv()).await else { panic!("no cancel") };
    assert_eq!(words[1], "7", "the other met its call here");
    assert!(matches!(soon(asked.recv()).await, Some(Note::Stop)));
    let Some(Note::Client(_, words)) = soon(asked.recv()).await else { panic!("no call") };
    assert_eq!(words[1], "2");
}

/// What a client may have the scheduler hold ahead of the engine is bounded in commands and in bytes.
#[test_case(1, 64 ; "commands")]
#[test_case(16 * 1024, 2 ; "bytes")]
fn what_is_read_ahead_is_bounded(bytes: usize, most: usize) {
    let mut ahead = Ahead::new(AHEAD);
    while ahead.has_room() {
        let words = vec![Bytes::from(vec![0; bytes])];
        let bytes = size(&words);
        ahead.push(words, bytes);
    }
    assert_eq!(ahead.iter().count(), most);
}
