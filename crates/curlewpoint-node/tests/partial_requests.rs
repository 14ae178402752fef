//! Requests that arrive in parts, split at every byte, and events between two parts. The scheduler has read a part by
//! the time that a check sent after it on another connection is answered.

mod test_servers;

use std::time::Duration;

use oorandom::Rand32;
use test_servers::*;
use tokio::io::AsyncWriteExt;

fn id(n: usize) -> String {
    format!("{n:016x}")
}

fn sorted(ids: &std::sync::Mutex<Vec<String>>) -> Vec<String> {
    let mut ids = ids.lock().unwrap().clone();
    ids.sort();
    ids
}

fn ids(numbers: impl IntoIterator<Item = usize>) -> Vec<String> {
    numbers.into_iter().map(id).collect()
}

/// Guards against a reader that takes a part of a request for a complete one, or drops bytes after a split: in a
/// length, between CR and LF, in a word, between two requests.
#[tokio::test]
async fn two_requests_are_read_once_wherever_they_are_split() {
    let (address, received_ids) = echo_worker().await;
    let scheduler = start_scheduler(&[&address], NO_DISCOVERY).await;
    let (mut client, mut other, mut tag) =
        (Client::connect(&scheduler).await, Client::connect(&scheduler).await, 0);
    let size = encode_call(1, &id(0)).len();
    for split in 1..2 * size {
        let (first, second) = (2 * split, 2 * split + 1);
        let tags = [first as u64 - 1, second as u64 - 1];
        let bytes = [encode_call(tags[0], &id(first)), encode_call(tags[1], &id(second))].concat();
        client.0.write_all(&bytes[..split]).await.unwrap();
        other.expect_check(&mut tag, "fit").await;
        let is_complete = [encode_call(tags[0], "").len() + 16 <= split, bytes.len() <= split];
        for (n, is_complete) in [(first, is_complete[0]), (second, is_complete[1])] {
            assert!(
                is_complete || !received_ids.lock().unwrap().contains(&id(n)),
                "split at {split}: passed on before it was complete"
            );
        }
        client.0.write_all(&bytes[split..]).await.unwrap();
        for tag in tags {
            client.expect_reply(&[&tag.to_string(), "good", "", "body"]).await;
        }
    }
    assert_eq!(sorted(&received_ids), ids(2..4 * size), "each was received once");
    scheduler.finish().await;
}

/// The same for requests sent in single bytes, and in parts of random sizes.
#[tokio::test]
async fn requests_in_single_bytes_and_in_random_parts_are_read_once() {
    let (address, received_ids) = echo_worker().await;
    let scheduler = start_scheduler(&[&address], NO_DISCOVERY).await;
    let (mut client, mut other, mut tag) =
        (Client::connect(&scheduler).await, Client::connect(&scheduler).await, 0);
    let mut rng = Rand32::new(11);
    for round in 0..40 {
        let max_len = if round == 0 { 1 } else { rng.rand_range(1..120) };
        let tags = 3 * round + 1..3 * round + 4;
        let bytes: Vec<u8> = tags.clone().flat_map(|tag| encode_call(tag, &id(tag as usize))).collect();
        let mut rest = &bytes[..];
        while !rest.is_empty() {
            let (part, remaining) = rest.split_at(rest.len().min(rng.rand_range(1..max_len + 1) as usize));
            client.0.write_all(part).await.unwrap();
            other.expect_check(&mut tag, "fit").await;
            rest = remaining;
        }
        for tag in tags {
            client.expect_reply(&[&tag.to_string(), "good", "", "body"]).await;
        }
    }
    assert_eq!(sorted(&received_ids), ids(1..121), "each was received once");
    scheduler.finish().await;
}

/// One client for each position at which a call can be split: each has sent its call up to there, and the scheduler
/// has read it. Returns each client with the rest of its call.
async fn clients_with_split_calls(
    scheduler: &Scheduler, other: &mut Client, tag: &mut u64,
) -> Vec<(Client, Vec<u8>)> {
    let mut clients = Vec::new();
    for split in 1..encode_call(1, &id(0)).len() {
        let (mut client, bytes) = (Client::connect(scheduler).await, encode_call(1, &id(split)));
        client.0.write_all(&bytes[..split]).await.unwrap();
        clients.push((client, bytes[split..].to_vec()));
    }
    other.expect_check(tag, "fit").await;
    clients
}

fn with_many_slots(config: &mut serde_json::Value) {
    config["limits"]["sockets"] = serde_json::json!(1024);
}

