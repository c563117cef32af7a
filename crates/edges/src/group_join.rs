//! The duty that adds a new control host to the group that its seeds belong to,
//! then stays idle until its ring is closed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::ws_client::WsClient;
use kernel::RingReceiver;
use model::{
    Command, ControlAnswer, ControlPeer, ControlQuery, ControlReplyBody, EventLine, EventLog,
};

use crate::edge_runtime::block_on;
use crate::leader_finder::LeaderFinder;
use crate::peer_api::ControlApiClient;
use crate::peer_connection::connect;

/// Delay between attempts to join.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Configuration of a join.
pub struct GroupJoin {
    /// Name and address of this host.
    pub own_peer: ControlPeer,
    /// Addresses of hosts that may be members.
    pub seeds: Vec<SocketAddr>,
}

/// The result of one attempt to join.
enum JoinResult {
    Joined,
    Retry { leader: Option<SocketAddr> },
}

/// Runs the duty until its ring is closed; once this host is a member it only
/// waits for that.
pub fn run(ring: &RingReceiver<()>, join: GroupJoin, log: EventLog) {
    block_on(async move {
        let mut finder = LeaderFinder::new(join.seeds.clone());
        let joining = async {
            loop {
                let (host, client) = finder.connect(connect).await;
                match join.request_join(&client).await {
                    JoinResult::Joined => {
                        log.info(EventLine::new("group_joined").with("leader", host));
                        return;
                    }
                    JoinResult::Retry { leader } => finder.advance(leader).await,
                }
                tokio::time::sleep(RETRY_DELAY).await;
            }
        };
        tokio::select! {
            () = joining => while ring.next().await.is_some() {},
            _closed = ring.next() => {}
        }
    });
}

impl GroupJoin {
    /// Reads the group from the leader and proposes the change that adds this
    /// host.
    async fn request_join(&self, client: &Arc<WsClient>) -> JoinResult {
        let status = match client.query(ControlQuery::Status).await {
            Ok(ControlReplyBody::Answer(answer)) => match *answer {
                ControlAnswer::Status(status) => status,
                _ => return JoinResult::Retry { leader: None },
            },
            Ok(ControlReplyBody::NotLeader { leader }) => return JoinResult::Retry { leader },
            _ => return JoinResult::Retry { leader: None },
        };
        if status.group.contains(&self.own_peer) {
            return JoinResult::Joined;
        }
        let mut group = status.group;
        group.push(self.own_peer.clone());
        // The reply is ignored: the next status shows whether this host is a member.
        let _answer = client.propose(vec![Command::ChangeGroup { group }]).await;
        JoinResult::Retry { leader: None }
    }
}
