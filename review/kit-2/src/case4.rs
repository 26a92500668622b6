//! Engines hand out wrong bytes in the middle of streams that may be resumed; the rule ORDER.

use std::net::{Ipv4Addr, TcpListener};
use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::engine::{event_text, Engine};
use crate::http;
use crate::record::Record;
use crate::router::{Host, Router};
use crate::store::Store;

const ZONES: [&str; 3] = ["westlands", "industrial-area", "karen"];
/// Decode engines, and how many of them are faulty: 3 of all 9 engines, under the share of 0.35.
const DECODE_ENGINES: usize = 6;
const FAULTY_ENGINES: usize = 3;
/// One in so many answers is spoilt: 0.02 of them.
const ONE_IN: u64 = 50;
/// How long the engines are faulty, and when that begins: the site file has 5.5 s.
const GARBLE_FROM: Duration = Duration::from_secs(2);
const GARBLE_TIME: Duration = Duration::from_secs(5);
/// Time for which clients send, and between two requests.
const LOAD_TIME: Duration = Duration::from_secs(9);
const REQUEST_INTERVAL: Duration = Duration::from_millis(12);
/// Events of a stream.
const EVENTS: u64 = 40;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-alert","host":"ficu95.example","pathPrefix":"/pufi791/","kind":"streaming","timeoutMs":14000,"objectiveMs":900,"priority":1,"service":"huvo11a","maxAttempts":2,"sessionAffinity":true,"resumable":true,"gapTargetMs":300}],"services":[{"name":"huvo11a","healthPath":"/health","maxConns":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kvTokens":89659,"kvTokenBytes":18432,"linkMbps":1000000.0,"moves":true,"backups":true,"stride":64,"most":12,"handleTtlS":0.5,"switchS":6.0,"pinMs":4000.0,"holdMs":2000.0,"models":[{"name":"m"}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

#[derive(Default, Debug)]
struct Counts {
    sent: usize,
    whole: usize,
    broken_off: usize,
    refused: usize,
    out_of_order: usize,
}

/// Returns whether the rule held.
pub fn run(root: &Path, record_path: &str, has_trouble: bool) -> Result<bool, String> {
    let fail = |error: std::io::Error| error.to_string();
    let record = Record::create(record_path).map_err(fail)?;
    let folder = std::env::temp_dir().join(format!("review-4-{}", std::process::id()));
    std::fs::create_dir_all(&folder).map_err(fail)?;
    let store = Store::new();
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).map_err(fail)?;
    let store_address = listener.local_addr().map_err(fail)?;
    let served = store.clone();
    http::serve(listener, move |request, out| served.handle(request, out));
    let mut engines = Vec::new();
    for number in 0..3 {
        let engine = Engine::start(&format!("i-p{number:07x}"), "prefill", &record);
        engine.register(&store, "huvo11a", ZONES[number % 3]);
        engines.push(engine);
    }
    for number in 0..DECODE_ENGINES {
        let engine = Engine::start(&format!("i-d{number:07x}"), "decode", &record);
        engine.register(&store, "huvo11a", ZONES[number % 3]);
        engines.push(engine);
    }
    store.put("op", "config", CONFIG);
    let hosts: Vec<Host> = (0..3).map(|it| Host::new(&format!("front-{}-1", ZONES[it]), ZONES[it])).collect();
    let seeds: Vec<_> = hosts.iter().map(|host| host.control).collect();
    let mut routers = Vec::new();
    for host in &hosts {
        routers.push(Router::start(root, &folder, host, &seeds, store_address, true).map_err(fail)?);
    }
    for router in &routers {
        if !router.wait_ready(Duration::from_secs(20)) {
            return Err(format!("{} is not ready", router.host.name));
        }
    }
    // The hosts find one another.
    std::thread::sleep(Duration::from_secs(9));
    let counts = Arc::new(Mutex::new(Counts::default()));
    let began = Instant::now();
    let faulty: Vec<Engine> =
        engines.iter().filter(|it| it.stage == "decode").take(FAULTY_ENGINES).cloned().collect();
    for engine in &faulty {
        engine.garble.one_in.store(ONE_IN, Ordering::Relaxed);
    }
    let mut clients = Vec::new();
    let mut number = 0_u64;
    while began.elapsed() < LOAD_TIME {
        let age = began.elapsed();
        let is_on = has_trouble && age >= GARBLE_FROM && age < GARBLE_FROM + GARBLE_TIME;
        for engine in &faulty {
            if engine.garble.is_on.swap(is_on, Ordering::Relaxed) != is_on {
                record.line(&format!("garble engine={} on={is_on}", engine.id));
            }
        }
        let address = hosts[number as usize % hosts.len()].callers;
        let attempt = format!("{:016x}", 0x9c41_0000_0000_0000_u64 + number);
        let (record, counts) = (record.clone(), Arc::clone(&counts));
        clients.push(std::thread::spawn(move || client(address, &attempt, &record, &counts)));
        number += 1;
        std::thread::sleep(REQUEST_INTERVAL);
    }
    for client in clients {
        let _ = client.join();
    }
    drop(routers);
    let counts = counts.lock().unwrap();
    let spoilt: u64 = faulty.iter().map(|it| it.garble.spoilt.load(Ordering::Relaxed)).sum();
    let verdict = if counts.out_of_order > 0 { "BROKEN: ORDER" } else { "held" };
    let summary = format!("{verdict}; {counts:?}, spoilt answers: {spoilt}, trouble: {has_trouble}");
    record.line(&summary);
    println!("{summary}");
    let _ = std::fs::remove_dir_all(&folder);
    if counts.whole == 0 {
        return Err("no stream was served".to_owned());
    }
    if has_trouble && spoilt == 0 {
        return Err("no answer was spoilt".to_owned());
    }
    Ok(counts.out_of_order == 0)
}

