//! Machines are removed for good while a limit of a tenant is shared among them; the rule RECOVER.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, respond, Request};
use crate::record::Record;
use crate::router::{Host, Router};
use crate::store::Store;

/// Zones of the 8 machines, as many as the small deployment has.
const ZONES: [&str; 3] = ["westlands", "industrial-area", "karen"];
const HOSTS: usize = 8;
const SERVERS: usize = 6;
/// Time of a server for a request.
const WORK: Duration = Duration::from_millis(15);
/// Between two requests: 100 of them a second, 20,000 tokens.
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);
/// Load before the first machine leaves, and between two that leave.
const LEAD: Duration = Duration::from_secs(5);
const GAP: Duration = Duration::from_millis(1300);
/// How long the final fault lasts.
const DOWN: Duration = Duration::from_millis(1500);
/// `recoveryS` of the site, and how long requests are counted after it.
const RECOVERY: Duration = Duration::from_secs(15);
const COUNTED: Duration = Duration::from_secs(8);
const GRACE: Duration = Duration::from_secs(8);
const QUOTA_SLACK: u32 = 120_000;

/// The tenant may use 29,000 tokens a second; a request without a count of tokens counts 200.
const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-pull","host":"ficu95.example","pathPrefix":"/puxa403/","kind":"idempotent","timeoutMs":3000,"objectiveMs":300,"priority":2,"service":"wuno96b","maxAttempts":2,"keyless":false}],"services":[{"name":"wuno96b","healthPath":"/health","maxConns":420,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"huka270","keys":["banfqasnmgkcuyj8pjbv"],"priority":2,"unit":"tokens","plainTokens":200,"ratePerS":29000,"burst":29000}]}"#;

/// Requests of one part of the run, and their answers.
#[derive(Clone, Copy, Default, Debug)]
struct Counts {
    sent: usize,
    served: usize,
    over_limit: usize,
    other: usize,
}

/// What clients know: where to send, and which part of the run it is.
struct Shared {
    callers: Vec<SocketAddr>,
    /// Before the final fault, during the recovery, and later.
    part: usize,
    counts: [Counts; 3],
    is_over: bool,
}

fn start_server(number: usize, store: &Store, record: &Record) {
    let id = format!("i-a{number:07x}");
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (name, record) = (id.clone(), record.clone());
    http::serve(listener, move |request, out| answer(&name, request, out, &record));
    let text = format!(
        "{{\"service\":\"wuno96b\",\"address\":\"{address}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":6,\
         \"state\":\"ready\",\"coldLeftMs\":0,\"callSeq\":0}}",
        ZONES[number % ZONES.len()]
    );
    store.put("servers", &id, &text);
}

fn answer(id: &str, request: &Request, out: &mut TcpStream, record: &Record) -> bool {
    let stays = request.header("connection").map_or(true, |it| !it.eq_ignore_ascii_case("close"));
    let attempt = request.header("dillspool-attempt-id").unwrap_or("");
    if request.plain_path() == "/health" {
        return respond(out, 200, &[("Dillspool-Instance-Id", id)], b"").is_ok() && stays;
    }
    if request.header("dillspool-expect-instance").is_some_and(|it| it != id) {
        return respond(out, 421, &[("Dillspool-Instance-Id", id)], b"").is_ok() && stays;
    }
    if attempt.is_empty() {
        return respond(out, 400, &[("Dillspool-Not-Run", "1")], b"").is_ok() && stays;
    }
    let tenant = request.header("dillspool-tenant").unwrap_or("");
    record.line(&format!("run attempt={attempt} server={id} tenant={tenant}"));
    std::thread::sleep(WORK);
    let seal = format!("seal.{id}.{attempt}");
    let headers = [("Dillspool-Attempt-Id", attempt), ("Dillspool-Server-Seal", &*seal)];
    respond(out, 200, &headers, b"done").is_ok() && stays
}

