//! The HTTP listener on real sockets: its behaviour and its OpenAPI document agree in both directions.

use std::collections::BTreeSet;
use std::path::PathBuf;

use crate::common::{with_long_dial_limit, ScriptedWorker, Stage};
use crate::document::{fits, operations, Draw};
use curlewpoint::types::Outcome;
use curlewpoint_engine::Answer;
use curlewpoint_lab::test_servers::wire::Outgoing;
use curlewpoint_lab::{CallOutcome, REHEARSAL_CONFIG};
use curlewpoint_wire::{Field, Frame, Kind};
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

pub struct HttpResponse {
    pub status: u16,
    head: String,
    pub body: Vec<u8>,
}

impl HttpResponse {
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
async fn send_raw(address: &str, bytes: &[u8]) -> HttpResponse {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut got = Vec::new();
    let _ = stream.read_to_end(&mut got).await;
    let at = got.windows(4).position(|w| w == b"\r\n\r\n").unwrap_or(got.len());
    let head = String::from_utf8_lossy(&got[..at]).into_owned();
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    HttpResponse { status, head, body: got.get(at + 4..).unwrap_or(&[]).to_vec() }
}

/// Sends one request and reads the response.
pub async fn send(address: &str, verb: &str, path: &str, headers: &str, body: &[u8]) -> HttpResponse {
    let length = body.len();
    let mut all = format!(
        "{verb} {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {length}\r\n{headers}\r\n"
    )
    .into_bytes();
    all.extend_from_slice(body);
    send_raw(address, &all).await
}

const JSON: &str = "content-type: application/json\r\n";

/// A gateway with an HTTP listener and its configuration files.
struct HttpGateway {
    stage: Stage,
    http: String,
    folder: TempDir,
}

impl HttpGateway {
    /// Reloads with these changes to the configuration file.
    async fn reload(&self, changes: &[(&str, &str)]) -> Result<(), curlewpoint_gateway::ReloadError> {
        let path = self.folder.0.join("gateway.conf");
        let before = std::fs::read_to_string(&path).unwrap();
        let text = changes.iter().fold(before, |text, (from, to)| {
            assert!(text.contains(from), "{from}");
            text.replace(from, to)
        });
        std::fs::write(&path, text).unwrap();
        let config = curlewpoint_config::load(&path).unwrap_or_else(|f| panic!("{f}"));
        let config = with_long_dial_limit(config)
            .with_value("seed", "7")
            .with_value("list", &self.stage.list.address.to_string());
        self.stage.gateway.reload_handle().reload(config).await.map(drop)
    }
}

/// A directory that is removed on drop.
struct TempDir(PathBuf);

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Starts a gateway with the rehearsal's methods, and schemas for `issue-extract`.
async fn start_gateway(name: &str, workers: &[&ScriptedWorker]) -> HttpGateway {
    let folder = std::env::temp_dir().join(format!("curlewpoint-http-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let write = |file: &str, text: &str| std::fs::write(folder.join(file), text).unwrap();
    let schemas = "method issue-extract {\n  request-schema request.json\n  answer-schema answer.json\n  example pages.json\n";
    let text = REHEARSAL_CONFIG.replace("method issue-extract {\n", schemas);
    let text = text.replace("dial-limit 250ms", "dial-limit 250ms\n  http-slow 300ms\n  most-frame 64KiB");
    write("gateway.conf", &format!("http 127.0.0.1:0\n{text}"));
    write(
        "request.json",
        r#"{"type": "object", "required": ["page"], "properties": {"page": {"type": "integer", "maximum": 400}}}"#,
    );
    write("answer.json", r#"{"type": "object", "required": ["page"]}"#);
    write("pages.json", r#"[{"page": 3}]"#);
    let config = curlewpoint_config::load(folder.join("gateway.conf")).unwrap_or_else(|f| panic!("{f}"));
    let stage = Stage::with(config.with_value("seed", "7"), workers).await;
    let http = stage.gateway.http.expect("the HTTP listener is configured").to_string();
    HttpGateway { stage, http, folder: TempDir(folder) }
}

/// Answers every attempt with its own body.
fn echo(mut a: ScriptedWorker) -> tokio::task::JoinHandle<()> {
    tokio::spawn(async move {
        loop {
            let asked = a.next_attempt().await;
            a.respond(&asked, Outcome::Ok);
        }
    })
}

/// Asserts that the document describes this response of an operation.
fn assert_described(document: &Value, path: &str, a: &HttpResponse) {
    let all = operations(document);
    let operation = all.iter().find(|o| o.path == path).unwrap_or_else(|| panic!("{path} is not documented"));
    operation.allows(a).unwrap_or_else(|error| panic!("{error}"));
}

#[tokio::test(flavor = "multi_thread")]
async fn every_documented_operation_is_served_and_every_response_is_documented() {
    let a = ScriptedWorker::start("a").await;
    let d = start_gateway("both-ways", &[&a]).await;
    let _serving = echo(a);
    let document = send(&d.http, "GET", "/openapi.json", "", b"").await.json();
    let paths = document["paths"].as_object().unwrap();
    assert_eq!(paths.len(), 3);
    let mut statuses = BTreeSet::new();
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
        // Every refusal is documented too.
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
            send_raw(&d.http, format!("POST {at} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{headers}content-length: 9\r\n\r\n").as_bytes()).await,
        ];
        for answered in &calls {
            assert_described(&document, path, answered);
            statuses.insert(answered.status);
        }
        if media == "application/json" {
            for (body, status) in
                [(&b"{"[..], 400), (br#"{"page": 401}"#, 422), (br#"{"page": 1, "page": 2}"#, 422)]
            {
                let answered = send(&d.http, "POST", &at, &headers, body).await;
                assert_eq!(answered.status, status);
                assert_described(&document, path, &answered);
                statuses.insert(status);
            }
        }
    }
    assert_eq!(statuses.into_iter().collect::<Vec<_>>(), [200, 400, 405, 408, 413, 415, 422]);
    let tag = send(&d.http, "GET", "/openapi.json", "", b"").await.header("etag").unwrap();
    assert_eq!(
        send(&d.http, "GET", "/openapi.json", &format!("if-none-match: {tag}\r\n"), b"").await.status,
        304
    );
    assert_eq!(send(&d.http, "GET", "/asyncapi.json", "", b"").await.json()["asyncapi"], "3.0.0");
}

/// The three final answers, each caused by a worker or its absence, and an answer that violates its schema.
#[tokio::test(flavor = "multi_thread")]
async fn ok_denied_and_aborted_have_distinct_responses() {
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
    assert_described(&document, path, &ok);
    // The attempt has run, but its answer violates the schema: not ok, and no retry, as the method is side-effecting.
    let call = issue();
    let (peer, f) = a.next_attempt().await;
    let tag = f.get_int(Field::TAG).unwrap();
    let unfit = Frame::new(Kind::ANSWER).int(Field::TAG, tag).int(Field::OUTCOME, 0).body(&b"{}"[..]);
    a.send(peer, Outgoing::Frame(unfit));
    let aborted = call.await.unwrap();
    assert_eq!((aborted.status, aborted.json()["type"].as_str()), (502, Some("/problems/aborted")));
    assert!(aborted.json()["rpc"].is_string());
    assert_described(&document, path, &aborted);
    // No worker is available: no attempt was sent, so the RPC is denied and may be repeated.
    crate::common::publish_worker(&d.stage.list, &a, curlewpoint::types::Lifecycle::Draining);
    d.stage
        .wait_for(|s| {
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
    assert_described(&document, path, &denied);
}

/// Responses of a deprecated, a changed and a withdrawn method, and the answer of an RPC open during the reload.
#[tokio::test(flavor = "multi_thread")]
async fn a_reload_changes_service_and_document_but_no_open_rpc() {
    let mut a = ScriptedWorker::start("a").await;
    let d = start_gateway("reload", &[&a]).await;
    let before = send(&d.http, "GET", "/openapi.json", "", b"").await;
    let issue = |page: u64| {
        let (http, body) = (d.http.clone(), format!("{{\"page\": {page}}}"));
        tokio::spawn(async move { send(&http, "POST", "/v1/issue-extract/m", JSON, body.as_bytes()).await })
    };
    // The method is deprecated, its request schema narrowed and its answer schema replaced.
    let open = issue(390);
    let (peer, f) = a.next_attempt().await;
    std::fs::write(d.folder.0.join("request.json"), r#"{"properties": {"page": {"maximum": 300}}}"#).unwrap();
    std::fs::write(d.folder.0.join("answer.json"), r#"{"type": "object", "required": ["extract"]}"#).unwrap();
    let deprecated = "method issue-extract {\n  deprecated 2026-11-01\n  sunset 2027-03-01";
    d.reload(&[("method issue-extract {", deprecated)]).await.unwrap();
    assert_eq!(issue(390).await.unwrap().status, 422);
    // An RPC accepted before the reload ends under the schema of that time.
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
    assert_described(&after.json(), "/v1/issue-extract/{model}", &ok);
    // The method is withdrawn: 410 with the date, as the document before the reload describes it.
    d.reload(&[("method issue-extract {", "method issue-extracts {")]).await.unwrap();
    let gone = issue(3).await.unwrap();
    assert_eq!((gone.status, gone.json()["type"].as_str()), (410, Some("/problems/withdrawn")));
    let when = httpdate::parse_http_date(&gone.header("sunset").unwrap()).unwrap();
    assert!(when.elapsed().unwrap().as_secs() < 60);
    assert_described(&after.json(), "/v1/issue-extract/{model}", &gone);
    let document = send(&d.http, "GET", "/openapi.json", "", b"").await.json();
    assert!(document["paths"]["/v1/issue-extract/{model}"].is_null());
    assert!(document["paths"]["/v1/issue-extracts/{model}"].is_object());
    assert_eq!(send(&d.http, "POST", "/v1/none/m", JSON, b"{}").await.status, 404);
}

const REQUEST_SCHEMA: &str = r#"{
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
const ANSWER_SCHEMA: &str = r#"{
  "type": "object", "required": ["fields"],
  "properties": {"fields": {"type": "array", "items": {"type": "object", "required": ["name", "sure"], "properties": {
    "name": {"type": "string", "minLength": 2}, "sure": {"type": "number"}}}}}
}"#;

/// Starts a gateway whose three methods have schemas: JSON to JSON, bytes to JSON, JSON to bytes.
async fn start_gateway_with_schemas(name: &str) -> (HttpGateway, ScriptedWorker) {
    let a = ScriptedWorker::start("a").await;
    let d = start_gateway(name, &[&a]).await;
    std::fs::write(d.folder.0.join("fields-request.json"), REQUEST_SCHEMA).unwrap();
    std::fs::write(d.folder.0.join("fields-answer.json"), ANSWER_SCHEMA).unwrap();
    d.reload(&[
        (
            "method read-fields {",
            "method read-fields {\n  request-schema fields-request.json\n  answer-schema fields-answer.json",
        ),
        (
            "method read-register {",
            "method read-register {\n  answer-schema fields-answer.json\n  sunset 2027-06-01",
        ),
        ("  answer-schema answer.json\n", ""),
    ])
    .await
    .unwrap();
    (d, a)
}

/// Answers every attempt with a random body that fits the method's schema.
fn random_answers(mut a: ScriptedWorker) -> tokio::task::JoinHandle<()> {
    let (answer_schema, mut draw) = (serde_json::from_str::<Value>(ANSWER_SCHEMA).unwrap(), Draw::new(5));
    tokio::spawn(async move {
        loop {
            let (peer, f) = a.next_attempt().await;
            let answer = match f.get_text(Field::METHOD).unwrap() {
                "issue-extract" => b"%PDF".to_vec(),
                _ => draw.value(&answer_schema).to_string().into_bytes(),
            };
            let frame = Frame::new(Kind::ANSWER).int(Field::TAG, f.get_int(Field::TAG).unwrap());
            a.send(peer, Outgoing::Frame(frame.int(Field::OUTCOME, 0).body(answer)));
        }
    })
}

/// A client that knows only the document calls each method with random valid parameters and bodies and gets documented
/// responses; then it mutates the bodies, and the listener accepts exactly those that fit the published schema.
#[tokio::test(flavor = "multi_thread")]
async fn a_client_driven_by_the_document_is_served_and_refused_accordingly() {
    let (d, a) = start_gateway_with_schemas("alone").await;
    let _serving = random_answers(a);
    let document = send(&d.http, "GET", "/openapi.json", "", b"").await.json();
    let mut draw = Draw::new(11);
    let mut media = BTreeSet::new();
    for operation in operations(&document) {
        let (of, schema) = operation.media();
        for _ in 0..60 {
            let body = operation.body(&mut draw);
            let answered = operation.call(&d.http, &mut draw, &body).await;
            operation.allows(&answered).unwrap();
            // A random time left may be too short for an answer: a documented refusal or denial.
            assert!([200, 400, 502, 503].contains(&answered.status), "{}", answered.status);
            if answered.status == 200 {
                media.insert((of.to_owned(), answered.header("content-type").unwrap()));
            }
        }
        if of != "application/json" {
            continue;
        }
        let mut valid = 0;
        for _ in 0..200 {
            let body = draw.value(schema);
            let body = draw.mutate(&body);
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
            valid += usize::from(fits);
        }
        assert!((10..190).contains(&valid), "{valid} of 200 fit");
    }
    let [json, bytes] = ["application/json", "application/octet-stream"].map(str::to_owned);
    let all = [(json.clone(), json.clone()), (json.clone(), bytes.clone()), (bytes, json)];
    assert_eq!(media, all.into());
}

/// Removing any part of the document that describes an observed response is detected, and so is removing a route.
#[tokio::test(flavor = "multi_thread")]
async fn an_incomplete_document_is_detected() {
    let (d, a) = start_gateway_with_schemas("lacks").await;
    let _serving = random_answers(a);
    let document = send(&d.http, "GET", "/openapi.json", "", b"").await.json();
    let path = "/v1/read-register/{model}";
    let at = "/v1/read-register/m";
    let typed = "content-type: application/octet-stream\r\n";
    let tokened = format!("{typed}idempotency-key: k\r\n");
    let responses = [
        send(&d.http, "POST", at, &tokened, b"x").await,
        send(&d.http, "POST", at, typed, b"x").await,
        send(&d.http, "GET", at, "", b"").await,
        send(&d.http, "POST", at, JSON, b"{}").await,
    ];
    assert_eq!(responses.each_ref().map(|a| a.status), [200, 400, 405, 400]);
    let assert_detected = |change: &dyn Fn(&mut Value), a: &HttpResponse| {
        let mut document = document.clone();
        change(&mut document["paths"][path]["post"]);
        let allowed = operations(&document).iter().find(|o| o.path == path).unwrap().allows(a);
        assert!(allowed.is_err(), "{} is still allowed", a.status);
    };
    for a in &responses {
        assert_described(&document, path, a);
        let status = a.status.to_string();
        assert_detected(&|o| drop(o["responses"].as_object_mut().unwrap().remove(&status)), a);
        assert_detected(&|o| drop(o["responses"][&status].as_object_mut().unwrap().remove("content")), a);
        assert_detected(
            &|o| drop(o["responses"][&status]["headers"].as_object_mut().unwrap().remove("Sunset")),
            a,
        );
    }
    // The reverse: documented, but not served.
    let gone = d.reload(&[("method read-register {", "method other {")]).await;
    assert_eq!(gone, Ok(()));
    let answered = send(&d.http, "POST", at, &tokened, b"x").await;
    assert_eq!(answered.status, 410);
}

/// Both listeners refuse the same bodies.
#[tokio::test(flavor = "multi_thread")]
async fn the_native_listener_refuses_bodies_that_violate_the_schema_too() {
    let a = ScriptedWorker::start("a").await;
    let d = start_gateway("native", &[&a]).await;
    let _serving = echo(a);
    let native = d.stage.gateway.address.to_string();
    let call = |body: &'static [u8]| {
        let body = bytes::Bytes::from_static(body);
        curlewpoint_lab::call(&native, "issue-extract", "m", "", curlewpoint::types::Time(9_000), None, body)
    };
    let refused = call(br#"{"page": 401}"#).await.unwrap();
    assert!(
        matches!(&refused, CallOutcome::Refused(reason) if reason.starts_with("unfit: at '/page'")),
        "{refused:?}"
    );
    assert!(matches!(call(br#"{"page": 4}"#).await.unwrap(), CallOutcome::Final { answer: Answer::Ok, .. }));
    let Stage { gateway, client, .. } = d.stage;
    gateway.stop().await;
    client.wait_closed().await;
    let f = gateway.wait().await;
    assert_eq!((f.taken, f.refused), (1, 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_requests_are_refused() {
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
    // Content-Length with Transfer-Encoding: at most one request is read, never one smuggled in the body.
    let smuggled = "POST /v1/read-fields/m HTTP/1.1\r\nhost: x\r\ncontent-type: application/octet-stream\r\ncontent-length: 4\r\n\
                    transfer-encoding: chunked\r\n\r\n0\r\n\r\nGET /openapi.json HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    let got = send_raw(&d.http, smuggled.as_bytes()).await;
    assert!(!String::from_utf8_lossy(&got.body).contains("\"openapi\""), "{}", got.head);
    // A client that never completes its headers is disconnected.
    assert_eq!(send_raw(&d.http, b"POST /v1/read-fields/m HTTP/1.1\r\nhost:").await.status / 100 % 4, 0);
}

/// A client that disconnects while its RPC is open is owed no answer; a stop answers the others.
#[tokio::test(flavor = "multi_thread")]
async fn a_disconnected_client_is_dropped_and_a_stop_answers_the_others() {
    let mut a = ScriptedWorker::start("a").await;
    let d = start_gateway("stop", &[&a]).await;
    let mut leaving = TcpStream::connect(&d.http).await.unwrap();
    let request = "POST /v1/read-fields/m HTTP/1.1\r\nhost: x\r\ncontent-type: application/octet-stream\r\ncontent-length: 1\r\n\r\nx";
    leaving.write_all(request.as_bytes()).await.unwrap();
    let _first = a.next_attempt().await;
    drop(leaving);
    let http = d.http.clone();
    let staying = tokio::spawn(async move {
        send(&http, "POST", "/v1/read-fields/m", "content-type: application/octet-stream\r\n", b"x").await
    });
    let second = a.next_attempt().await;
    d.stage.gateway.stop().await;
    a.respond(&second, Outcome::Ok);
    assert_eq!(staying.await.unwrap().status, 200);
    let Stage { gateway, client, .. } = d.stage;
    client.wait_closed().await;
    let f = gateway.wait().await;
    assert_eq!((f.taken, f.ok, f.left), (2, 1, 1));
}

/// Guards against requests that are sent on after their client has left: they were pipelined, and are read behind its end.
/// On one thread, so that the client has left before the gateway reads.
#[tokio::test]
async fn pipelined_requests_of_a_client_that_has_left_are_not_sent_on() {
    let mut a = ScriptedWorker::start("a").await;
    let d = start_gateway("left", &[&a]).await;
    let request = |body| {
        format!("POST /v1/read-fields/m HTTP/1.1\r\nhost: x\r\ncontent-type: application/octet-stream\r\ncontent-length: 1\r\n\r\n{body}")
    };
    let mut leaving = std::net::TcpStream::connect(&d.http).unwrap();
    std::io::Write::write_all(&mut leaving, request("x").repeat(8).as_bytes()).unwrap();
    drop(leaving);
    let mut staying = TcpStream::connect(&d.http).await.unwrap();
    staying.write_all(request("y").as_bytes()).await.unwrap();
    let first = a.next_attempt().await;
    assert_eq!(&first.1.body[..], b"y");
    a.respond(&first, Outcome::Ok);
}
