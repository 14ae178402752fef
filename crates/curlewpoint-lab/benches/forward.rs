//! The gateway beside a bare forwarder of ours: the same codec and connections, round robin, no module. Both run on a
//! thread of their own, before 87 workers that answer at once; what saturates is measured with RPCs always in flight,
//! latency at half of the forwarder's and of the gateway's own saturation with arrivals at set times.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use curlewpoint::types::{Lifecycle, Outcome, Time};
use curlewpoint_emulator::ListEntry;
use curlewpoint_gateway::outcome_code;
use curlewpoint_lab::test_servers::wire::{Listener, Outgoing, PeerEvent};
use curlewpoint_lab::test_servers::TestListService;
use curlewpoint_lab::{Transcript, REHEARSAL_CONFIG};
use curlewpoint_link::{handshake, Link, LinkLimits, Outbox};
use curlewpoint_wire::{Field, Frame, Kind};
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http2;
use hyper::Request;
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio_stream::StreamExt;

const WORKERS: usize = 87;
const CLIENTS: usize = 8;
const IN_FLIGHT: usize = 32;
const SPAN: Duration = Duration::from_secs(4);
const BODY: usize = 256;

/// A worker that answers at once.
async fn worker(no: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        let (tell, mut heard) = mpsc::unbounded_channel();
        let (_mute, muted) = watch::channel(false);
        let _door = Listener::open(listener, format!("w{no}"), tell, muted);
        let mut peers = BTreeMap::new();
        while let Some(heard) = heard.recv().await {
            match heard {
                PeerEvent::Connected(id, _, say) => drop(peers.insert(id, say)),
                PeerEvent::Disconnected(id) => drop(peers.remove(&id)),
                PeerEvent::Frame(id, f) => {
                    let kind = match f.kind {
                        Kind::ATTEMPT => Kind::ANSWER,
                        Kind::PROBE => Kind::REPORT,
                        Kind::LOAD => Kind::LOADED,
                        _ => continue,
                    };
                    let tag = f.get_int(Field::TAG).unwrap_or(0);
                    let a =
                        Frame::new(kind).int(Field::TAG, tag).int(Field::OUTCOME, outcome_code(Outcome::Ok));
                    let a = a.int(Field::COPY_STATUS, 1).int(Field::COPIES, 1).body(f.body);
                    if let Some(say) = peers.get(&id) {
                        let _ = say.send(Outgoing::Frame(a));
                    }
                }
            }
        }
    });
    address
}

/// The baseline: what comes goes to the next worker in turn, and its answer back.
async fn forwarder(workers: Vec<SocketAddr>) -> SocketAddr {
    type Waiting = Arc<Mutex<BTreeMap<u64, (Outbox, u64)>>>;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
    let address = listener.local_addr().expect("bound");
    let waiting = Waiting::default();
    let mut to = Vec::new();
    for address in workers {
        let Link { outbox, mut reader, .. } = link(address).await;
        to.push(outbox);
        let waiting = Arc::clone(&waiting);
        tokio::spawn(async move {
            while let Some(Ok(f)) = reader.next().await {
                let asked = waiting.lock().expect("held shortly").remove(&f.get_int(Field::TAG).unwrap_or(0));
                if let Some((client, tag)) = asked {
                    let f = Frame::new(Kind::FINAL_ANSWER)
                        .int(Field::TAG, tag)
                        .int(Field::OUTCOME, 0)
                        .body(f.body);
                    let _ = client.send(f, None);
                }
            }
        });
    }
    let (to, next) = (Arc::new(to), Arc::new(AtomicU64::new(0)));
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (to, next, waiting) = (Arc::clone(&to), Arc::clone(&next), Arc::clone(&waiting));
            tokio::spawn(async move {
                let Ok(Link { outbox, mut reader, .. }) =
                    handshake(stream, "forwarder", LinkLimits::default()).await
                else {
                    return;
                };
                while let Some(Ok(f)) = reader.next().await {
                    let no = next.fetch_add(1, Ordering::Relaxed);
                    let tag = f.get_int(Field::TAG).unwrap_or(0);
                    waiting.lock().expect("held shortly").insert(no, (outbox.clone(), tag));
                    let out = Frame::new(Kind::ATTEMPT).int(Field::TAG, no);
                    let out = out.text(Field::METHOD, f.get_text(Field::METHOD).unwrap_or(""));
                    let out = out.text(Field::MODEL, f.get_text(Field::MODEL).unwrap_or(""));
                    let _ = to[no as usize % to.len()].send(out.int(Field::TIME_LEFT, 9).body(f.body), None);
                }
            });
        }
    });
    address
}

