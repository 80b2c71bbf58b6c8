//! Peer calls from other addresses and with malformed bytes.

use std::{net::SocketAddr, sync::Arc};

use proptest::prelude::*;
use sassafrasmastd::peer::{Call, Reply, call, codec};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use super::{
    fake::FakeStore,
    node::{REACTION_TIMEOUT, address, admission, balancer},
};

/// Sends raw bytes and waits until the peer closes the connection.
async fn send(to: SocketAddr, bytes: &[u8]) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(to).await?;
    stream.write_all(bytes).await?;
    stream.shutdown().await?;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    assert_eq!(answer, b"");
    Ok(())
}

#[tokio::test]
async fn malformed_bytes_close_only_their_connection() {
    let store = Arc::new(FakeStore::default());
    let one = balancer(store, &[]).await;
    one.wait_for_version(1, REACTION_TIMEOUT).await;
    let bad: [&[u8]; 6] = [
        b"",
        b"\0\0",
        b"\0\0\0\x05\xff\xff\xff\xff\xff",
        b"\0\0\0\x09\0",
        b"\xff\xff\xff\xff",
        b"GET / HTTP/1.1\r\n\r\n",
    ];
    for bytes in bad {
        send(one.listen, bytes).await.unwrap();
    }
    let reply = call(address().ip(), one.listen, &Call::Version).await;
    assert_eq!(reply.unwrap(), Reply::Version(1));
}

#[tokio::test]
async fn an_agent_gets_its_own_part_from_its_own_address_only() {
    let store = Arc::new(FakeStore::default());
    let one = balancer(store, &[]).await;
    one.wait_for_version(1, REACTION_TIMEOUT).await;
    let (admitted, stranger) = (address(), address());
    let version = one.change(admission(&[admitted])).await;
    let listen = one.listen;
    let ask = |from: SocketAddr, agent: SocketAddr| async move {
        let call_config = Call::Config {
            known_version: 0,
            agent_address: Some(agent),
        };
        call(from.ip(), listen, &call_config).await.unwrap()
    };
    assert_eq!(ask(stranger, stranger).await, Reply::NotAdmitted(version));
    assert!(matches!(ask(stranger, admitted).await, Reply::Refused(_)));
    let Reply::Config(part) = ask(admitted, admitted).await else {
        panic!("no configuration");
    };
    assert_eq!(part.upstreams.len(), 1);
    assert!(part.operations.is_empty());
}

/// Largest message in these tests.
const LIMIT_BYTES: usize = 4_096;

/// Whether `bytes` are one message.
fn parses<T: serde::de::DeserializeOwned>(mut bytes: &[u8]) -> bool {
    let runtime = tokio::runtime::Builder::new_current_thread().build();
    let runtime = runtime.expect("a runtime");
    runtime
        .block_on(codec::read::<T>(&mut bytes, LIMIT_BYTES))
        .is_ok()
}

proptest! {
    #[test]
    fn any_bytes_are_read_or_refused(
        length in 0_u32..300,
        body in prop::collection::vec(any::<u8>(), 0..300),
    ) {
        let framed = [length.to_be_bytes().to_vec(), body].concat();
        for bytes in [&framed[..], &framed[4..]] {
            let _ = parses::<Call>(bytes);
            let _ = parses::<Reply>(bytes);
        }
    }

    #[test]
    fn a_truncated_or_extended_call_is_refused(known_version: u64, change in -7_i64..7) {
        let body = postcard::to_stdvec(&Call::Config {
            known_version,
            agent_address: None,
        }).unwrap();
        let kept = (body.len() as i64 + change).max(0) as usize;
        let mut changed = body.clone();
        changed.resize(kept, 0);
        let length = u32::try_from(kept).unwrap().to_be_bytes();
        let framed = [length.to_vec(), changed].concat();
        prop_assert_eq!(parses::<Call>(&framed), kept == body.len());
    }
}