/// A stop between two parts: requests completed before the shutdown are answered; requests still incomplete are
/// dropped and their connections closed.
#[tokio::test]
async fn a_stop_answers_completed_and_drops_incomplete_requests() {
    let (address, received_ids) = echo_worker().await;
    let mut scheduler = start_scheduler_with(&[&address], NO_DISCOVERY, with_many_slots).await;
    let (mut other, mut tag) = (Client::connect(&scheduler).await, 0);
    let mut clients = clients_with_split_calls(&scheduler, &mut other, &mut tag).await;
    scheduler.control.stop().await;
    other.expect_check(&mut tag, "unfit").await;
    let mut served = Vec::new();
    for (index, (client, rest)) in clients.iter_mut().enumerate().step_by(2) {
        client.0.write_all(rest).await.unwrap();
        client.expect_reply(&["1", "good", "", "body"]).await;
        served.push(index + 1);
    }
    tokio::time::pause();
    tokio::time::advance(Duration::from_millis(1_001)).await;
    tokio::time::resume();
    for (client, _) in &mut clients {
        client.expect_closed().await;
    }
    assert_eq!(sorted(&received_ids), ids(served));
    let counters = with_timeout(&mut scheduler.stopped).await.unwrap();
    assert_eq!((counters.taken, counters.cut_off), (clients.len().div_ceil(2) as u64, 0));
    scheduler.finish().await;
}

/// The close of a connection with an incomplete command falls between two parts: if the rest has arrived by then the
/// request is answered; otherwise nothing of it is passed on, and the rest meets a closed connection.
#[tokio::test]
async fn a_close_between_two_parts_loses_no_completed_request() {
    let (address, received_ids) = echo_worker().await;
    let scheduler = start_scheduler_with(&[&address], NO_DISCOVERY, with_many_slots).await;
    let (mut other, mut tag) = (Client::connect(&scheduler).await, 0);
    let mut clients = clients_with_split_calls(&scheduler, &mut other, &mut tag).await;
    // Before the scheduler, on this thread, runs again, the timeout has passed and every other rest has arrived.
    for (client, rest) in clients.iter_mut().step_by(2) {
        assert_eq!(client.0.try_write(rest).unwrap(), rest.len());
    }
    tokio::time::pause();
    tokio::time::advance(Duration::from_millis(2_001)).await;
    tokio::time::resume();
    let mut served = Vec::new();
    for (index, (client, rest)) in clients.iter_mut().enumerate() {
        if index % 2 == 0 {
            client.expect_reply(&["1", "good", "", "body"]).await;
            served.push(index + 1);
        } else {
            client.expect_closed().await;
            let _ = client.0.try_write(rest);
        }
    }
    assert_eq!(sorted(&received_ids), ids(served));
    scheduler.finish().await;
}

/// The close of an idle connection falls between two parts of its next request: if the rest has arrived by then the
/// request is answered; otherwise the connection is closed and nothing is passed on.
#[tokio::test]
async fn an_idle_close_between_two_parts_loses_no_completed_request() {
    let (address, received_ids) = echo_worker().await;
    let scheduler = start_scheduler_with(&[&address], NO_DISCOVERY, with_many_slots).await;
    let mut clients = Vec::new();
    for split in 1..encode_call(2, &id(0)).len() {
        let mut client = Client::connect(&scheduler).await;
        client.expect_check(&mut 0, "fit").await;
        clients.push((client, split));
    }
    tokio::time::pause();
    for second in 0..5 {
        if second == 4 {
            for (client, split) in &mut clients {
                client.0.try_write(&encode_call(2, &id(*split))[..*split]).unwrap();
            }
            process_received().await;
            for (client, split) in clients.iter_mut().step_by(2) {
                client.0.try_write(&encode_call(2, &id(*split))[*split..]).unwrap();
            }
        }
        tokio::time::advance(Duration::from_millis(1_001)).await;
        process_received().await;
    }
    tokio::time::resume();
    let mut served = Vec::new();
    for (index, (client, split)) in clients.iter_mut().enumerate() {
        if index % 2 == 0 {
            client.expect_reply(&["2", "good", "", "body"]).await;
            served.push(*split);
        } else {
            let _ = client.0.try_write(&encode_call(2, &id(*split))[*split..]);
            client.expect_closed().await;
        }
    }
    assert_eq!(sorted(&received_ids), ids(served));
    scheduler.finish().await;
}

