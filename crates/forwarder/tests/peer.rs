//! Pull of a snapshot from a peer over TCP.

use std::{net::SocketAddrV4, sync::Arc};

use sassafrasmast_core::flow::Intent;
use sassafrasmast_forwarder::peer::{self, View};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::watch,
};

/// Serves a view of an intent with revision 7 and returns its address.
async fn serve() -> SocketAddrV4 {
    // A port that was free a moment ago.
    let probe = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let port = probe.local_addr().expect("its address").port();
    drop(probe);
    let address = SocketAddrV4::new([127, 0, 0, 1].into(), port);
    let intent = Arc::new(Intent {
        revision: 7,
        ..Intent::default()
    });
    let view = View::new(&View::default(), Some(&intent), Vec::new());
    let (_, views) = watch::channel(Arc::new(view));
    peer::serve(address, views).await.expect("the port is free");
    address
}

fn block_on<T>(future: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime")
        .block_on(future)
}

#[test]
fn a_peer_of_the_same_build_sends_its_intent() {
    block_on(async {
        let request = View::default().request(false);
        let snapshot = peer::fetch(serve().await, request)
            .await
            .expect("an answer");
        assert_eq!(snapshot.revision, 7);
        assert_eq!(snapshot.intent.map(|intent| intent.revision), Some(7));
    });
}

#[test]
fn a_peer_of_an_earlier_build_gets_no_snapshot() {
    // Revision, digest and flag: without a format, and with format 1.
    let without_format = vec![0; 17];
    let mut with_format = 1_u32.to_be_bytes().to_vec();
    with_format.extend([0; 17]);
    for request in [without_format, with_format] {
        block_on(async {
            let mut stream = TcpStream::connect(serve().await).await.expect("a peer");
            stream.write_all(&request).await.expect("sent");
            let mut answer = Vec::new();
            // The peer may also reset the connection, since it has not read the whole request.
            let _ = stream.read_to_end(&mut answer).await;
            assert!(answer.is_empty(), "{answer:?}");
        });
    }
}

/// Guards against a process that takes part of an answer of an earlier build for an intent, or waits
/// for it: such a peer closes a request of a format that it does not know.
#[test]
fn a_pull_from_a_peer_of_an_earlier_build_fails() {
    block_on(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port");
        let Ok(std::net::SocketAddr::V4(address)) = listener.local_addr() else {
            panic!("an IPv4 address is expected");
        };
        tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            // It reads the format and closes.
            stream.read_u32().await.expect("a format");
        });
        let pulled = peer::fetch(address, View::default().request(false)).await;
        assert!(pulled.is_err(), "{pulled:?}");
    });
}
