//! Probes, indirect probes and suspicion (SWIM, sections 3 and 4).

use dahlia_types::{DaemonId, Duration, ReplicaId, Timestamp};

use super::gossip::Updates;
use super::state::Membership;
use super::{Health, MemberMessage, MemberRecord};

/// A probe that is not acknowledged yet.
#[derive(Debug, Clone)]
pub(super) struct Probe {
    pub sequence: u32,
    pub target: ReplicaId,
    /// When indirect probes are requested; none once they were.
    pub indirect_at: Option<Timestamp>,
}

impl Membership {
    /// Suspects the target of the last probe if it did not answer, and starts the next probe.
    pub(super) fn end_probe_interval(&mut self) {
        let interval = self.settings.probe_interval();
        let delay = self.now.since(self.next_probe);
        let was_paused = delay > interval;
        if was_paused {
            // This process did not run in that time, so missing answers are no evidence of failures.
            self.members.extend_suspicions(delay);
            self.probe = None;
        }
        if let Some(probe) = self.probe.take() {
            self.suspect(probe.target);
        }
        self.declare_dead();
        self.members
            .forget_dead(Duration::from_millis(self.settings.forget_dead_after_ms), self.now);
        self.facts.expire(Duration::from_millis(self.settings.load_fact_lifetime_ms), self.now);
        self.next_probe = self.now + interval;
        let region = self.own.info.region.clone();
        if let Some(daemon) = self.members.next_probe_target(&region, &mut self.random) {
            self.start_probe(daemon);
        }
    }

    fn start_probe(&mut self, daemon: DaemonId) {
        let Some(member) = self.members.get(daemon) else { return };
        let target = member.record.info.replica();
        self.next_sequence = self.next_sequence.wrapping_add(1);
        let sequence = self.next_sequence;
        let indirect_at = Some(self.now + self.settings.probe_timeout());
        self.probe = Some(Probe { sequence, target, indirect_at });
        self.send(daemon, MemberMessage::Ping { sequence, to: target, on_behalf_of: None });
    }

    /// Probes a member at once, unless a probe of it is already in flight.
    pub(super) fn connection_lost(&mut self, daemon: DaemonId) {
        let is_probed = self.probe.as_ref().is_some_and(|probe| probe.target.daemon == daemon);
        let is_present =
            self.members.get(daemon).is_some_and(|member| member.record.health != Health::Dead);
        if is_present && !is_probed {
            self.start_probe(daemon);
            self.next_probe = self.now + self.settings.probe_interval();
        }
    }

    /// Pings a member in addition to the regular probes. The ping carries no updates, because many
    /// members are pinged at once.
    pub(super) fn send_ping(&mut self, daemon: DaemonId) {
        let Some(member) = self.members.get(daemon) else { return };
        let to = member.record.info.replica();
        self.next_sequence = self.next_sequence.wrapping_add(1);
        let ping = MemberMessage::Ping { sequence: self.next_sequence, to, on_behalf_of: None };
        self.send_with_updates(daemon, ping, Updates::default());
    }

    /// Asks other members to probe a target that did not acknowledge in time.
    pub(super) fn probe_indirectly(&mut self) {
        let Some(probe) = &mut self.probe else { return };
        if probe.indirect_at.is_none_or(|at| self.now < at) {
            return;
        }
        probe.indirect_at = None;
        let Probe { sequence, target, .. } = *probe;
        let count = self.settings.indirect_probes;
        let region = self.own.info.region.clone();
        let mut helpers = self.members.choose(count + 1, &region, 0.0, &mut self.random);
        helpers.retain(|helper| *helper != target.daemon);
        helpers.truncate(count);
        for helper in helpers {
            self.send(helper, MemberMessage::PingRequest { sequence, target });
        }
    }

    pub(super) fn ping_on_behalf_of(&mut self, asker: DaemonId, sequence: u32, target: ReplicaId) {
        let ping = MemberMessage::Ping { sequence, to: target, on_behalf_of: Some(asker) };
        self.send(target.daemon, ping);
    }

    pub(super) fn handle_ping(
        &mut self,
        from: DaemonId,
        sequence: u32,
        to: ReplicaId,
        on_behalf_of: Option<DaemonId>,
    ) {
        let answering = self.own.info.replica();
        if to != answering {
            self.queue.push(super::gossip::Subject::Member(answering.daemon));
        }
        self.send(from, MemberMessage::Ack { sequence, answering, on_behalf_of });
    }

    pub(super) fn handle_ack(
        &mut self,
        sequence: u32,
        answering: ReplicaId,
        on_behalf_of: Option<DaemonId>,
    ) {
        if let Some(asker) = on_behalf_of.filter(|asker| *asker != self.own.info.daemon) {
            self.send(asker, MemberMessage::Ack { sequence, answering, on_behalf_of });
            return;
        }
        let is_answer = self
            .probe
            .as_ref()
            .is_some_and(|probe| probe.sequence == sequence && probe.target == answering);
        if is_answer {
            self.probe = None;
        }
    }

    fn suspect(&mut self, target: ReplicaId) {
        let Some(member) = self.members.get(target.daemon) else { return };
        let record = &member.record;
        if record.info.replica() == target && record.health == Health::Alive {
            let suspected = MemberRecord { health: Health::Suspect, ..record.clone() };
            self.merge_record(suspected);
        }
    }

    fn declare_dead(&mut self) {
        for suspect in self.members.expired_suspects(self.suspicion_timeout(), self.now) {
            self.merge_record(MemberRecord { health: Health::Dead, ..suspect });
        }
    }
}
