//! Discovers the groups of the entry's endpoints and receives their state notices over UDP, by
//! subscriptions at the endpoint processes.

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

/// How often subscriptions are sent while the group of an endpoint is unknown.
const DISCOVERY_PERIOD: Duration = Duration::from_millis(300);

/// The largest notice, in bytes: 7 for each rank, and the group's name.
const MAX_NOTICE_BYTES: usize = 16_384;

/// Subscribes at endpoint processes to the notices of their groups, and receives these.
pub(crate) struct GroupListener {
    socket: UdpSocket,
    /// The port of endpoint processes for this exchange.
    port: u16,
    endpoint_set: Arc<EndpointSet>,
}

impl GroupListener {
    /// Binds the port for this exchange.
    ///
    /// Fails if the port is in use.
    pub(crate) async fn bind(
        own_ip: IpAddr,
        internal_port: u16,
        endpoint_set: Arc<EndpointSet>,
    ) -> std::io::Result<GroupListener> {
        let port = internal_port + GROUP_PORT_OFFSET;
        let socket = UdpSocket::bind(SocketAddr::new(own_ip, port)).await?;
        Ok(GroupListener { socket, port, endpoint_set })
    }

    /// Renews the subscriptions at the endpoint processes of all engines until the task is dropped.
    pub(crate) async fn subscribe(self: Arc<GroupListener>) {
        loop {
            let ranks = self.endpoint_set.ranks();
            for rank in &ranks {
                let members = self.endpoint_set.members_fingerprint(&rank.group());
                self.subscribe_at(rank.record.address.ip(), members).await;
            }
            let is_complete = !ranks.is_empty() && ranks.iter().all(|rank| rank.has_group());
            tokio::time::sleep(if is_complete { SUBSCRIBE_INTERVAL } else { DISCOVERY_PERIOD })
                .await;
        }
    }

    async fn subscribe_at(&self, ip: IpAddr, members: MembersFingerprint) {
        let peer = SocketAddr::new(ip, self.port);
        let sent = match (GroupMessage::Subscribe { members }).encode() {
            Ok(datagram) => self.socket.send_to(&datagram, peer).await.map(|_| ()),
            Err(error) => Err(std::io::Error::other(error)),
        };
        if let Err(error) = sent {
            log::debug!(peer:% = peer, error:% = error; "group poll failed");
        }
    }

    /// Receives notices until the task is dropped.
    pub(crate) async fn listen(self: Arc<GroupListener>) {
        receive_datagrams(&self.socket, MAX_NOTICE_BYTES, GroupMessage::decode, |_, message| {
            match message {
                Ok(GroupMessage::Notice(notice)) => self.endpoint_set.on_group_notice(&notice),
                Ok(GroupMessage::Members(members)) => self.endpoint_set.on_group_members(&members),
                Ok(GroupMessage::SlowRanks(notice)) => self.endpoint_set.on_slow_ranks(&notice),
                Ok(GroupMessage::Subscribe { .. }) | Err(_) => {}
            }
        })
        .await;
    }
}
