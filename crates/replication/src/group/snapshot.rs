//! Snapshots: requested from the driver when a peer needs one, sent in chunks, and installed.

use bytes::Bytes;
use dahlia_types::{LogIndex, ReplicaId, Term};

use super::progress::{Peer, Sending};
use super::replica::Replica;
use super::{
    AppendResponse, AppendResult, GroupBody, Members, Output, Role, Snapshot, SnapshotChunk,
    SnapshotResponse,
};

/// A snapshot that is being received.
#[derive(Debug, Clone)]
pub(super) struct IncomingSnapshot {
    index: LogIndex,
    term: Term,
    members: Members,
    total: u64,
    data: Vec<u8>,
}

impl Peer {
    /// Continues with appends once the peer has the snapshot, or every entry up to the log's base.
    pub(super) fn resume_appends(&mut self, base: LogIndex) {
        let has_enough = match &self.sending {
            Sending::Snapshot { snapshot, .. } => self.matched >= snapshot.index,
            Sending::AwaitSnapshot => self.matched >= base,
            Sending::Probe { .. } | Sending::Pipeline { .. } => false,
        };
        if has_enough {
            self.probe();
        }
    }
}

impl Replica {
    /// Provides the encoded state machine after applying `index`, the last entry that the driver applied.
    ///
    /// Returns whether the snapshot is used. It is not if the log's base is already beyond `index`.
    pub fn provide_snapshot(&mut self, index: LogIndex, data: Vec<u8>) -> bool {
        self.is_snapshot_requested = false;
        if index < self.log.base_index() || index > self.delivered {
            return false;
        }
        let Some(term) = self.log.term_at(index) else { return false };
        let in_force = self.configurations.iter().rev().find(|(at, _)| *at <= index);
        let Some((_, members)) = in_force else { return false };
        let members = members.clone();
        self.snapshot = Some(Snapshot { index, term, members, data: Bytes::from(data) });
        true
    }

    pub(super) fn send_snapshot(&mut self, replica: ReplicaId) {
        let base = self.log.base_index();
        let Some(peer) = self.leader_state.peers.get_mut(&replica) else { return };
        if matches!(peer.sending, Sending::AwaitSnapshot) {
            let fresh = self.snapshot.as_ref().filter(|snapshot| snapshot.index >= base);
            let Some(snapshot) = fresh else {
                self.request_snapshot();
                return;
            };
            let snapshot = snapshot.clone();
            peer.sending = Sending::Snapshot { snapshot, offset: 0, in_flight: None };
        }
        self.send_snapshot_chunk(replica);
    }

    fn send_snapshot_chunk(&mut self, replica: ReplicaId) {
        let now = self.now;
        let limit = self.settings.snapshot_chunk_bytes;
        let Some(peer) = self.leader_state.peers.get_mut(&replica) else { return };
        let Sending::Snapshot { snapshot, offset, in_flight } = &mut peer.sending else { return };
        if in_flight.is_some() {
            return;
        }
        *in_flight = Some(now);
        let end = snapshot.data.len().min(*offset + limit);
        let chunk = SnapshotChunk {
            session: peer.session,
            sent: now,
            index: snapshot.index,
            last_term: snapshot.term,
            members: snapshot.members.clone(),
            total: snapshot.data.len() as u64,
            offset: *offset as u64,
            data: snapshot.data.slice(*offset..end),
        };
        peer.last_sent = now;
        self.send(replica, GroupBody::SnapshotChunk(chunk));
    }

    pub(super) fn handle_snapshot_response(&mut self, from: ReplicaId, response: SnapshotResponse) {
        let Some(peer) = self.record_contact(from, response.session, response.sent) else {
            return;
        };
        let Sending::Snapshot { snapshot, offset, in_flight } = &mut peer.sending else { return };
        let received = usize::try_from(response.received).unwrap_or(usize::MAX);
        if response.index != snapshot.index || received > snapshot.data.len() {
            return;
        }
        if received != *offset {
            *offset = received;
            *in_flight = None;
        }
    }

    pub(super) fn handle_snapshot_chunk(&mut self, from: ReplicaId, chunk: SnapshotChunk) {
        if self.role == Role::Leader {
            return;
        }
        self.follow(from, chunk.session);
        let (session, sent, index) = (chunk.session, chunk.sent, chunk.index);
        if index > self.committed {
            let received = self.receive_chunk(chunk);
            if let Some(received) = received {
                let response = SnapshotResponse { session, sent, index, received };
                self.send(from, GroupBody::SnapshotResponse(response));
                return;
            }
        }
        let result = AppendResult::Matched { index: self.committed };
        self.send(from, GroupBody::AppendResponse(AppendResponse { session, sent, result }));
    }

    /// Returns the bytes received in order, or none if the snapshot is installed.
    fn receive_chunk(&mut self, chunk: SnapshotChunk) -> Option<u64> {
        let is_same = self.incoming.as_ref().is_some_and(|incoming| {
            (incoming.index, incoming.term, incoming.total)
                == (chunk.index, chunk.last_term, chunk.total)
        });
        if !is_same {
            self.incoming = Some(IncomingSnapshot {
                index: chunk.index,
                term: chunk.last_term,
                members: chunk.members,
                total: chunk.total,
                data: Vec::new(),
            });
        }
        let incoming = self.incoming.as_mut()?;
        if chunk.offset == incoming.data.len() as u64 {
            incoming.data.extend_from_slice(&chunk.data);
        }
        let received = incoming.data.len() as u64;
        if received < incoming.total {
            return Some(received);
        }
        self.install_incoming();
        None
    }

    fn install_incoming(&mut self) {
        let Some(incoming) = self.incoming.take() else { return };
        let IncomingSnapshot { index, term, members, data, .. } = incoming;
        if self.log.term_at(index) == Some(term) {
            // The log agrees up to there, so the state machine can apply the own entries.
            self.commit_to(index);
            return;
        }
        self.log.reset(index, term);
        self.committed = index;
        self.delivered = index;
        self.configurations = vec![(index, members.clone())];
        let snapshot = Snapshot { index, term, members, data: Bytes::from(data) };
        self.journal.record_base(snapshot.clone());
        self.outputs.push(Output::Restore(snapshot));
        self.adopt_members();
    }

    /// Drops the snapshot when no peer needs it any more.
    pub(super) fn drop_unused_snapshot(&mut self) {
        let is_used =
            self.leader_state.peers.values().any(|peer| {
                matches!(peer.sending, Sending::AwaitSnapshot | Sending::Snapshot { .. })
            });
        if !is_used {
            self.snapshot = None;
        }
    }
}
