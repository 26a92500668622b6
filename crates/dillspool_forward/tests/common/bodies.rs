//! Bodies that come in parts.

use std::time::Duration;

use bytes::Bytes;
use dillspool_io::{BoxError, ResponseBody, channel_body};
use tokio::sync::mpsc;

pub fn paced_body(parts: Vec<(u64, &'static str)>, end_after: Duration) -> ResponseBody {
    let (sender, receiver) = mpsc::channel(64);
    tokio::spawn(async move {
        for (pause_ms, part) in parts {
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            if sender.send(Ok(Bytes::from(part))).await.is_err() {
                return;
            }
        }
        tokio::time::sleep(end_after).await;
    });
    channel_body(receiver)
}

pub fn parts_body(parts: Vec<&'static str>, clean: bool) -> ResponseBody {
    let (sender, receiver) = mpsc::channel(64);
    for part in parts {
        sender.try_send(Ok(Bytes::from(part))).expect("room for the parts");
    }
    if !clean {
        let error: BoxError = "reset".into();
        sender.try_send(Err(error)).expect("room for the error");
    }
    channel_body(receiver)
}
