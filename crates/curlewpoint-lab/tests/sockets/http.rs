//! The HTTP door on real sockets: what it does is what its document says, in both directions.

use std::collections::BTreeSet;
use std::path::PathBuf;

use crate::common::{patient, ScriptedWorker, Stage};
use crate::document::{fits, operations, Draw};
use curlewpoint::types::Outcome;
use curlewpoint_engine::Answer;
use curlewpoint_lab::test_servers::wire::Outgoing;
use curlewpoint_lab::{CallOutcome, REHEARSAL_CONFIG};
use curlewpoint_wire::{Field, Frame, Kind};
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

pub struct Answered {
    pub status: u16,
    head: String,
    pub body: Vec<u8>,
}

impl Answered {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    pub fn headers(&self) -> impl Iterator<Item = (String, &str)> {
        self.head.lines().filter_map(|l| l.split_once(':')).map(|(n, v)| (n.to_ascii_lowercase(), v.trim()))
    }

    pub fn header(&self, name: &str) -> Option<String> {
        self.headers().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.to_owned())
    }
}

/// Sends these bytes and reads to the end of the connection.
async fn raw(address: &str, bytes: &[u8]) -> Answered {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut got = Vec::new();
    let _ = stream.read_to_end(&mut got).await;
    let at = got.windows(4).position(|w| w == b"\r\n\r\n").unwrap_or(got.len());
    let head = String::from_utf8_lossy(&got[..at]).into_owned();
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    Answered { status, head, body: got.get(at + 4..).unwrap_or(&[]).to_vec() }
}

pub async fn send(address: &str, verb: &str, path: &str, headers: &str, body: &[u8]) -> Answered {
    let length = body.len();
    let mut all = format!(
        "{verb} {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {length}\r\n{headers}\r\n"
    )
    .into_bytes();
    all.extend_from_slice(body);
    raw(address, &all).await
}

const JSON: &str = "content-type: application/json\r\n";

struct HttpGateway {
    stage: Stage,
    http: String,
    folder: Folder,
}

impl HttpGateway {
    /// Reloads with these changes to the file that it was started with.
    async fn reload(&self, changes: &[(&str, &str)]) -> Result<(), curlewpoint_gateway::ReloadError> {
        let path = self.folder.0.join("gateway.conf");
        let before = std::fs::read_to_string(&path).unwrap();
        let text = changes.iter().fold(before, |text, (from, to)| {
            assert!(text.contains(from), "{from}");
            text.replace(from, to)
        });
        std::fs::write(&path, text).unwrap();
        let config = curlewpoint_config::load(&path).unwrap_or_else(|f| panic!("{f}"));
        let config =
            patient(config).with_value("seed", "7").with_value("list", &self.stage.list.address.to_string());
        self.stage.gateway.reload_handle().reload(config).await.map(drop)
    }
}

struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// The rehearsal's methods, with schemas for one of them.
async fn start_gateway(name: &str, workers: &[&ScriptedWorker]) -> HttpGateway {
    let folder = std::env::temp_dir().join(format!("curlewpoint-http-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let write = |file: &str, text: &str| std::fs::write(folder.join(file), text).unwrap();
    let schemas = "method issue-extract {\n  request-schema asked.json\n  answer-schema told.json\n  example pages.json\n";
    let text = REHEARSAL_CONFIG.replace("method issue-extract {\n", schemas);
    let text = text.replace("dial-limit 250ms", "dial-limit 250ms\n  http-slow 300ms\n  most-frame 64KiB");
    write("gateway.conf", &format!("http 127.0.0.1:0\n{text}"));
    write(
        "asked.json",
        r#"{"type": "object", "required": ["page"], "properties": {"page": {"type": "integer", "maximum": 400}}}"#,
    );
    write("told.json", r#"{"type": "object", "required": ["page"]}"#);
    write("pages.json", r#"[{"page": 3}]"#);
    let config = curlewpoint_config::load(folder.join("gateway.conf")).unwrap_or_else(|f| panic!("{f}"));
    let stage = Stage::with(config.with_value("seed", "7"), workers).await;
    let http = stage.gateway.http.expect("it has the door").to_string();
    HttpGateway { stage, http, folder: Folder(folder) }
}

/// A worker that answers every attempt with its own body.
fn echo(mut a: ScriptedWorker) -> tokio::task::JoinHandle<()> {
    tokio::spawn(async move {
        loop {
            let asked = a.next_attempt().await;
            a.respond(&asked, Outcome::Ok);
        }
    })
}

/// The document says this of an operation that was called.
fn described(document: &Value, path: &str, a: &Answered) {
    let all = operations(document);
    let of = all.iter().find(|o| o.path == path).unwrap_or_else(|| panic!("{path} is not described"));
    of.allows(a).unwrap_or_else(|why| panic!("{why}"));
}

#[tokio::test(flavor = "multi_thread")]
async fn every_published_operation_is_served_and_every_answer_of_the_door_is_described() {
    let a = ScriptedWorker::start("a").await;
    let d = start_gateway("both-ways", &[&a]).await;
    let _serving = echo(a);
    let document = send(&d.http, "GET", "/openapi.json", "", b"").await.json();
    let paths = document["paths"].as_object().unwrap();
    assert_eq!(paths.len(), 3);
    let mut seen = BTreeSet::new();
    for (path, operations) in paths {
        let operation = &operations["post"];
        let (media, content) =
            operation["requestBody"]["content"].as_object().unwrap().iter().next().unwrap();
        let example = &content["examples"]["example-1"]["value"];
        let body = if example.is_null() { b"scan".to_vec() } else { example.to_string().into_bytes() };
        let token = operation["parameters"]
            .as_array()
            .unwrap()
            .iter()
            .any(|p| p["name"] == "Idempotency-Key" && p["required"] == true);
        let typed = format!("content-type: {media}\r\n");
        let headers = format!("{typed}{}", if token { "idempotency-key: k1\r\n" } else { "" });
        let at = path.replace("{model}", "births");
        let ok = send(&d.http, "POST", &at, &headers, &body).await;
        assert_eq!((ok.status, &ok.body), (200, &body), "{path}");
        // Everything that the door refuses is described too.
        let long = vec![b'1'; 80 << 10];
        let calls = [
            ok,
            send(&d.http, "PUT", &at, &headers, &body).await,
            send(&d.http, "POST", &at, "content-type: text/x\r\n", &body).await,
            send(&d.http, "POST", &at, &headers, &long).await,
            send(&d.http, "POST", &at, &format!("{headers}curlewpoint-time-left: 0\r\n"), &body).await,
            send(&d.http, "POST", &at, &format!("{headers}curlewpoint-time-left: 9\r\ncurlewpoint-time-left: 9\r\n"), &body).await,
            send(&d.http, "POST", &format!("{at}?x=1"), &headers, &body).await,
            send(&d.http, "POST", &at, if token { &typed } else { "content-type: no\r\n" }, &body).await,
            raw(&d.http, format!("POST {at} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{headers}content-length: 9\r\n\r\n").as_bytes()).await,
        ];
        for answered in &calls {
            described(&document, path, answered);
            seen.insert(answered.status);
        }
        if media == "application/json" {
            for (body, status) in
                [(&b"{"[..], 400), (br#"{"page": 401}"#, 422), (br#"{"page": 1, "page": 2}"#, 422)]
            {
                let answered = send(&d.http, "POST", &at, &headers, body).await;
                assert_eq!(answered.status, status);
                described(&document, path, &answered);
                seen.insert(status);
            }
        }
    }
    assert_eq!(seen.into_iter().collect::<Vec<_>>(), [200, 400, 405, 408, 413, 415, 422]);
    let tag = send(&d.http, "GET", "/openapi.json", "", b"").await.header("etag").unwrap();
    assert_eq!(
        send(&d.http, "GET", "/openapi.json", &format!("if-none-match: {tag}\r\n"), b"").await.status,
        304
    );
    assert_eq!(send(&d.http, "GET", "/asyncapi.json", "", b"").await.json()["asyncapi"], "3.0.0");
}

/// The three final answers, each caused for real, and an answer that is not what was promised.
#[tokio::test(flavor = "multi_thread")]
async fn ok_denied_and_aborted_are_kept_apart() {
    let mut a = ScriptedWorker::start("a").await;
    let d = start_gateway("three", &[&a]).await;
    let document = send(&d.http, "GET", "/openapi.json", "", b"").await.json();
    let path = "/v1/issue-extract/{model}";
    let http = d.http.clone();
    let issue = move || {
        let http = http.clone();
        tokio::spawn(async move {
            send(&http, "POST", "/v1/issue-extract/b%C3%BCro", JSON, br#"{"page": 3}"#).await
        })
    };
    let call = issue();
    let (peer, f) = a.next_attempt().await;
    assert_eq!(f.get_text(Field::MODEL).unwrap(), "büro");
    a.respond(&(peer, f), Outcome::Ok);
    let ok = call.await.unwrap();
    assert_eq!((ok.status, ok.body.as_slice()), (200, &br#"{"page": 3}"#[..]));
    described(&document, path, &ok);
    // It has run, but its answer breaks its schema: no ok, and as it is side-effecting no second attempt either.
    let call = issue();
    let (peer, f) = a.next_attempt().await;
    let tag = f.get_int(Field::TAG).unwrap();
    let unfit = Frame::new(Kind::ANSWER).int(Field::TAG, tag).int(Field::OUTCOME, 0).body(&b"{}"[..]);
    a.send(peer, Outgoing::Frame(unfit));
    let aborted = call.await.unwrap();
    assert_eq!((aborted.status, aborted.json()["type"].as_str()), (502, Some("/problems/aborted")));
    assert!(aborted.json()["rpc"].is_string());
    described(&document, path, &aborted);
    // No worker is left: it was not called out, so repeating it is harmless.
    crate::common::name(&d.stage.list, &a, curlewpoint::types::Lifecycle::Draining);
    d.stage
        .until(|s| {
            matches!(
                s,
                curlewpoint_lab::TranscriptEvent::ListEntrySent {
                    lifecycle: curlewpoint::types::Lifecycle::Draining,
                    ..
                }
            )
        })
        .await;
    let denied = issue().await.unwrap();
    assert_eq!((denied.status, denied.json()["type"].as_str()), (503, Some("/problems/denied")));
    described(&document, path, &denied);
}

/// What clients see of a method that is to go, has gone, and has changed, and what an RPC that was open meanwhile gets.
#[tokio::test(flavor = "multi_thread")]
async fn a_reload_changes_what_is_served_and_described_and_nothing_that_is_open() {
    let mut a = ScriptedWorker::start("a").await;
    let d = start_gateway("reload", &[&a]).await;
    let before = send(&d.http, "GET", "/openapi.json", "", b"").await;
    let issue = |page: u64| {
        let (http, body) = (d.http.clone(), format!("{{\"page\": {page}}}"));
        tokio::spawn(async move { send(&http, "POST", "/v1/issue-extract/m", JSON, body.as_bytes()).await })
    };
    // It is told that it goes, and is served with that word; its request is narrowed and its answer is another one.
    let open = issue(390);
    let (peer, f) = a.next_attempt().await;
    std::fs::write(d.folder.0.join("asked.json"), r#"{"properties": {"page": {"maximum": 300}}}"#).unwrap();
    std::fs::write(d.folder.0.join("told.json"), r#"{"type": "object", "required": ["extract"]}"#).unwrap();
    let told = "method issue-extract {\n  deprecated 2026-11-01\n  sunset 2027-03-01";
    d.reload(&[("method issue-extract {", told)]).await.unwrap();
    assert_eq!(issue(390).await.unwrap().status, 422);
    // What was taken before the reload ends by the schema of its time.
    a.respond(&(peer, f), Outcome::Ok);
    assert_eq!(open.await.unwrap().status, 200);
    let call = issue(3);
    let (peer, f) = a.next_attempt().await;
    let tag = f.get_int(Field::TAG).unwrap();
    let new =
        Frame::new(Kind::ANSWER).int(Field::TAG, tag).int(Field::OUTCOME, 0).body(&b"{\"extract\": 1}"[..]);
    a.send(peer, Outgoing::Frame(new));
    let ok = call.await.unwrap();
    assert_eq!(
        (ok.status, ok.header("deprecation").as_deref(), ok.header("sunset").as_deref()),
        (200, Some("@1793491200"), Some("Mon, 01 Mar 2027 00:00:00 GMT"))
    );
    let after = send(&d.http, "GET", "/openapi.json", "", b"").await;
    assert_ne!(before.header("etag"), after.header("etag"));
    described(&after.json(), "/v1/issue-extract/{model}", &ok);
    // It goes: 410 and when, as the document of the time before describes it.
    d.reload(&[("method issue-extract {", "method issue-extracts {")]).await.unwrap();
    let gone = issue(3).await.unwrap();
    assert_eq!((gone.status, gone.json()["type"].as_str()), (410, Some("/problems/withdrawn")));
    let when = httpdate::parse_http_date(&gone.header("sunset").unwrap()).unwrap();
    assert!(when.elapsed().unwrap().as_secs() < 60);
    described(&after.json(), "/v1/issue-extract/{model}", &gone);
    let document = send(&d.http, "GET", "/openapi.json", "", b"").await.json();
    assert!(document["paths"]["/v1/issue-extract/{model}"].is_null());
    assert!(document["paths"]["/v1/issue-extracts/{model}"].is_object());
    assert_eq!(send(&d.http, "POST", "/v1/none/m", JSON, b"{}").await.status, 404);
}

const ASKED: &str = r#"{
  "type": "object", "additionalProperties": false, "required": ["pages", "register"],
  "properties": {
    "register": {"enum": ["births", "deaths", "marriages"]},
    "pages": {"type": "array", "minItems": 1, "maxItems": 5, "items": {"type": "integer", "minimum": 1, "maximum": 400}},
    "names": {"type": "array", "maxItems": 3, "items": {"type": "object", "required": ["given"], "properties": {
      "given": {"type": "string", "minLength": 1, "maxLength": 9}, "born": {"type": "integer", "minimum": 1850, "maximum": 2026}}}},
    "certified": {"type": "boolean"},
    "sure": {"type": "number", "minimum": 0}
  }
}"#;
const TOLD: &str = r#"{
  "type": "object", "required": ["fields"],
  "properties": {"fields": {"type": "array", "items": {"type": "object", "required": ["name", "sure"], "properties": {
    "name": {"type": "string", "minLength": 2}, "sure": {"type": "number"}}}}}
}"#;

/// All three methods with schemas: JSON to JSON, bytes to JSON, JSON to bytes. A worker answers with drawn bodies.
async fn start_described_gateway(name: &str) -> (HttpGateway, ScriptedWorker) {
    let a = ScriptedWorker::start("a").await;
    let d = start_gateway(name, &[&a]).await;
    std::fs::write(d.folder.0.join("asked-fields.json"), ASKED).unwrap();
    std::fs::write(d.folder.0.join("told-fields.json"), TOLD).unwrap();
    d.reload(&[
        (
            "method read-fields {",
            "method read-fields {\n  request-schema asked-fields.json\n  answer-schema told-fields.json",
        ),
        (
            "method read-register {",
            "method read-register {\n  answer-schema told-fields.json\n  sunset 2027-06-01",
        ),
        ("  answer-schema told.json\n", ""),
    ])
    .await
    .unwrap();
    (d, a)
}

fn drawing(mut a: ScriptedWorker) -> tokio::task::JoinHandle<()> {
    let (told, mut draw) = (serde_json::from_str::<Value>(TOLD).unwrap(), Draw::new(5));
    tokio::spawn(async move {
        loop {
            let (peer, f) = a.next_attempt().await;
            let answer = match f.get_text(Field::METHOD).unwrap() {
                "issue-extract" => b"%PDF".to_vec(),
                _ => draw.value(&told).to_string().into_bytes(),
            };
            let frame = Frame::new(Kind::ANSWER).int(Field::TAG, f.get_int(Field::TAG).unwrap());
            a.send(peer, Outgoing::Frame(frame.int(Field::OUTCOME, 0).body(answer)));
        }
    })
}

/// A client that has nothing but the document calls each method with drawn parameters and bodies that fit, and is told
/// what the document says; then with bodies that were changed, and the door's word is that of the published schema.
#[tokio::test(flavor = "multi_thread")]
async fn a_client_driven_by_the_document_alone_is_served_and_refused_as_it_says() {
    let (d, a) = start_described_gateway("alone").await;
    let _serving = drawing(a);
    let document = send(&d.http, "GET", "/openapi.json", "", b"").await.json();
    let mut draw = Draw::new(11);
    let mut media = BTreeSet::new();
    for operation in operations(&document) {
        let (of, schema) = operation.media();
        for _ in 0..60 {
            let body = operation.body(&mut draw);
            let answered = operation.call(&d.http, &mut draw, &body).await;
            operation.allows(&answered).unwrap();
            // A drawn time left may be too short for an answer: that is a refusal or a denial that the document describes.
            assert!([200, 400, 502, 503].contains(&answered.status), "{}", answered.status);
            if answered.status == 200 {
                media.insert((of.to_owned(), answered.header("content-type").unwrap()));
            }
        }
        if of != "application/json" {
            continue;
        }
        let mut fitting = 0;
        for _ in 0..200 {
            let body = draw.value(schema);
            let body = draw.changed(&body);
            let fits = fits(schema, &body).is_ok();
            let answered = send(
                &d.http,
                "POST",
                &operation.path.replace("{model}", "m"),
                JSON,
                body.to_string().as_bytes(),
            )
            .await;
            assert_eq!(answered.status, if fits { 200 } else { 422 }, "{body}");
            operation.allows(&answered).unwrap();
            fitting += usize::from(fits);
        }
        assert!((10..190).contains(&fitting), "{fitting} of 200 fit");
    }
    let [json, bytes] = ["application/json", "application/octet-stream"].map(str::to_owned);
    let all = [(json.clone(), json.clone()), (json.clone(), bytes.clone()), (bytes, json)];
    assert_eq!(media, all.into());
}

/// Taking any one line out of the document that speaks of what was seen is caught, and so is taking out a route.
#[tokio::test(flavor = "multi_thread")]
async fn a_document_that_lacks_a_line_is_caught() {
    let (d, a) = start_described_gateway("lacks").await;
    let _serving = drawing(a);
    let document = send(&d.http, "GET", "/openapi.json", "", b"").await.json();
    let path = "/v1/read-register/{model}";
    let at = "/v1/read-register/m";
    let typed = "content-type: application/octet-stream\r\n";
    let tokened = format!("{typed}idempotency-key: k\r\n");
    let seen = [
        send(&d.http, "POST", at, &tokened, b"x").await,
        send(&d.http, "POST", at, typed, b"x").await,
        send(&d.http, "GET", at, "", b"").await,
        send(&d.http, "POST", at, JSON, b"{}").await,
    ];
    assert_eq!(seen.each_ref().map(|a| a.status), [200, 400, 405, 400]);
    let caught = |change: &dyn Fn(&mut Value), a: &Answered| {
        let mut document = document.clone();
        change(&mut document["paths"][path]["post"]);
        let allowed = operations(&document).iter().find(|o| o.path == path).unwrap().allows(a);
        assert!(allowed.is_err(), "{} is allowed still", a.status);
    };
    for a in &seen {
        described(&document, path, a);
        let status = a.status.to_string();
        caught(&|o| drop(o["responses"].as_object_mut().unwrap().remove(&status)), a);
        caught(&|o| drop(o["responses"][&status].as_object_mut().unwrap().remove("content")), a);
        caught(&|o| drop(o["responses"][&status]["headers"].as_object_mut().unwrap().remove("Sunset")), a);
    }
    // The other way: what is described and not served.
    let gone = d.reload(&[("method read-register {", "method other {")]).await;
    assert_eq!(gone, Ok(()));
    let answered = send(&d.http, "POST", at, &tokened, b"x").await;
    assert_eq!(answered.status, 410);
}

/// Both doors refuse the same bodies.
#[tokio::test(flavor = "multi_thread")]
async fn the_native_door_refuses_what_does_not_fit_as_well() {
    let a = ScriptedWorker::start("a").await;
    let d = start_gateway("native", &[&a]).await;
    let _serving = echo(a);
    let native = d.stage.gateway.address.to_string();
    let call = |body: &'static [u8]| {
        let body = bytes::Bytes::from_static(body);
        curlewpoint_lab::call(&native, "issue-extract", "m", "", curlewpoint::types::Time(9_000), None, body)
    };
    let told = call(br#"{"page": 401}"#).await.unwrap();
    assert!(matches!(&told, CallOutcome::Refused(why) if why.starts_with("unfit: at '/page'")), "{told:?}");
    assert!(matches!(call(br#"{"page": 4}"#).await.unwrap(), CallOutcome::Final { answer: Answer::Ok, .. }));
    let Stage { gateway, client, .. } = d.stage;
    gateway.stop().await;
    client.wait_closed().await;
    let f = gateway.wait().await;
    assert_eq!((f.taken, f.refused), (1, 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn odd_requests_take_nothing() {
    let a = ScriptedWorker::start("a").await;
    let d = start_gateway("odd", &[&a]).await;
    let _serving = echo(a);
    for path in [
        "/v1/issue-extract/",
        "/v1/issue-extract",
        "/v1/issue-extract/m/",
        "/v1/issue-extract/m/n",
        "/v1/none/m",
        "/",
        "/v1//m",
    ] {
        assert_eq!(send(&d.http, "POST", path, JSON, br#"{"page": 3}"#).await.status, 404, "{path}");
    }
    let bad = send(&d.http, "POST", "/v1/issue-extract/%FF", JSON, br#"{"page": 3}"#).await;
    assert_eq!(bad.status, 400);
    // A length beside chunks: one request is seen at most, never a second one smuggled in its body.
    let smuggled = "POST /v1/read-fields/m HTTP/1.1\r\nhost: x\r\ncontent-type: application/octet-stream\r\ncontent-length: 4\r\n\
                    transfer-encoding: chunked\r\n\r\n0\r\n\r\nGET /openapi.json HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    let got = raw(&d.http, smuggled.as_bytes()).await;
    assert!(!String::from_utf8_lossy(&got.body).contains("\"openapi\""), "{}", got.head);
    // A client that never ends its headers is cut off.
    assert_eq!(raw(&d.http, b"POST /v1/read-fields/m HTTP/1.1\r\nhost:").await.status / 100 % 4, 0);
}

/// A client that goes away while its RPC is open is owed nothing; a stop answers those that stay.
#[tokio::test(flavor = "multi_thread")]
async fn a_client_that_hangs_up_is_let_go_and_a_stop_answers_the_rest() {
    let mut a = ScriptedWorker::start("a").await;
    let d = start_gateway("stop", &[&a]).await;
    let mut gone = TcpStream::connect(&d.http).await.unwrap();
    let request = "POST /v1/read-fields/m HTTP/1.1\r\nhost: x\r\ncontent-type: application/octet-stream\r\ncontent-length: 1\r\n\r\nx";
    gone.write_all(request.as_bytes()).await.unwrap();
    let _first = a.next_attempt().await;
    drop(gone);
    let http = d.http.clone();
    let stays = tokio::spawn(async move {
        send(&http, "POST", "/v1/read-fields/m", "content-type: application/octet-stream\r\n", b"x").await
    });
    let second = a.next_attempt().await;
    d.stage.gateway.stop().await;
    a.respond(&second, Outcome::Ok);
    assert_eq!(stays.await.unwrap().status, 200);
    let Stage { gateway, client, .. } = d.stage;
    client.wait_closed().await;
    let f = gateway.wait().await;
    assert_eq!((f.taken, f.ok, f.left), (2, 1, 1));
}
