//! The log on a disk of which single operations fail while the same log, or the next process, goes
//! on. A model keeps what was acknowledged.

mod support;

use std::collections::BTreeMap;
use std::io::ErrorKind;

use dahlia_durable::{DurableLog, LogIdentity, OpenedLog};
use dahlia_replication::group::{DurableChange, DurableReplica};
use dahlia_types::{GroupId, Incarnation};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use support::disk::{FailedOperation, FailurePoint, MemoryDisk};
use support::{image, settings, update};

const GROUPS: u32 = 3;
const FIRST_INCARNATION: Incarnation = Incarnation(7);
/// The most bytes of an entry. A few fill a segment.
const MAX_BYTES: usize = 1_500;
/// Operations within which one fails: some frames, a new segment, a removal.
const MAX_OPERATIONS: u64 = 9;
/// Steps of one case.
const MAX_STEPS: usize = 40;
/// Cases unless `PROPTEST_CASES` says otherwise.
const CASES: u32 = 2_000;

#[derive(Debug, Clone)]
struct Step {
    action: Action,
    fault: Option<Fault>,
}

#[derive(Debug, Clone, Copy)]
enum Action {
    Append {
        group: u32,
        is_image: bool,
        bytes: usize,
    },
    Advance {
        by: u64,
    },
    /// The process ends and the next one opens the log.
    Restart,
    /// The power is lost, and a process opens the log.
    LosePower,
}

#[derive(Debug, Clone, Copy)]
enum Fault {
    Operation(FailedOperation),
    /// The power is lost after this many operations.
    Power(u64),
}

type Replicas = BTreeMap<GroupId, DurableReplica>;

/// A log and what it must contain.
struct ModelRun {
    disk: MemoryDisk,
    log: DurableLog,
    identity: LogIdentity,
    acknowledged: Replicas,
    /// The changes that were refused since the last acknowledged ones. One of them may survive.
    refused: Vec<DurableChange>,
    /// Incarnations to which the log refused to move since it was opened.
    refused_incarnations: Vec<Incarnation>,
}

fn open(disk: &MemoryDisk) -> Result<OpenedLog, dahlia_durable::LogError> {
    DurableLog::open(disk.handle(), settings(), FIRST_INCARNATION)
}

fn by_group(replicas: Vec<DurableReplica>) -> Replicas {
    replicas.into_iter().map(|replica| (replica.group, replica)).collect()
}

fn apply(replicas: &mut Replicas, change: DurableChange) {
    match change {
        DurableChange::Image(image) => drop(replicas.insert(image.group, *image)),
        DurableChange::Update { group, update } => {
            replicas.get_mut(&group).unwrap().apply(update).unwrap();
        }
    }
}

impl ModelRun {
    fn new(seed: u64) -> Self {
        let disk = MemoryDisk::new(seed);
        let log = open(&disk).expect("a new log opens").log;
        Self {
            disk,
            identity: log.identity(),
            log,
            acknowledged: Replicas::new(),
            refused: Vec::new(),
            refused_incarnations: Vec::new(),
        }
    }

    fn run(&mut self, step: Step) {
        match step.fault {
            Some(Fault::Operation(failed)) => self.disk.fail_operation(Some(failed)),
            Some(Fault::Power(operations)) => self.disk.lose_power_after(operations),
            None => {}
        }
        match step.action {
            Action::Append { group, is_image, bytes } => self.append_next(group, is_image, bytes),
            Action::Advance { by } => self.advance(by),
            Action::Restart => self.reopen(),
            Action::LosePower => {
                self.disk.lose_power();
                self.reopen();
            }
        }
        self.disk.fail_operation(None);
        if self.disk.has_no_power() {
            self.disk.lose_power();
            self.reopen();
        }
        self.disk.restart_process();
    }

    /// Appends the images that the log needs, then the next entry or an image of a group.
    fn append_next(&mut self, group: u32, is_image: bool, bytes: usize) {
        for group in self.log.groups_needing_image() {
            let last = self.acknowledged[&group].last_index().0;
            self.append(image(group.0, last, bytes));
        }
        let last = self.acknowledged.get(&GroupId(group)).map(|replica| replica.last_index().0);
        match last {
            Some(last) if !is_image => self.append(update(group, last + 1, bytes)),
            last => self.append(image(group, last.unwrap_or(0), bytes)),
        }
    }

