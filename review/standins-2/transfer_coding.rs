//! A body with a transfer coding besides `chunked`: does the other side get the body that was sent, or is the message
//! refused?

use crate::common::*;
use std::collections::HashMap;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;

const REQUESTS: usize = 20;

fn crc32(bytes: &[u8]) -> u32 {
    !bytes.iter().fold(!0_u32, |crc, byte| {
        (0..8).fold(
            crc ^ u32::from(*byte),
            |crc, _| if crc & 1 == 1 { crc >> 1 ^ 0xedb8_8320 } else { crc >> 1 },
        )
    })
}

/// Returns a gzip file with one stored block.
fn gzip(text: &[u8]) -> Vec<u8> {
    let length = u16::try_from(text.len()).unwrap();
    let mut file = vec![0x1f, 0x8b, 8, 0, 0, 0, 0, 0, 0, 255, 1];
    file.extend(length.to_le_bytes());
    file.extend((!length).to_le_bytes());
    file.extend(text);
    file.extend(crc32(text).to_le_bytes());
    file.extend(u32::from(length).to_le_bytes());
    file
}

/// Returns the content of a file that [`gzip`] made.
fn gunzip(file: &[u8]) -> Option<Vec<u8>> {
    let length = u16::from_le_bytes([*file.get(11)?, *file.get(12)?]);
    Some(file.get(15..15 + usize::from(length))?.to_vec())
}

fn chunked(body: &[u8]) -> Vec<u8> {
    let mut framed = format!("{:x}\r\n", body.len()).into_bytes();
    framed.extend(body);
    framed.extend(b"\r\n0\r\n\r\n");
    framed
}

pub fn run(folder: &Path) -> i32 {
    let record = Record::new();
    let received: Arc<Mutex<HashMap<String, Vec<u8>>>> = Arc::default();
    let servers: Vec<BidServer> = (0..2)
        .map(|number| {
            let (record, received) = (record.clone(), received.clone());
            BidServer::start(Arc::new(move |request, stream| {
                let id = request.header("x-trace-id").unwrap_or("?").to_owned();
                // A server that knows the coding undoes it, if the message says that it is there.
                let coding = request.header("transfer-encoding").unwrap_or("").to_lowercase();
                let body = if coding.contains("gzip") {
                    gunzip(&request.body)
                } else {
                    Some(request.body.clone())
                };
                let body = body.unwrap_or_default();
                record.add(format!(
                    "server s-{number} runs {id} (Transfer-Encoding: {coding:?}): {:?}",
                    String::from_utf8_lossy(&body)
                ));
                received.lock().unwrap().insert(id, body);
                let _ = stream.write_all(&response("200 OK", "", "placed"));
            }))
        })
        .collect();
    let entries: Vec<Entry> = servers
        .iter()
        .enumerate()
        .map(|(n, server)| Entry::up(&format!("s-{n}"), server.address))
        .collect();
    let discovery = Discovery::start(&entries, ms(0), record.clone());
    let classes = [
        class("lot-view", "idempotent", 500, 1000, 5000),
        class("bid-place", "deduplicated", 800, 2000, 2000),
    ];
    let listen = free_address();
    let known = list_json(1, true, &entries);
    let config =
        Node::configure("n0", listen, discovery.address, &known, &settings(&classes, 1, 0, "on_request"));
    let node = Node::start("n0", listen, &config);
    if !node.wait_until_ready() {
        node.log_to(&record);
        record.save(folder);
        return 2;
    }
    let (mut served, mut refused, mut altered) = (0, 0, 0);
    for number in 0..REQUESTS {
        let id = format!("bid-{number}");
        let body = format!("lot 7: 12 crates at {number} euros");
        let (coding, coded) = if trouble() && number % 2 == 1 {
            ("gzip, chunked", chunked(&gzip(body.as_bytes())))
        } else {
            ("chunked", chunked(body.as_bytes()))
        };
        let mut message = format!(
            "POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: {id}\r\nX-Qos: bid-place\r\nX-Object: lot-7\r\n\
             X-Expires-In-Ms: 2000\r\nIdempotency-Key: key-{id}\r\nConnection: close\r\nTransfer-Encoding: {coding}\r\n\r\n"
        )
        .into_bytes();
        message.extend(coded);
        let answer = Client::connect(listen)
            .and_then(|mut client| client.send(&message).and_then(|()| client.receive(ms(2600))));
        let status = answer.map_or(0, |answer| answer.status());
        let got = received.lock().unwrap().get(&id).cloned();
        let is_altered = got.as_ref().is_some_and(|got| got != body.as_bytes());
        match status {
            200 => served += 1,
            _ => refused += 1,
        }
        altered += usize::from(is_altered);
        record.add(format!(
            "{id} (Transfer-Encoding: {coding}), sent {body:?}: answered {status}, the server got the body {}",
            match &got {
                None => "never".to_owned(),
                Some(_) if !is_altered => "as it was sent".to_owned(),
                Some(got) => format!("ALTERED: {:?}", String::from_utf8_lossy(got)),
            }
        ));
        thread::sleep(ms(30));
    }
    let text = format!("served {served}, not served {refused}, run with an altered body {altered}");
    record.add(&text);
    println!("{text}");
    node.log_to(&record);
    record.save(folder);
    i32::from(altered > 0)
}
