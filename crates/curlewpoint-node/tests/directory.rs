//! Answers of the directory that are late, lost, or on their way as it moves.

mod test_servers;

use std::time::{Duration, Instant};

use test_servers::*;

/// What the settings of the stand leave of a drain, less some time to act.
const WITHIN_A_GRACE: Duration = Duration::from_millis(500);

/// The list that drains the first worker and names the next.
fn drains(directory: &Directory, drained: &str, next: &str) {
    directory.answers(2, &[("s-0", drained.to_owned(), 1), ("s-1", next.to_owned(), 0)], 0);
}

/// A call goes to the next worker, and is served there.
async fn goes_to(heard: &mut tokio::sync::mpsc::UnboundedReceiver<Heard>, client: &mut Client) {
    client.call("1", "read", IDS[0]).await;
    let (asked, say) = soon(heard.recv()).await.expect("a call");
    say.send(answer(&asked, "OK", "")).unwrap();
    client.hears(&["1", "good", "", ""]).await;
}

/// Guards against reloads that come faster than the directory answers: what each place had been asked is not lost.
#[tokio::test]
async fn an_answer_on_its_way_as_the_directory_moves_again_still_counts() {
    let ((at, _heard), (next, mut at_next)) = (worker().await, worker().await);
    let mut places = [Directory::new().await, Directory::new().await, Directory::new().await];
    let of = scheduler(&[&at], &places[0].at().to_string()).await;
    let (mut client, mut other) = (Client::new(&of).await, Client::new(&of).await);
    places[0].is_asked().await;
    for place in &mut places[1..] {
        of.resolver.send(place.at()).unwrap();
        place.is_asked().await;
    }
    drains(&places[1], &at, &next);
    for tag in 1..4 {
        other.looks(&mut { tag }, "fit").await;
    }
    goes_to(&mut at_next, &mut client).await;
    of.settled().await;
}

/// The same of a reload that names the same place.
#[tokio::test]
async fn a_move_to_the_same_place_loses_no_answer() {
    let ((at, _heard), (next, mut at_next)) = (worker().await, worker().await);
    let mut directory = Directory::new().await;
    let of = scheduler(&[&at], &directory.at().to_string()).await;
    let (mut client, mut other) = (Client::new(&of).await, Client::new(&of).await);
    directory.is_asked().await;
    of.resolver.send(directory.at()).unwrap();
    other.looks(&mut 0, "fit").await;
    drains(&directory, &at, &next);
    for tag in 1..4 {
        other.looks(&mut { tag }, "fit").await;
    }
    goes_to(&mut at_next, &mut client).await;
    of.settled().await;
}

/// Guards a drain's grace against answers that are lost: it runs from the moment the first of them was sent.
#[tokio::test]
async fn three_answers_lost_in_a_row_cost_less_than_a_grace() {
    let (at, _heard) = worker().await;
    let mut directory = Directory::new().await;
    let of = scheduler(&[&at], &directory.at().to_string()).await;
    directory.is_asked().await;
    directory.answers(1, &[("s-0", at.clone(), 0)], 0);
    directory.is_asked().await;
    let first = Instant::now();
    for _ in 0..3 {
        directory.is_asked().await;
    }
    let took = first.elapsed();
    assert!(took < WITHIN_A_GRACE, "the fourth question came {took:?} after the first");
    of.settled().await;
}