/// Sends one request and checks what arrives of its stream.
fn client(address: std::net::SocketAddr, attempt: &str, record: &Record, counts: &Mutex<Counts>) {
    counts.lock().unwrap().sent += 1;
    record.line(&format!("sent attempt={attempt} to={address}"));
    let headers = [
        ("Host", "ficu95.example".to_owned()),
        ("Dillspool-Attempt-Id", attempt.to_owned()),
        ("Dillspool-Model", "m".to_owned()),
        ("Dillspool-Token-Count", format!("1000,{EVENTS}")),
        ("Dillspool-Prompt-Prefix", format!("5c1e07a2:200,{attempt}:800")),
        ("Dillspool-Time-Budget-Ms", "14000".to_owned()),
        ("Connection", "close".to_owned()),
    ];
    let sent = http::send(address, "POST", "/pufi791/2f", &headers, b"prompt", Duration::from_secs(15));
    let Ok(mut reader) = sent else {
        counts.lock().unwrap().refused += 1;
        return;
    };
    let Ok((first, headers)) = http::read_head(&mut reader) else {
        record.line(&format!("answered attempt={attempt} closed without an answer"));
        counts.lock().unwrap().broken_off += 1;
        return;
    };
    if http::status(&first) != 200 || http::header(&headers, "dillspool-server-seal").is_none() {
        record.line(&format!("answered attempt={attempt} status={}", http::status(&first)));
        counts.lock().unwrap().refused += 1;
        return;
    }
    let mut bytes = Vec::new();
    let is_whole = loop {
        match http::read_chunk(&mut reader) {
            Ok(Some(chunk)) => bytes.extend_from_slice(&chunk),
            Ok(None) => break true,
            Err(_) => break false,
        }
    };
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let expected: String = (1..=EVENTS).map(|number| event_text(attempt, number)).collect();
    let is_right = if is_whole { text == expected } else { expected.starts_with(&text) };
    let ids: Vec<&str> = text.lines().filter_map(|line| line.strip_prefix("id: ")).collect();
    record.line(&format!(
        "answered attempt={attempt} status=200 whole={is_whole} in_order={is_right} events={}",
        if is_right { ids.len().to_string() } else { ids.join(",") }
    ));
    let mut counts = counts.lock().unwrap();
    if !is_right {
        counts.out_of_order += 1;
    } else if is_whole {
        counts.whole += 1;
    } else {
        counts.broken_off += 1;
    }
}