async fn link(address: SocketAddr) -> Link {
    handshake(TcpStream::connect(address).await.expect("it listens"), "bench", LinkLimits::default())
        .await
        .expect("it speaks")
}

/// Runs something on a thread and a runtime of its own, and tells where it listens.
fn on_its_own<F>(work: impl FnOnce() -> F + Send + 'static) -> SocketAddr
where
    F: std::future::Future<Output = SocketAddr>,
{
    let (tell, told) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        runtime.block_on(async {
            let _ = tell.send(work().await);
            std::future::pending::<()>().await
        });
    });
    told.recv().expect("it starts")
}

fn rpc(tag: u64, body: &Bytes) -> Frame {
    let model = format!("model-{}", tag.wrapping_mul(0x9e37_79b9_7f4a_7c15) % 100);
    let f = Frame::new(Kind::RPC).int(Field::TAG, tag).text(Field::METHOD, "read-fields");
    f.text(Field::MODEL, &model).int(Field::TIME_LEFT, 40_000).body(body.clone())
}

#[derive(Default)]
struct Sums {
    ok: u64,
    other: u64,
}

/// Keeps RPCs in flight; RPCs ended ok a second.
async fn saturate(address: SocketAddr) -> (f64, u64) {
    let mut tasks = tokio::task::JoinSet::new();
    for _ in 0..CLIENTS {
        tasks.spawn(async move {
            let (mut link, body) = (link(address).await, Bytes::from(vec![7; BODY]));
            let mut sums = Sums::default();
            (0..IN_FLIGHT as u64).for_each(|tag| link.outbox.send(rpc(tag, &body), None).expect("room"));
            let (began, mut tag) = (Instant::now(), IN_FLIGHT as u64);
            while began.elapsed() < SPAN {
                let f = link.reader.next().await.expect("it lives").expect("a frame");
                let ok = f.kind == Kind::FINAL_ANSWER && f.get_int(Field::OUTCOME) == Ok(0);
                *(if ok { &mut sums.ok } else { &mut sums.other }) += 1;
                link.outbox.send(rpc(tag, &body), None).expect("room");
                tag += 1;
            }
            sums
        });
    }
    let all = tasks.join_all().await;
    (all.iter().map(|s| s.ok).sum::<u64>() as f64 / SPAN.as_secs_f64(), all.iter().map(|s| s.other).sum())
}

/// The same over HTTP/2, which the gateway's other door speaks.
async fn saturate_http(address: SocketAddr) -> (f64, u64) {
    let mut tasks = tokio::task::JoinSet::new();
    for _ in 0..CLIENTS {
        let stream = TcpStream::connect(address).await.expect("it listens");
        let _ = stream.set_nodelay(true);
        let (sender, connection) =
            http2::handshake(TokioExecutor::new(), TokioIo::new(stream)).await.expect("it speaks");
        tokio::spawn(connection);
        for lane in 0..IN_FLIGHT as u64 {
            let mut sender = sender.clone();
            tasks.spawn(async move {
                let (body, mut sums) = (Bytes::from(vec![7; BODY]), Sums::default());
                let (began, mut tag) = (Instant::now(), lane);
                while began.elapsed() < SPAN {
                    let model = tag.wrapping_mul(0x9e37_79b9_7f4a_7c15) % 100;
                    let request = Request::post(format!("http://door/v1/read-fields/model-{model}"))
                        .header("content-type", "application/octet-stream")
                        .body(Full::new(body.clone()))
                        .expect("a request");
                    let response = sender.send_request(request).await.expect("it answers");
                    let ok = response.status() == 200;
                    response.into_body().collect().await.expect("to the end");
                    *(if ok { &mut sums.ok } else { &mut sums.other }) += 1;
                    tag += IN_FLIGHT as u64;
                }
                sums
            });
        }
    }
    let all = tasks.join_all().await;
    (all.iter().map(|s| s.ok).sum::<u64>() as f64 / SPAN.as_secs_f64(), all.iter().map(|s| s.other).sum())
}

