//! What the stand-in engine promises to those who test against it.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use assert_matches::assert_matches;
use dillspool_engine::{EngineClient, EngineError, TokenStream};
use dillspool_io::MemoryNet;
use dillspool_schema::StreamId;
use dillspool_schema::engine::{DecodeRequest, PrefillReply, PrefillRequest};
use dillspool_standin::{EngineFault, EngineModel, EngineStandIn, token_text};
use tokio_util::sync::CancellationToken;

const PREFILL: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 0, 0, 1));
const DECODE: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 0, 0, 2));
const CLIENT: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 0, 0, 3));
const LIMIT: Duration = Duration::from_secs(2);

struct EnginePair {
    prefill: EngineStandIn,
    decode: EngineStandIn,
    client: EngineClient,
}

async fn start_pair(model: EngineModel) -> EnginePair {
    let net = MemoryNet::new();
    let cancel = CancellationToken::new();
    let mut engines = Vec::new();
    for node in [PREFILL, DECODE] {
        let stack = net.stack(node);
        let listener = stack.listen(SocketAddr::new(node, 0)).await.expect("the port is free");
        engines.push(EngineStandIn::start(model, &stack, listener, true, &cancel));
    }
    let decode = engines.pop().expect("two were started");
    let prefill = engines.pop().expect("two were started");
    EnginePair { prefill, decode, client: EngineClient::new(&net.stack(CLIENT)) }
}

fn stream(sequence: u64) -> StreamId {
    StreamId { host: "entry-1".into(), incarnation: 1, sequence }
}

impl EnginePair {
    async fn export(&self, sequence: u64) -> PrefillReply {
        let request = PrefillRequest {
            stream: stream(sequence),
            model: "m".into(),
            prompt: "hello".into(),
            generated: Vec::new(),
            priority: 0,
        };
        let reply = self.client.prefill(self.prefill.address(), &request, LIMIT).await;
        reply.expect("the prefill works")
    }

    async fn open(&self, sequence: u64, export: &PrefillReply) -> Result<TokenStream, EngineError> {
        let request = DecodeRequest {
            stream: stream(sequence),
            model: "m".into(),
            kv: std::sync::Arc::clone(&export.kv),
            kv_address: self.prefill.address().to_string().into(),
            from: 0,
            max_tokens: 3,
            priority: 0,
        };
        self.client.decode(self.decode.address(), &request, LIMIT, LIMIT).await
    }
}

#[tokio::test(start_paused = true)]
async fn an_export_is_kept_for_its_lifetime_only() {
    let pair = start_pair(EngineModel::default()).await;
    let export = pair.export(1).await;
    tokio::time::sleep(Duration::from_millis(900)).await;
    let opened = pair.open(1, &export).await;
    assert_matches!(opened, Err(EngineError::Refused { .. }));
    assert_eq!(pair.prefill.prefill_counts(), (1, 1));
    assert!(pair.prefill.held_streams().is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_stream_read_to_its_end_holds_nothing() {
    let pair = start_pair(EngineModel::default()).await;
    let export = pair.export(1).await;
    let mut tokens = pair.open(1, &export).await.expect("the stream opens");
    for index in 0..3 {
        let event = tokens.next().await.expect("a token comes");
        assert_eq!(event.text.as_deref(), Some(token_text("hello", index).as_str()));
    }
    assert!(tokens.next().await.expect("the end comes").finish.is_some());
    tokio::time::sleep(Duration::from_millis(10)).await;
    assert!(pair.decode.held_streams().is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_stream_left_by_its_reader_holds_memory_until_it_is_cancelled() {
    let pair = start_pair(EngineModel::default()).await;
    let export = pair.export(1).await;
    let tokens = pair.open(1, &export).await;
    drop(tokens.expect("the stream opens"));
    tokio::time::sleep(Duration::from_mins(1)).await;
    assert_eq!(pair.decode.held_streams(), vec![stream(1)]);
    let reply = pair.client.cancel(pair.decode.address(), &stream(1)).await;
    assert!(reply.expect("the engine answers").found);
    assert!(pair.decode.held_streams().is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_full_engine_refuses() {
    let pair = start_pair(EngineModel { slots: 1, ..EngineModel::default() }).await;
    let first = pair.export(1).await;
    let _kept = pair.open(1, &first).await;
    let second = pair.export(2).await;
    let opened = pair.open(2, &second).await;
    assert_matches!(opened, Err(EngineError::Refused { .. }));
}

#[tokio::test(start_paused = true)]
async fn tokens_of_another_stream_are_not_taken() {
    let pair = start_pair(EngineModel::default()).await;
    let export = pair.export(1).await;
    pair.decode.set_fault(EngineFault::WrongStream);
    let mut tokens = pair.open(1, &export).await.expect("the stream opens");
    assert_matches!(tokens.next().await, Err(EngineError::InvalidResponse { .. }));
}