/// Returns whether the rule held.
pub fn run(root: &Path, record_path: &str, has_trouble: bool) -> Result<bool, String> {
    let fail = |error: std::io::Error| error.to_string();
    let record = Record::create(record_path).map_err(fail)?;
    let folder = std::env::temp_dir().join(format!("review-5-{}", std::process::id()));
    std::fs::create_dir_all(&folder).map_err(fail)?;
    let store = Store::new();
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).map_err(fail)?;
    let store_address = listener.local_addr().map_err(fail)?;
    let served = store.clone();
    http::serve(listener, move |request, out| served.handle(request, out));
    for number in 0..SERVERS {
        start_server(number, &store, &record);
    }
    store.put("op", "config", CONFIG);
    let mut hosts: Vec<Host> = Vec::new();
    for number in 0..HOSTS {
        let zone = ZONES[number % ZONES.len()];
        let mut host = Host::new(&format!("front-{zone}-{}", number / ZONES.len() + 1), zone);
        host.quota_slack = Some(QUOTA_SLACK);
        hosts.push(host);
    }
    // The platform names up to three machines.
    let seeds = |hosts: &[Host]| hosts.iter().take(3).map(|host| host.control).collect::<Vec<_>>();
    let start = |host: &Host, hosts: &[Host], first: bool| {
        Router::start(root, &folder, host, &seeds(hosts), store_address, first).map_err(fail)
    };
    let mut routers = Vec::new();
    for host in &hosts {
        routers.push(start(host, &hosts, true)?);
    }
    for router in &routers {
        if !router.wait_ready(Duration::from_secs(20)) {
            return Err(format!("{} is not ready", router.host.name));
        }
    }
    // The hosts find one another.
    std::thread::sleep(Duration::from_secs(10));
    let callers = |hosts: &[Host]| hosts.iter().map(|host| host.callers).collect::<Vec<_>>();
    let shared = Arc::new(Mutex::new(Shared {
        callers: callers(&hosts),
        part: 0,
        counts: Default::default(),
        is_over: false,
    }));
    let load = {
        let (shared, record) = (Arc::clone(&shared), record.clone());
        std::thread::spawn(move || send_load(&shared, &record))
    };
    std::thread::sleep(LEAD);
    // Machines are removed for good, one after the other, by plan; the last one stays.
    while has_trouble && routers.len() > 1 {
        let router = routers.remove(0);
        hosts.remove(0);
        shared.lock().unwrap().callers = callers(&hosts);
        record.line(&format!("machine {} is removed: SIGTERM", router.host.name));
        let began = Instant::now();
        router.leave(GRACE);
        std::thread::sleep(GAP.saturating_sub(began.elapsed()));
        for router in &routers {
            router.set_seeds(root, &folder, &seeds(&hosts), store_address).map_err(fail)?;
        }
    }
    // The final fault: all processes are killed, and start again.
    record.line("final fault: all processes are killed");
    shared.lock().unwrap().part = 1;
    drop(routers);
    std::thread::sleep(DOWN);
    let mut routers = Vec::new();
    for host in &hosts {
        routers.push(start(host, &hosts, false)?);
    }
    record.line(&format!("{} machines are back", hosts.len()));
    std::thread::sleep(RECOVERY);
    shared.lock().unwrap().part = 2;
    record.line("recoveryS is over");
    std::thread::sleep(COUNTED);
    shared.lock().unwrap().is_over = true;
    load.join().map_err(|_| "the load failed")?;
    drop(routers);
    let counts = shared.lock().unwrap().counts;
    let is_quarter = |it: Counts| it.served * 4 >= it.sent;
    let is_broken = is_quarter(counts[0]) && !is_quarter(counts[2]);
    let summary = format!(
        "{}; before the final fault {:?}, during the recovery {:?}, later {:?}, trouble: {has_trouble}",
        if is_broken { "BROKEN: RECOVER" } else { "held" },
        counts[0],
        counts[1],
        counts[2]
    );
    record.line(&summary);
    println!("{summary}");
    let _ = std::fs::remove_dir_all(&folder);
    if !is_quarter(counts[0]) || counts[2].sent == 0 {
        return Err("fewer than a quarter were served before the final fault".to_owned());
    }
    Ok(!is_broken)
}

/// Sends requests to the machines that are there, at an even rate below the limit of the tenant.
fn send_load(shared: &Arc<Mutex<Shared>>, record: &Record) {
    let mut clients = Vec::new();
    let began = Instant::now();
    let mut number = 0_usize;
    loop {
        let (address, part) = {
            let mut shared = shared.lock().unwrap();
            if shared.is_over {
                break;
            }
            let part = shared.part;
            shared.counts[part].sent += 1;
            (shared.callers[number % shared.callers.len()], part)
        };
        let (shared, record) = (Arc::clone(shared), record.clone());
        let attempt = format!("{:016x}", 0x5d10_0000_0000_0000_u64 + number as u64);
        clients.push(std::thread::spawn(move || {
            let answer = send_one(address, &attempt);
            record.line(&format!("sent attempt={attempt} to={address} part={part} answered={answer:?}"));
            let counts = &mut shared.lock().unwrap().counts[part];
            match answer {
                Ok(200) => counts.served += 1,
                Ok(429) => counts.over_limit += 1,
                _ => counts.other += 1,
            }
        }));
        number += 1;
        let next = REQUEST_INTERVAL * u32::try_from(number).unwrap_or(u32::MAX);
        std::thread::sleep(next.saturating_sub(began.elapsed()));
    }
    for client in clients {
        let _ = client.join();
    }
}

fn send_one(address: SocketAddr, attempt: &str) -> std::io::Result<u16> {
    let headers = [
        ("Host", "ficu95.example".to_owned()),
        ("Dillspool-Attempt-Id", attempt.to_owned()),
        ("Dillspool-Time-Budget-Ms", "3000".to_owned()),
        ("X-Api-Key", "banfqasnmgkcuyj8pjbv".to_owned()),
        ("Connection", "close".to_owned()),
    ];
    let timeout = Duration::from_secs(4);
    let mut reader = http::send(address, "GET", "/puxa403/2f", &headers, &[], timeout)?;
    let (status, headers, _) = http::read_answer(&mut reader)?;
    let is_sealed = http::header(&headers, "dillspool-server-seal").is_some();
    Ok(if status == 200 && !is_sealed { 0 } else { status })
}
