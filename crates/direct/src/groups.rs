//! Hearing from the groups of the endpoints that this entry uses.

use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use lynxmount_link::{
    GROUP_PORT_OFFSET, GroupMessage, MembersFingerprint, SUBSCRIBE_INTERVAL, receive_datagrams,
};
use tokio::net::UdpSocket;

use crate::endpoint_set::EndpointSet;

/// How often processes are asked as long as the group of an endpoint is not known.
const FIRST_ASK_PERIOD: Duration = Duration::from_millis(300);

/// The largest notice, in bytes: 7 for each rank, and the group's name.
const MAX_NOTICE_BYTES: usize = 16_384;

/// Asks and listens.
pub(crate) struct GroupListener {
    socket: UdpSocket,
    /// The port of the processes beside engines.
    port: u16,
    endpoint_set: Arc<EndpointSet>,
}

impl GroupListener {
    /// Binds the port for this exchange.
    ///
    /// Fails if it is taken.
    pub(crate) async fn bind(
        own: IpAddr,
        internal_port: u16,
        endpoint_set: Arc<EndpointSet>,
    ) -> std::io::Result<GroupListener> {
        let port = internal_port + GROUP_PORT_OFFSET;
        let socket = UdpSocket::bind(SocketAddr::new(own, port)).await?;
        Ok(GroupListener { socket, port, endpoint_set })
    }

    /// Asks the processes beside all engines until the task is dropped.
    pub(crate) async fn ask(self: Arc<GroupListener>) {
        loop {
            let ranks = self.endpoint_set.ranks();
            for rank in &ranks {
                let members = self.endpoint_set.known_members(&rank.group());
                self.ask_one(rank.record.address.ip(), members).await;
            }
            let is_complete = !ranks.is_empty() && ranks.iter().all(|rank| rank.has_group());
            tokio::time::sleep(if is_complete { SUBSCRIBE_INTERVAL } else { FIRST_ASK_PERIOD })
                .await;
        }
    }

    async fn ask_one(&self, ip: IpAddr, members: MembersFingerprint) {
        let peer = SocketAddr::new(ip, self.port);
        let sent = match (GroupMessage::Subscribe { members }).encode() {
            Ok(asking) => self.socket.send_to(&asking, peer).await.map(|_| ()),
            Err(error) => Err(std::io::Error::other(error)),
        };
        if let Err(error) = sent {
            log::debug!(peer:% = peer, error:% = error; "a group was not asked for");
        }
    }

    /// Takes notices until the task is dropped.
    pub(crate) async fn listen(self: Arc<GroupListener>) {
        receive_datagrams(&self.socket, MAX_NOTICE_BYTES, GroupMessage::decode, |_, message| {
            match message {
                Ok(GroupMessage::Notice(notice)) => self.endpoint_set.note_notice(&notice),
                Ok(GroupMessage::Members(members)) => self.endpoint_set.note_members(&members),
                Ok(GroupMessage::Subscribe { .. }) | Err(_) => {}
            }
        })
        .await;
    }
}
