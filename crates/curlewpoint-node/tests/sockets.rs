//! A scheduler on real sockets, with stand-ins for its clients, its workers and the directory. Each story causes what
//! it is about, and waits for what must follow.

mod test_servers;

use std::time::Duration;

use serde_json::json;
use test_case::test_case;
use test_servers::*;
use tokio::io::AsyncWriteExt;
use tokio::sync::mpsc;
use tokio::time::timeout;

#[tokio::test]
async fn an_rpc_goes_out_as_it_came_and_its_answer_comes_back_unchanged() {
    let (at, mut heard) = worker().await;
    let of = scheduler(&[&at], NOWHERE).await;
    let mut client = Client::new(&of).await;
    client.say(&["CHECK", "1", ""]).await;
    client.hears(&["1", "fit", "", ""]).await;
    client.call("2", "read", IDS[0]).await;
    let (asked, say) = soon(heard.recv()).await.unwrap();
    assert_eq!((&asked["req"], &asked["data"]), (&json!(IDS[0]), &json!("Ym9keQ==")));
    assert_eq!(
        (&asked["meta"]["queue"], &asked["meta"]["path"]),
        (&json!("read"), &json!("00000000000000aa"))
    );
    // A copy of somebody else's answer comes ahead, and its own twice.
    say.send(answer(&json!({"req": IDS[2]}), "OK", "eA==")).unwrap();
    say.send(answer(&asked, "OK", "ZG9uZQ==")).unwrap();
    say.send(answer(&asked, "OK", "ZG9uZQ==")).unwrap();
    client.hears(&["2", "good", "", "done"]).await;
    client.say(&["CHECK", "3", ""]).await;
    client.hears(&["3", "fit", "", ""]).await;
    of.settled().await;
}

/// Guards against an answer that cannot be read: what may have run is repeated only where that is harmless.
#[test_case("read", "a%b\n", Some("good") ; "idempotent, noise")]
#[test_case("read", "", Some("good") ; "idempotent, the connection ends")]
#[test_case("read", "{\"type\":\"OK\",", Some("good") ; "idempotent, an answer that does not end")]
#[test_case("issue", "a%b\n", None ; "side effecting, noise")]
#[test_case("issue", "", None ; "side effecting, the connection ends")]
#[tokio::test]
async fn a_spoilt_answer(method: &str, spoilt: &str, good: Option<&str>) {
    let (at, mut heard) = worker().await;
    let of = scheduler(&[&at], NOWHERE).await;
    let mut client = Client::new(&of).await;
    client.call("1", method, IDS[0]).await;
    let (_, say) = soon(heard.recv()).await.unwrap();
    say.send(spoilt.to_owned()).unwrap();
    drop(say);
    match good {
        Some(word) => {
            let (again, say) = soon(heard.recv()).await.unwrap();
            say.send(answer(&again, "OK", "ZG9uZQ==")).unwrap();
            client.hears(&["1", word, "", "done"]).await;
        }
        None => {
            client.hears(&["1", "broken", "", ""]).await;
            assert!(heard.try_recv().is_err(), "it went out again");
        }
    }
    of.settled().await;
}

#[test_case(b"*2\r\n$4\r\nCALL\r\n$-1\r\n" ; "a negative length")]
#[test_case(b"*5\r\n$4\r\nCALL\r\n$1\r\n1\r\n$4\r\nread\r\n$1\r\na\r\n$60000000\r\nxxxx" ; "sixty million bytes")]
#[test_case(b"*2\r\n$4\r\nWHAT\r\n$1\r\n1\r\n" ; "no command")]
#[test_case(b"*2\r\n$4\r\nCALL\r\n$1\r\n0\r\n" ; "no tag")]
#[test_case(b"*2\r\n$4\r\nCA" ; "half a command, then nothing")]
#[test_case(b"" ; "nothing at all")]
#[tokio::test]
async fn a_client_that_cannot_be_read_is_closed_and_harms_no_other(bytes: &[u8]) {
    let (at, mut heard) = worker().await;
    let of = scheduler(&[&at], NOWHERE).await;
    let (mut good, mut bad) = (Client::new(&of).await, Client::new(&of).await);
    good.call("1", "read", IDS[0]).await;
    bad.0.write_all(bytes).await.unwrap();
    bad.is_closed().await;
    let (asked, say) = soon(heard.recv()).await.unwrap();
    say.send(answer(&asked, "OK", "ZG9uZQ==")).unwrap();
    good.hears(&["1", "good", "", "done"]).await;
    of.settled().await;
}

