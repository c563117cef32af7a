//! The duty that makes a new control host a member of the group that it finds
//! at its seeds, and ends then.

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

/// Pause before the group is asked again.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// What a host needs to join.
pub struct GroupJoin {
    /// This host.
    pub own: ControlPeer,
    /// Hosts that may be members.
    pub seeds: Vec<SocketAddr>,
}

/// What the leader said.
enum JoinStep {
    Joined,
    AskAgain { leader: Option<SocketAddr> },
}

/// Runs until this host is a member, or the ring is closed.
pub fn run(ring: &RingReceiver<()>, join: GroupJoin, log: EventLog) {
    block_on(async move {
        let mut finder = LeaderFinder::new(join.seeds.clone());
        let joining = async {
            loop {
                let (host, client) = finder.connect().await;
                match join.ask(&client).await {
                    JoinStep::Joined => {
                        log.info(EventLine::new("group_joined").with("leader", host));
                        return;
                    }
                    JoinStep::AskAgain { leader } => finder.lost(leader).await,
                }
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        };
        tokio::select! {
            () = joining => while ring.next().await.is_some() {},
            _closed = ring.next() => {}
        }
    });
}

impl GroupJoin {
    async fn ask(&self, client: &Arc<WsClient>) -> JoinStep {
        let status = match client.query(ControlQuery::Status).await {
            Ok(ControlReplyBody::Answer(answer)) => match *answer {
                ControlAnswer::Status(status) => status,
                _ => return JoinStep::AskAgain { leader: None },
            },
            Ok(ControlReplyBody::NotLeader { leader }) => return JoinStep::AskAgain { leader },
            _ => return JoinStep::AskAgain { leader: None },
        };
        if status.group.contains(&self.own) {
            return JoinStep::Joined;
        }
        let mut group = status.group;
        group.push(self.own.clone());
        // The next status tells whether it was taken.
        let _answer = client.propose(vec![Command::ChangeGroup { group }]).await;
        JoinStep::AskAgain { leader: None }
    }
}
