//! A fake balancer that forwards all datagrams between callers and one agent.

use std::{
    net::{IpAddr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use sassafrasmast_core::Blackboard;
use sassafrasmast_wire::{AgentId, Body, Cid, Frame, cid};
use tokio::net::UdpSocket;

/// The fake balancer, with counts of the frames from the agent.
pub struct Balancer {
    /// Address for callers.
    pub front: SocketAddr,
    /// Address for frames.
    pub back: SocketAddr,
    pub announced: Arc<AtomicU64>,
    pub handed_back: Arc<AtomicU64>,
    pub outbound: Arc<AtomicU64>,
}

impl Balancer {
    /// Forwards callers' datagrams to `agent` until the runtime ends.
    pub async fn start(
        ip: IpAddr,
        agent: (AgentId, SocketAddr),
        blackboard: Arc<Blackboard>,
    ) -> Self {
        let front = Arc::new(UdpSocket::bind((ip, 0)).await.unwrap());
        let back = Arc::new(UdpSocket::bind((ip, 0)).await.unwrap());
        let balancer = Self {
            front: front.local_addr().unwrap(),
            back: back.local_addr().unwrap(),
            announced: Arc::default(),
            handed_back: Arc::default(),
            outbound: Arc::default(),
        };
        tokio::spawn(forward_to_agent(
            front.clone(),
            back.clone(),
            agent,
            blackboard,
        ));
        let counts = [
            balancer.announced.clone(),
            balancer.handed_back.clone(),
            balancer.outbound.clone(),
        ];
        tokio::spawn(forward_to_callers(front, back, counts));
        balancer
    }
}

/// Reads the destination id of a QUIC datagram.
pub fn destination(datagram: &[u8]) -> Option<&[u8]> {
    if datagram.first()? & 0x80 == 0 {
        return datagram.get(1..=cid::BYTES);
    }
    let length = usize::from(*datagram.get(5)?);
    datagram.get(6..6 + length)
}

async fn forward_to_agent(
    front: Arc<UdpSocket>,
    back: Arc<UdpSocket>,
    (agent, address): (AgentId, SocketAddr),
    blackboard: Arc<Blackboard>,
) {
    let mut datagram = [0; 2_048];
    let mut frame = Vec::new();
    loop {
        let (length, caller) = front.recv_from(&mut datagram).await.unwrap();
        let payload = &datagram[..length];
        let Some(config) = blackboard.config() else {
            continue;
        };
        let known = destination(payload)
            .and_then(|id| Cid::open(&config.keys, id).ok())
            .filter(|cid| config.document.upstreams.contains_key(&cid.agent));
        let body = Body::Inbound {
            service: 1,
            agent,
            incarnation: known.map(|cid| cid.incarnation),
            attempt: 0,
            caller,
            payload,
        };
        Frame::new(blackboard.version(), body)
            .encode(&mut frame)
            .unwrap();
        back.send_to(&frame, address).await.unwrap();
    }
}

async fn forward_to_callers(
    front: Arc<UdpSocket>,
    back: Arc<UdpSocket>,
    counts: [Arc<AtomicU64>; 3],
) {
    let mut datagram = [0; 2_048];
    let [announced, handed_back, outbound] = counts;
    loop {
        let (length, _) = back.recv_from(&mut datagram).await.unwrap();
        match Frame::decode(&datagram[..length]).unwrap().body {
            Body::Outbound {
                caller, payload, ..
            } => {
                outbound.fetch_add(1, Ordering::Relaxed);
                front.send_to(payload, caller).await.unwrap();
            }
            Body::Announce { .. } => {
                announced.fetch_add(1, Ordering::Relaxed);
            }
            Body::Handback { .. } => {
                handed_back.fetch_add(1, Ordering::Relaxed);
            }
            _ => {}
        }
    }
}