    fn append(&mut self, change: DurableChange) {
        match self.log.append(std::slice::from_ref(&change)) {
            Ok(()) => {
                apply(&mut self.acknowledged, change);
                self.refused.clear();
            }
            Err(_) => self.refused.push(change),
        }
    }

    fn advance(&mut self, by: u64) {
        let after = Incarnation(self.identity.incarnation.0 + by);
        match self.log.advance_incarnation(after) {
            Ok(has_moved) => assert_eq!(has_moved, self.acknowledged.is_empty()),
            Err(_) => self.refused_incarnations.push(Incarnation(after.0 + 1)),
        }
        self.identity = self.log.identity();
    }

    /// Opens the log again, at the second try at the latest, and checks what it contains.
    fn reopen(&mut self) {
        let opened = open(&self.disk).or_else(|_| {
            self.disk.fail_operation(None);
            if self.disk.has_no_power() {
                self.disk.lose_power();
            }
            open(&self.disk)
        });
        let opened = opened.expect("the log opens");
        self.check_identity(opened.log.identity(), opened.replicas.is_empty());
        self.check_replicas(by_group(opened.replicas));
        self.identity = opened.log.identity();
        self.log = opened.log;
    }

    fn check_identity(&mut self, found: LogIdentity, is_empty: bool) {
        let refused = std::mem::take(&mut self.refused_incarnations);
        if found.incarnation == self.identity.incarnation {
            assert!(found.start_count > self.identity.start_count, "{found:?} is used again");
            return;
        }
        assert!(refused.contains(&found.incarnation), "{found:?} after {:?}", self.identity);
        assert!(is_empty, "the groups of {:?} now belong to {found:?}", self.identity);
    }

    fn check_replicas(&mut self, found: Replicas) {
        let with_refused = self.refused.drain(..).map(|change| {
            let mut replicas = self.acknowledged.clone();
            apply(&mut replicas, change);
            replicas
        });
        let is_explained =
            found == self.acknowledged || with_refused.into_iter().any(|it| it == found);
        assert!(is_explained, "found {found:?}, acknowledged {:?}", self.acknowledged);
        self.acknowledged = found;
    }
}

fn any_action() -> impl Strategy<Value = Action> {
    let append = (0..GROUPS, prop::bool::weighted(0.2), 0..MAX_BYTES)
        .prop_map(|(group, is_image, bytes)| Action::Append { group, is_image, bytes });
    prop_oneof![
        6 => append,
        1 => (0..3_u64).prop_map(|by| Action::Advance { by }),
        1 => Just(Action::Restart),
        1 => Just(Action::LosePower),
    ]
}

fn any_fault() -> impl Strategy<Value = Fault> {
    let point = prop_oneof![
        Just(FailurePoint::Before),
        Just(FailurePoint::Midway),
        Just(FailurePoint::After)
    ];
    let error = prop_oneof![Just(ErrorKind::StorageFull), Just(ErrorKind::Other)];
    let operation =
        (0..MAX_OPERATIONS, point, error).prop_map(|(operations_before, point, error)| {
            Fault::Operation(FailedOperation { operations_before, point, error })
        });
    prop_oneof![
        4 => operation,
        1 => (0..MAX_OPERATIONS).prop_map(Fault::Power),
    ]
}

fn any_step() -> impl Strategy<Value = Step> {
    let fault = prop::option::weighted(0.5, any_fault());
    (any_action(), fault).prop_map(|(action, fault)| Step { action, fault })
}

fn proptest_config() -> ProptestConfig {
    // The same cases in each run of CI.
    let rng_seed = RngSeed::Fixed(1);
    let cases = std::env::var("PROPTEST_CASES").ok().and_then(|cases| cases.parse().ok());
    ProptestConfig {
        cases: cases.unwrap_or(CASES),
        rng_seed,
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(proptest_config())]

    /// Guards against acknowledged changes that a failed disk operation lost, and against logs that
    /// do not open after one.
    #[test]
    fn acknowledged_changes_survive_failed_operations(
        seed: u64,
        steps in prop::collection::vec(any_step(), 1..MAX_STEPS),
    ) {
        let mut run = ModelRun::new(seed);
        for step in steps {
            run.run(step);
        }
        run.run(Step { action: Action::LosePower, fault: None });
        run.run(Step { action: Action::Restart, fault: None });
        run.run(Step { action: Action::LosePower, fault: None });
    }
}