/// Sends at set times whatever has come back; latencies from the time at which each was due.
async fn at_rate(address: SocketAddr, rate: f64) -> Histogram<u64> {
    let mut tasks = tokio::task::JoinSet::new();
    for _ in 0..CLIENTS {
        tasks.spawn(async move {
            let Link { outbox, mut reader, .. } = link(address).await;
            let body = Bytes::from(vec![7; BODY]);
            let gap = Duration::from_secs_f64(CLIENTS as f64 / rate);
            let total = (SPAN.as_secs_f64() / gap.as_secs_f64()) as u64;
            let began = Instant::now();
            let due = move |tag: u64| began + gap * tag as u32;
            let sending = tokio::spawn(async move {
                for tag in 0..total {
                    tokio::time::sleep_until(due(tag).into()).await;
                    let _ = outbox.send(rpc(tag, &body), None);
                }
                outbox
            });
            let mut took = Histogram::<u64>::new(3).expect("three digits");
            for _ in 0..total {
                let f = reader.next().await.expect("it lives").expect("a frame");
                let since = due(f.get_int(Field::TAG).expect("a tag")).elapsed();
                let _ = took.record(since.as_micros() as u64);
            }
            drop(sending.await);
            took
        });
    }
    tasks
        .join_all()
        .await
        .into_iter()
        .reduce(|mut a, b| {
            let _ = a.add(b);
            a
        })
        .expect("a client")
}

async fn measure() {
    let mut workers = Vec::new();
    for no in 0..WORKERS {
        workers.push(worker(no).await);
    }
    let transcript = Transcript::default();
    let list = TestListService::start("127.0.0.1:0", &transcript, Time(0)).await.expect("loopback");
    for (no, address) in workers.iter().enumerate() {
        let (address, zone, cell) = (address.to_string(), String::new(), String::new());
        list.set_entry(
            &format!("w{no}"),
            ListEntry {
                address,
                lifecycle: Lifecycle::Ready,
                start_id: 1,
                started_at: None,
                zone,
                cell,
                size: 1.0,
            },
        );
    }
    let config = curlewpoint_config::parse("rehearsal.conf", REHEARSAL_CONFIG).expect("shipped");
    let config = config.with_value("list", &list.address.to_string()).with_value("seed", "1");
    let (tell, told) = std::sync::mpsc::channel();
    let gateway = on_its_own(move || async move {
        let running =
            curlewpoint_gateway::start(&config.with_value("http", "127.0.0.1:0")).await.expect("it starts");
        let address = running.address;
        let _ = tell.send(running.http.expect("it has the door"));
        tokio::spawn(running.wait());
        address
    });
    let http = told.recv().expect("it starts");
    let plain = on_its_own(move || forwarder(workers));
    let cores = std::thread::available_parallelism().map_or(0, |n| n.get());
    println!("{cores} cores, {WORKERS} workers that answer at once, bodies of {BODY} bytes, {CLIENTS} x {IN_FLIGHT} in flight");
    let mut most = Vec::new();
    for (name, address) in [("forwarder", plain), ("gateway", gateway)] {
        // Once to warm up, once to count.
        saturate(address).await;
        let (rate, other) = saturate(address).await;
        println!("{name:10} saturates at {rate:8.0} RPCs a second; {other} ended otherwise than ok");
        most.push(rate);
    }
    println!("gateway / forwarder: {:.2}", most[1] / most[0]);
    saturate_http(http).await;
    let (rate, other) = saturate_http(http).await;
    println!("by HTTP/2  saturates at {rate:8.0} RPCs a second; {other} ended otherwise than ok");
    println!("by HTTP/2 / by the native door: {:.2}", rate / most[1]);
    for rate in [most[1] / 2.0, most[1] / 10.0] {
        for (name, address) in [("forwarder", plain), ("gateway", gateway)] {
            let h = at_rate(address, rate).await;
            let us = |q| h.value_at_quantile(q);
            println!(
                "{name:10} at {rate:6.0} a second: p50 {} us, p99 {} us, p99.9 {} us",
                us(0.5),
                us(0.99),
                us(0.999)
            );
        }
    }
}

fn main() {
    // `cargo test` runs benches too; the measurement is for `cargo bench` alone.
    if std::env::args().any(|a| a == "--bench") {
        let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().expect("a runtime");
        runtime.block_on(measure());
        std::process::exit(0);
    }
}
