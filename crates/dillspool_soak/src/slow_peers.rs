//! Callers and backend servers that read and send slowly, or not at all: hosts live on within their memory.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use dillspool_io::{NetStack, exchange_once, read_body};
use dillspool_site_standin::{
    BackendFault, LONG_PATH, REQUEST_ID, StandinKind, TIME_BUDGET, TOKEN_COUNTS,
};
use http_body_util::Full;
use hyper::Request;
use rand::Rng;
use rand::rngs::SmallRng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::callers::{ROUTE_HOST, call, prefix};
use crate::check::{CallKind, CallOutcome, CallRecord, Violation};
use crate::world::SoakWorld;

/// Memory of each host in MB, that of the smallest one of docs/HARD-LOAD.md.
pub(crate) const MEMORY_MB: u32 = 88;
/// Callers that read or send slowly at once.
const SLOW_CALLERS: usize = 240;
/// Time for which they come back over and over; longer than a peer may neither read nor send.
const SLOW_FOR: Duration = Duration::from_secs(14);
/// Time of that in which a plain backend server reads no bodies.
const UNREADING_FOR: Duration = Duration::from_secs(6);
/// Usual callers that call at once beside them, and how often.
const USUAL_CALLERS: usize = 50;
const USUAL_ROUNDS: usize = 15;
/// Time after which slow callers have connected.
const SETTLED_AFTER: Duration = Duration::from_secs(2);
/// Time for the same without slow peers.
const QUIET_FOR: Duration = Duration::from_secs(4);
/// Time after which nothing of theirs may be held any more.
const FREED_AFTER: Duration = Duration::from_secs(3);
/// Bytes that may be held then: those of usual calls.
const MOST_HELD_AFTER: f64 = 200_000.0;
/// Time between two looks at the hosts' memory.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// Time between two bytes of a slow peer.
const BYTE_EVERY: Duration = Duration::from_secs(1);
/// Time that slow callers give their requests, in milliseconds.
const SLOW_WAIT_MS: u64 = 60_000;
/// Longest body of a request.
const LONG_BODY: usize = 900_000;
/// Pause of a slow caller before it comes back.
const COME_BACK: Duration = Duration::from_secs(1);

/// How a caller is slow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SlowManner {
    /// It reads a byte a second.
    Trickles,
    /// It reads nothing.
    Unreading,
    /// It reads a part and stops.
    Stops,
    /// It closes its sending half and reads nothing.
    HalfCloses,
    /// It sends its body a byte a second.
    SendsSlowly,
    /// It sends a long body and waits for the answer.
    SendsMuch,
}

const MANNERS: [SlowManner; 6] = [
    SlowManner::Trickles,
    SlowManner::Unreading,
    SlowManner::Stops,
    SlowManner::HalfCloses,
    SlowManner::SendsSlowly,
    SlowManner::SendsMuch,
];

const KINDS: [CallKind; 3] = [CallKind::Repeatable, CallKind::Unrepeatable, CallKind::Stream];

/// One caller that is slow.
#[derive(Clone, Debug)]
struct SlowCaller {
    number: usize,
    host: SocketAddr,
    kind: CallKind,
    manner: SlowManner,
    calls: Arc<Mutex<Vec<CallRecord>>>,
}

impl SlowCaller {
    /// Comes back whenever its connection ends.
    async fn run(self, cancel: CancellationToken) {
        for attempt in 0_u32.. {
            let id = format!("slow-{}-{attempt}", self.number);
            let record =
                CallRecord { id: id.clone(), kind: self.kind, outcome: CallOutcome::Nothing };
            self.calls.lock().unwrap_or_else(PoisonError::into_inner).push(record);
            tokio::select! {
                // What ends a caller's connection is the host's choice here.
                _ended = self.call(&id) => {}
                () = cancel.cancelled() => return,
            }
            tokio::time::sleep(COME_BACK).await;
        }
    }

    async fn call(&self, id: &str) -> std::io::Result<()> {
        let mut stream = TcpStream::connect(self.host).await?;
        let length = match self.manner {
            SlowManner::SendsSlowly | SlowManner::SendsMuch => LONG_BODY,
            _ => 4,
        };
        let word = if self.manner == SlowManner::SendsMuch { "" } else { LONG_PATH };
        let path = format!("{}{word}{id}", prefix(self.kind));
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: {ROUTE_HOST}\r\n{REQUEST_ID}: {id}\r\n{TIME_BUDGET}: {SLOW_WAIT_MS}\r\n{TOKEN_COUNTS}: 100,100\r\ncontent-length: {length}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await?;
        let mut buffer = vec![b'x'; LONG_BODY];
        match self.manner {
            SlowManner::SendsSlowly => loop {
                stream.write_all(b"x").await?;
                tokio::time::sleep(BYTE_EVERY).await;
            },
            SlowManner::SendsMuch => {
                stream.write_all(&buffer).await?;
                while stream.read(&mut buffer).await? > 0 {}
                return Ok(());
            }
            _ => stream.write_all(b"body").await?,
        }
        match self.manner {
            SlowManner::Stops => {
                stream.read_exact(&mut buffer[..100_000]).await?;
            }
            SlowManner::HalfCloses => {
                // A part of the next request hides the end of the connection behind it.
                stream.write_all(b"POST").await?;
                stream.shutdown().await?;
            }
            _ => {}
        }
        loop {
            tokio::time::sleep(BYTE_EVERY).await;
            if self.manner == SlowManner::Trickles && stream.read(&mut buffer[..1]).await? == 0 {
                return Ok(());
            }
        }
    }
}

