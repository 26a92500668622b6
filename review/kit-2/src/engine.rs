//! Model engines: one reads prompts, the others answer with streams of numbered events.

use std::collections::HashMap;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::http::{respond, serve, Request};
use crate::record::Record;
use crate::store::Store;

/// Time from one write of a stream to the next.
const STEP: Duration = Duration::from_millis(20);
/// Events in one write: an engine makes several tokens in a step.
const EVENTS_A_WRITE: u64 = 2;

/// What a faulty engine does to its answers.
#[derive(Default)]
pub struct Garble {
    /// Whether the engine hands out wrong bytes now.
    pub is_on: AtomicBool,
    /// Answers since it began.
    answers: AtomicU64,
    /// Answers that were spoilt.
    pub spoilt: AtomicU64,
    /// One in so many answers is spoilt.
    pub one_in: AtomicU64,
}

/// An engine; clones share it.
#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub stage: &'static str,
    pub address: SocketAddr,
    pub garble: Arc<Garble>,
    next: Arc<AtomicU64>,
    handles: Arc<Mutex<HashMap<String, String>>>,
    record: Record,
}

/// The data of an event: it names the attempt that began the stream's series and the event.
pub fn event_text(series: &str, number: u64) -> String {
    format!("id: {number}\ndata: {series}.{number}\n\n")
}

impl Engine {
    pub fn start(id: &str, stage: &'static str, record: &Record) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        let engine = Self {
            id: id.to_owned(),
            stage,
            address: listener.local_addr().expect("an address"),
            garble: Arc::default(),
            next: Arc::default(),
            handles: Arc::default(),
            record: record.clone(),
        };
        let served = engine.clone();
        serve(listener, move |request, out| served.handle(request, out));
        engine
    }

    /// Writes the engine's entry.
    pub fn register(&self, store: &Store, service: &str, zone: &str) {
        let text = format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":64,\
             \"state\":\"ready\",\"coldLeftMs\":0,\"stage\":\"{}\",\
             \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"callSeq\":0}}",
            self.address, self.stage
        );
        store.put("servers", &self.id, &text);
    }

    fn handle(&self, request: &Request, out: &mut TcpStream) -> bool {
        let stays = request.header("connection").map_or(true, |it| !it.eq_ignore_ascii_case("close"));
        let attempt = request.header("dillspool-attempt-id").unwrap_or("").to_owned();
        let is_other = request.header("dillspool-expect-instance").is_some_and(|id| id != self.id);
        if is_other {
            let headers = [("Dillspool-Instance-Id", &*self.id), ("Dillspool-Attempt-Id", &attempt)];
            return respond(out, 421, &headers, b"").is_ok() && stays;
        }
        let json = ("Content-Type", "application/json");
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        match (request.method.as_str(), request.plain_path()) {
            ("POST", "/api/hold-take") => {
                let body = format!("{{\"hold\":\"h{number:08x}\"}}");
                respond(out, 200, &[json], body.as_bytes()).is_ok() && stays
            }
            ("DELETE", path) if path.starts_with("/api/hold-drop/") => {
                respond(out, 200, &[], b"").is_ok() && stays
            }
            ("DELETE", path) if path.starts_with("/api/kv-handle/") => {
                let handle = path.trim_start_matches("/api/kv-handle/");
                self.handles.lock().unwrap().remove(handle);
                respond(out, 200, &[], b"").is_ok() && stays
            }
            ("POST", "/api/order") => respond(out, 200, &[], b"").is_ok() && stays,
            ("GET", "/health") => {
                respond(out, 200, &[("Dillspool-Instance-Id", &self.id)], b"").is_ok() && stays
            }
            _ if attempt.is_empty() => {
                respond(out, 400, &[("Dillspool-Not-Run", "1")], b"").is_ok() && stays
            }
            _ if request.header("dillspool-serving-stage") == Some("prefill") => {
                if self.stage != "prefill" {
                    return respond(out, 421, &[("Dillspool-Attempt-Id", &attempt)], b"").is_ok() && stays;
                }
                std::thread::sleep(Duration::from_millis(20));
                let handle = format!("{:x}{number:08x}", self.address.port());
                self.handles.lock().unwrap().insert(handle.clone(), attempt.clone());
                let body = format!("{{\"handle\":\"{handle}\",\"tokens\":1000,\"version\":1}}");
                let headers = [json, ("Dillspool-Attempt-Id", &*attempt)];
                respond(out, 200, &headers, body.as_bytes()).is_ok() && stays
            }
            _ if self.stage != "decode" => {
                respond(out, 421, &[("Dillspool-Attempt-Id", &attempt)], b"").is_ok() && stays
            }
            _ => {
                self.stream(request, &attempt, out);
                false
            }
        }
    }

    /// Runs a request: events after `Last-Event-Id` up to the most that the request allows.
    fn stream(&self, request: &Request, attempt: &str, out: &mut TcpStream) {
        let counts = request.header("dillspool-token-count").unwrap_or("1,1");
        let last: u64 = counts.split(',').nth(1).and_then(|it| it.parse().ok()).unwrap_or(1);
        let after: u64 = request.header("last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0);
        let nth = self.garble.answers.fetch_add(1, Ordering::Relaxed);
        let one_in = self.garble.one_in.load(Ordering::Relaxed).max(1);
        let is_spoilt = self.garble.is_on.load(Ordering::Relaxed) && nth % one_in == one_in - 1;
        self.record.line(&format!(
            "run attempt={attempt} engine={} after={after} last={last} spoilt={is_spoilt}",
            self.id
        ));
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nDillspool-Attempt-Id: {attempt}\r\n\
             Dillspool-Server-Seal: seal.{}.{attempt}\r\nDillspool-Weight-Versions: 1\r\n\
             Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n",
            self.id
        );
        if out.write_all(head.as_bytes()).is_err() {
            return;
        }
        // The second event of a write in the middle of the answer.
        let spoil_at = after + (last - after) / 2 / EVENTS_A_WRITE * EVENTS_A_WRITE + EVENTS_A_WRITE;
        let mut number = after + 1;
        while number <= last {
            std::thread::sleep(STEP);
            let to = (number + EVENTS_A_WRITE - 1).min(last);
            let mut text: String = (number..=to).map(|number| event_text(attempt, number)).collect();
            if is_spoilt && to == spoil_at {
                // One byte of the answer is wrong: the first digit of the last id in this write.
                self.garble.spoilt.fetch_add(1, Ordering::Relaxed);
                text = text.replace(&format!("id: {to}\n"), &format!("id: 0{}\n", &to.to_string()[1..]));
                self.record.line(&format!(
                    "spoilt attempt={attempt} engine={} wrote {number} and, with a wrong byte, {to}: {text:?}",
                    self.id
                ));
            }
            number = to + 1;
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            if out.write_all(chunk.as_bytes()).is_err() {
                self.record.line(&format!("run ended early attempt={attempt} engine={}", self.id));
                return;
            }
        }
        let _ = out.write_all(b"0\r\n\r\n");
        self.record.line(&format!("run ended attempt={attempt} engine={} events={after}+1..{last}", self.id));
    }
}