#[test_case("req=9b1f03aa5c7e2d42,timeout=soon,subject=00000000000000aa", "read" ; "a time that is none")]
#[test_case("timeout=500,subject=00000000000000aa", "read" ; "no id")]
#[test_case("req=9b1f03aa5c7e2d41,timeout=500,subject=00000000000000aa", "read" ; "the id of an open one")]
#[test_case("req=9b1f03aa5c7e2d42,timeout=500,subject=00000000000000aa,info=lanes:-2", "read" ; "lanes below nought")]
#[test_case("req=9b1f03aa5c7e2d42,timeout=500,subject=00000000000000aa", "write" ; "no such method")]
#[tokio::test]
async fn what_cannot_be_used_is_turned_down_and_never_reaches_a_worker(fields: &str, method: &str) {
    let (at, mut heard) = worker().await;
    let of = scheduler(&[&at], NOWHERE).await;
    let mut client = Client::new(&of).await;
    client.call("1", "read", IDS[0]).await;
    let (asked, say) = soon(heard.recv()).await.unwrap();
    client.say(&["CALL", "2", method, fields, "x"]).await;
    client.hears(&["2", "broken", "", ""]).await;
    say.send(answer(&asked, "OK", "ZG9uZQ==")).unwrap();
    client.hears(&["1", "good", "", "done"]).await;
    assert!(heard.try_recv().is_err());
    of.settled().await;
}

#[tokio::test]
async fn a_second_use_of_a_tag_ends_the_connection_and_what_is_open_on_it() {
    let (at, mut heard) = worker().await;
    let of = scheduler(&[&at], NOWHERE).await;
    let mut client = Client::new(&of).await;
    client.call("1", "read", IDS[0]).await;
    soon(heard.recv()).await.unwrap();
    client.call("1", "read", IDS[1]).await;
    client.hears(&["1", "broken", "", ""]).await;
    client.is_closed().await;
    of.settled().await;
}

/// Guards against a connection that ends because its client counts from another number than one, as one that counts on over
/// all its connections; tags that are scattered are bounded.
#[tokio::test]
async fn tags_may_be_counted_from_anywhere() {
    let (at, _) = gives_back().await;
    let of = scheduler(&[&at], NOWHERE).await;
    let mut client = Client::new(&of).await;
    for no in 1..=600 {
        let tag = 70_000 + no;
        client.0.write_all(&call(tag, &format!("{no:016x}"))).await.unwrap();
        client.hears(&[&tag.to_string(), "good", "", "body"]).await;
    }
    of.settled().await;
}

/// Calls one after the other until one comes to a worker at which all that come are counted as heard.
async fn calls_until_heard(client: &mut Client, heard: &mut mpsc::UnboundedReceiver<Heard>, tag: &mut u64) {
    soon(async {
        loop {
            *tag += 1;
            client.call(&tag.to_string(), "read", &format!("{:016x}", *tag)).await;
            if let Ok(Some((asked, say))) = timeout(Duration::from_millis(100), heard.recv()).await {
                say.send(answer(&asked, "OK", "")).unwrap();
                return;
            }
        }
    })
    .await;
}

/// Guards against a list that is never heard of after the start, or after the directory has moved.
#[tokio::test]
async fn the_directory_moves_workers_and_is_itself_moved() {
    let ((first, mut at_first), (second, mut at_second)) = (worker().await, worker().await);
    let drained = directory(2, vec![("s-0", first.clone(), 1), ("s-1", second.clone(), 0)]).await;
    let of = scheduler(&[&first], &drained).await;
    let (mut client, mut tag) = (Client::new(&of).await, 0);
    calls_until_heard(&mut client, &mut at_second, &mut tag).await;
    while at_first.try_recv().is_ok() {}
    let back = directory(3, vec![("s-0", first, 0)]).await;
    of.resolver.send(back.parse().unwrap()).unwrap();
    calls_until_heard(&mut client, &mut at_first, &mut tag).await;
    of.settled().await;
}

#[tokio::test]
async fn a_stop_answers_what_is_open_and_what_still_comes() {
    let (at, mut heard) = worker().await;
    let mut of = scheduler(&[&at], NOWHERE).await;
    let mut client = Client::new(&of).await;
    client.call("1", "read", IDS[0]).await;
    let first = soon(heard.recv()).await.unwrap();
    of.control.stop().await;
    client.say(&["CHECK", "2", ""]).await;
    client.hears(&["2", "unfit", "", ""]).await;
    let mut late = Client::new(&of).await;
    late.call("1", "read", IDS[1]).await;
    let second = soon(heard.recv()).await.unwrap();
    for (asked, say) in [first, second] {
        say.send(answer(&asked, "OK", "ZG9uZQ==")).unwrap();
    }
    client.hears(&["1", "good", "", "done"]).await;
    late.hears(&["1", "good", "", "done"]).await;
    let figures = soon(&mut of.stopped).await.unwrap();
    assert_eq!((figures.taken, figures.ok, figures.cut_off), (2, 2, 0));
    of.settled().await;
}