/// Lets peers on both sides be slow, and checks that hosts live on and stay within their memory.
pub(crate) async fn play_slow_peers(
    world: &mut SoakWorld,
    random: &mut SmallRng,
    calls: &Arc<Mutex<Vec<CallRecord>>>,
) -> std::io::Result<Vec<Violation>> {
    let mut violations = world.revive_hosts();
    world.pass(FREED_AFTER).await?;
    let hosts: Vec<SocketAddr> = world.places.iter().map(|place| place.callers).collect();
    let quiet = tokio::spawn(usual_p99("quiet", hosts.clone(), Arc::clone(calls)));
    world.pass(QUIET_FOR).await?;
    let (cancel, mut callers) = (CancellationToken::new(), JoinSet::new());
    for number in 0..SLOW_CALLERS {
        let caller = SlowCaller {
            number,
            host: world.places[number % world.places.len()].callers,
            kind: KINDS[random.random_range(0..KINDS.len())],
            manner: MANNERS[random.random_range(0..MANNERS.len())],
            calls: Arc::clone(calls),
        };
        callers.spawn(caller.run(cancel.clone()));
    }
    let until = Instant::now() + SLOW_FOR;
    let mut most = vec![0; world.routers.len()];
    let busy = tokio::spawn({
        let calls = Arc::clone(calls);
        async move {
            // Not while all of them connect at once.
            tokio::time::sleep(SETTLED_AFTER).await;
            usual_p99("busy", hosts, calls).await
        }
    });
    while Instant::now() < until {
        world.pass(LOOK_EVERY).await?;
        if until - Instant::now() < UNREADING_FOR
            && let Some(place) =
                world.backends.iter().find(|place| place.kind == StandinKind::Plain)
        {
            place.backend.set_fault(BackendFault::Unreading);
        }
        for (most, router) in most.iter_mut().zip(&world.routers) {
            *most = router.resident_bytes().unwrap_or_default().max(*most);
        }
    }
    cancel.cancel();
    while callers.join_next().await.is_some() {}
    world.heal();
    // Not checked: it depends on what else the machine does.
    let (quiet, busy) = (quiet.await.unwrap_or_default(), busy.await.unwrap_or_default());
    println!("p99 of usual calls: {quiet:?} before slow peers, {busy:?} beside them");
    for (number, most) in most.into_iter().enumerate() {
        println!("host {number}: {most} bytes resident at most beside slow peers");
        if most > u64::from(MEMORY_MB) * 1_000_000 {
            let detail = format!("host {number} had {most} bytes of {MEMORY_MB} MB");
            violations.push(Violation { promise: "a host's memory stays below its bound", detail });
        }
        if world.routers[number].has_ended() {
            let detail = format!("host {number} ended beside slow peers");
            violations.push(Violation { promise: "hosts live on", detail });
        }
    }
    world.pass(FREED_AFTER).await?;
    for place in &world.places {
        let page = metrics_page(place.metrics).await.unwrap_or_default();
        let ended = ["caller", "backend", "budget"].map(|side| {
            figure(&page, &format!("dillspool_exchanges_stalled_total{{side=\"{side}\"}}"))
        });
        println!("{}: {ended:?} exchanges ended, by caller, backend and budget", place.name);
        let held = figure(&page, "dillspool_held_bytes");
        if held.is_none_or(|held| held > MOST_HELD_AFTER) {
            let detail = format!("{} holds {held:?} bytes after slow peers", place.name);
            violations.push(Violation { promise: "what slow peers held is freed", detail });
        }
    }
    Ok(violations)
}

/// The 99th percentile of the time of usual calls.
async fn usual_p99(
    name: &str,
    hosts: Vec<SocketAddr>,
    calls: Arc<Mutex<Vec<CallRecord>>>,
) -> Duration {
    let mut times = Vec::new();
    for round in 0..USUAL_ROUNDS {
        let mut open = JoinSet::new();
        for caller in 0..USUAL_CALLERS {
            let (id, host) = (format!("{name}-{round}-{caller}"), hosts[caller % hosts.len()]);
            open.spawn(async move {
                let started = Instant::now();
                (call(id, CallKind::Unrepeatable, host).await, started.elapsed())
            });
        }
        while let Some(Ok((record, took))) = open.join_next().await {
            calls.lock().unwrap_or_else(PoisonError::into_inner).push(record);
            times.push(took);
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
    times.sort();
    times.get(times.len() * 99 / 100).copied().unwrap_or_default()
}

/// The metrics of a host.
async fn metrics_page(metrics: SocketAddr) -> Option<String> {
    let request = Request::get("/metrics").header("host", ROUTE_HOST).body(Full::default()).ok()?;
    let limit = Duration::from_secs(1);
    let answer = exchange_once(&NetStack::tcp(), metrics, request, limit).await.ok()?;
    let page = read_body(answer.into_body(), 1 << 20).await.ok()?;
    Some(String::from_utf8_lossy(&page).into_owned())
}

fn figure(page: &str, name: &str) -> Option<f64> {
    let line = page.lines().find(|line| line.starts_with(name))?;
    line.rsplit(' ').next()?.parse().ok()
}