/// Guards against closing a connection on which a request stays incomplete for seconds while calls are open, and
/// against one that stays open for it once they are answered.
#[tokio::test]
async fn a_request_that_stays_incomplete_does_not_close_a_connection_with_open_calls() {
    let (address, mut worker_rx) = scripted_worker().await;
    let scheduler = start_scheduler(&[&address], NO_DISCOVERY).await;
    let (mut client, mut other, mut check_tag) =
        (Client::connect(&scheduler).await, Client::connect(&scheduler).await, 0);
    let (second, third) = (encode_call(2, IDS[1]), encode_call(3, IDS[2]));
    client.send_call("1", "read", IDS[0]).await;
    let (first_request, first_reply_tx) = with_timeout(worker_rx.recv()).await.unwrap();
    client.0.write_all(&second[..30]).await.unwrap();
    other.expect_check(&mut check_tag, "fit").await;
    pass_seconds(4).await;
    client.0.write_all(&[&second[30..], &third[..30]].concat()).await.unwrap();
    let (second_request, second_reply_tx) = with_timeout(worker_rx.recv()).await.unwrap();
    first_reply_tx.send(reply_line(&first_request, "OK", "")).unwrap();
    client.expect_reply(&["1", "good", "", ""]).await;
    second_reply_tx.send(reply_line(&second_request, "OK", "")).unwrap();
    client.expect_reply(&["2", "good", "", ""]).await;
    pass_seconds(2).await;
    client.expect_closed().await;
    scheduler.finish().await;
}

/// A cancel split at every byte: if the worker answers between the parts that is the only reply; if it answers after
/// the complete cancel there is none.
#[tokio::test]
async fn a_cancel_in_parts_never_causes_a_second_reply() {
    let (address, mut worker_rx) = scripted_worker().await;
    let scheduler = start_scheduler(&[&address], NO_DISCOVERY).await;
    let (mut client, mut other, mut check_tag) =
        (Client::connect(&scheduler).await, Client::connect(&scheduler).await, 0);
    let mut tag = 100;
    for split in 1..encode(&["CANCEL", "100"]).len() {
        for answer_between in [true, false] {
            tag += 1;
            let cancel = encode(&["CANCEL", &tag.to_string()]);
            let bytes = [encode_call(tag, &id(tag as usize)), cancel[..split].to_vec()].concat();
            client.0.write_all(&bytes).await.unwrap();
            let (request, reply_tx) = with_timeout(worker_rx.recv()).await.unwrap();
            if answer_between {
                reply_tx.send(reply_line(&request, "OK", "")).unwrap();
                client.expect_reply(&[&tag.to_string(), "good", "", ""]).await;
            }
            client.0.write_all(&cancel[split..]).await.unwrap();
            other.expect_check(&mut check_tag, "fit").await;
            let _ = reply_tx.send(reply_line(&request, "OK", ""));
        }
    }
    let rounds = tag - 100;
    tag += 1;
    client.expect_check(&mut tag, "fit").await;
    assert!(rounds > 20 && worker_rx.try_recv().is_err());
    scheduler.finish().await;
}

/// Cancels before a split request: one withdraws an open call, and one a call that arrives after it.
#[tokio::test]
async fn cancels_do_not_affect_a_split_request_after_them() {
    let (address, mut worker_rx) = scripted_worker().await;
    let scheduler = start_scheduler(&[&address], NO_DISCOVERY).await;
    let (mut client, mut other, mut check_tag) =
        (Client::connect(&scheduler).await, Client::connect(&scheduler).await, 0);
    let mut tag = 0;
    for split in 1..encode_call(100, &id(0)).len() {
        let tags = [tag + 1, tag + 2, tag + 3];
        tag += 3;
        client.0.write_all(&encode_call(tags[0], &id(tags[0] as usize))).await.unwrap();
        let (first, first_reply_tx) = with_timeout(worker_rx.recv()).await.unwrap();
        assert_eq!(first["req"], id(tags[0] as usize), "split at {split}");
        // The first and the second call are withdrawn, the second before it arrives; the third is split.
        let next = [
            encode(&["CANCEL", &tags[0].to_string()]),
            encode(&["CANCEL", &tags[1].to_string()]),
            encode_call(tags[1], &id(tags[1] as usize)),
            encode_call(tags[2], &id(tags[2] as usize)),
        ];
        let bytes = next.concat();
        let split = bytes.len() - next[3].len() + split;
        client.0.write_all(&bytes[..split]).await.unwrap();
        other.expect_check(&mut check_tag, "fit").await;
        let _ = first_reply_tx.send(reply_line(&first, "OK", ""));
        client.0.write_all(&bytes[split..]).await.unwrap();
        let (third, third_reply_tx) = with_timeout(worker_rx.recv()).await.unwrap();
        assert_eq!(third["req"], id(tags[2] as usize), "the call that was not withdrawn");
        third_reply_tx.send(reply_line(&third, "OK", "")).unwrap();
        client.expect_reply(&[&tags[2].to_string(), "good", "", ""]).await;
    }
    scheduler.finish().await;
}
