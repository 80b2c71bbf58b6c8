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
    block_on(async {
        let mut stream = TcpStream::connect(serve().await).await.expect("a peer");
        // Revision, digest and flag, without a format.
        stream.write_all(&[0; 17]).await.expect("sent");
        let mut answer = Vec::new();
        // The peer may also reset the connection, since it has not read the whole request.
        let _ = stream.read_to_end(&mut answer).await;
        assert!(answer.is_empty(), "{answer:?}");
    });
}
