//! Connections of clients that keep to the protocol stay open, whatever number of commands they carry.

mod test_servers;

use test_servers::*;

/// More commands than any limit of the scheduler on what one connection leaves behind.
const MANY: u64 = 600;

/// Guards against closing a connection because many cancels crossed the answers that they no longer prevent.
#[tokio::test]
async fn cancels_that_cross_their_answers_do_not_close_a_connection() {
    let (address, _) = echo_worker().await;
    let scheduler = start_scheduler(&[&address], NO_DISCOVERY).await;
    let (mut client, mut tag) = (Client::connect(&scheduler).await, 0);
    for _ in 0..MANY {
        client.expect_check(&mut tag, "fit").await;
        client.send(&["CANCEL", &tag.to_string()]).await;
    }
    tag += 1;
    client.send_call(&tag.to_string(), "read", IDS[0]).await;
    client.expect_reply(&[&tag.to_string(), "good", "", "body"]).await;
    scheduler.finish().await;
}
