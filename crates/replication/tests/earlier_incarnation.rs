//! Two incarnations of one daemon that run at the same time, at different addresses.

use std::net::{Ipv4Addr, SocketAddr};

use dahlia_replication::membership::{
    Action, Envelope, Event, MemberInfo, MemberState, Membership, MembershipSettings,
};
use dahlia_types::{DaemonId, Duration, Incarnation, Region, Timestamp, Zone};

const OBSERVER: u32 = 1;
const RESTARTED: u32 = 2;
const TICK: Duration = Duration::from_millis(50);
/// The time within which a daemon that is in touch with others must have learnt what they know.
const TIME_TO_LEARN: Duration = Duration::from_secs(3);

/// One process, with the messages that it has not handled yet.
struct Process {
    membership: Membership,
    inbox: Vec<Envelope>,
    superseded_by: Option<Incarnation>,
}

/// Processes in virtual time. Messages arrive at the next tick after they are sent.
struct Network {
    now: Timestamp,
    processes: Vec<Process>,
}

impl Network {
    fn new() -> Self {
        Self { now: Timestamp(1), processes: Vec::new() }
    }

    /// Starts a process that has the observer as its seed, and returns its index.
    fn start(&mut self, daemon: u32, incarnation: u64, port: u16) -> usize {
        let own = MemberInfo {
            daemon: DaemonId(daemon),
            incarnation: Incarnation(incarnation),
            address: address(port),
            zone: Zone("zone".to_owned()),
            region: Region::new("region"),
            state: MemberState::Live,
            holds_groups: false,
        };
        let (seeds, settings) = (vec![address(1)], MembershipSettings::default());
        let membership = Membership::new(own, seeds, settings, incarnation, self.now);
        self.processes.push(Process { membership, inbox: Vec::new(), superseded_by: None });
        self.processes.len() - 1
    }

    fn run_until(&mut self, limit: Duration, condition: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + limit;
        while !condition(self) && self.now < end {
            self.step();
        }
        condition(self)
    }

    fn step(&mut self) {
        self.now = self.now + TICK;
        for index in 0..self.processes.len() {
            let process = &mut self.processes[index];
            if process.superseded_by.is_some() {
                continue;
            }
            let received = std::mem::take(&mut process.inbox).into_iter().map(Event::Received);
            for event in received.chain([Event::Tick]) {
                let actions = self.processes[index].membership.handle(event, self.now);
                self.perform(index, actions);
            }
        }
    }

    fn perform(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => self.deliver(to, message),
                Action::Superseded { by, .. } => self.processes[index].superseded_by = Some(by),
                Action::MemberChanged(_) | Action::FactChanged(_) => {}
            }
        }
    }

    fn deliver(&mut self, to: SocketAddr, message: Envelope) {
        let mut processes = self.processes.iter_mut();
        if let Some(receiver) = processes.find(|it| it.membership.own().address == to) {
            receiver.inbox.push(message);
        }
    }

    /// The incarnation of a daemon that a process knows.
    fn known(&self, process: usize, daemon: u32) -> Option<Incarnation> {
        let member = self.processes[process].membership.member(DaemonId(daemon))?;
        Some(member.record.info.incarnation)
    }
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

/// The others answer at the address that they know, the later incarnation's, so the earlier one used to
/// run on.
#[test]
fn an_earlier_incarnation_at_another_address_is_told_of_the_later_one() {
    let mut network = Network::new();
    let observer = network.start(OBSERVER, 10, 1);
    let earlier = network.start(RESTARTED, 20, 2);
    let knows = |incarnation| {
        move |network: &Network| {
            network.known(observer, RESTARTED) == Some(Incarnation(incarnation))
        }
    };
    assert!(network.run_until(TIME_TO_LEARN, knows(20)));
    let later = network.start(RESTARTED, 30, 3);
    assert!(network.run_until(TIME_TO_LEARN, knows(30)));
    let is_told =
        |network: &Network| network.processes[earlier].superseded_by == Some(Incarnation(30));
    assert!(network.run_until(TIME_TO_LEARN, is_told), "the earlier incarnation must stop");
    assert_eq!(network.processes[later].superseded_by, None);
}

/// The later incarnation itself receives what the earlier one sends to its address.
#[test]
fn an_earlier_incarnation_that_contacts_the_later_one_is_told() {
    let mut network = Network::new();
    let later = network.start(RESTARTED, 30, 1);
    let earlier = network.start(RESTARTED, 20, 2);
    let is_told =
        |network: &Network| network.processes[earlier].superseded_by == Some(Incarnation(30));
    assert!(network.run_until(TIME_TO_LEARN, is_told), "the earlier incarnation must stop");
    assert_eq!(network.processes[later].superseded_by, None);
}
