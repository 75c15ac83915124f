//! Servers that ended under requests: what this daemon's relay learns is told to other gateways, and what they tell is passed
//! on to it.
//!
//! The node carries keys and records without knowing how they are made. `relay` produces and keeps them.

use std::sync::Arc;
use std::time::Duration;

use dahlia_backends::ServerDigest;
use dahlia_node::Event;
use dahlia_node::crash_reports::{
    AnswerReach, ConsultationResult, CrashRecord, CrashReport, RequestKey,
};
use dahlia_relay::{
    Consultation, CrashMark, CrashSuspects, GatewayReach, RequestFingerprint, SuspectRequest,
};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::oneshot;
use tokio::time::{MissedTickBehavior, interval};

use crate::clock::Clock;
use crate::core_handle::CoreHandle;

/// How often uncertain ends are reviewed.
const REVIEW_INTERVAL: Duration = Duration::from_millis(250);
/// The reviews between two comparisons with another gateway, and until the first one that a gateway without records makes.
const REVIEWS_PER_COMPARISON: u64 = 4;
/// The most marks that are sent to a gateway that has others: ten datagrams.
const MAX_SENT_MARKS: usize = 240;

/// Tells other gateways what `suspects` learns, and passes on the `reports` of others. `review` is called several times a second.
pub fn share(
    suspects: Arc<CrashSuspects>,
    reports: UnboundedReceiver<CrashReport>,
    core: &CoreHandle,
    clock: Clock,
    review: impl Fn() + Send + 'static,
) {
    let requests = suspects.connect();
    let sharing = CrashSharing { suspects, core: core.clone(), clock };
    tokio::spawn(sharing.clone().send_requests(requests));
    tokio::spawn(sharing.clone().apply_reports(reports));
    tokio::spawn(sharing.compare(review));
}

#[derive(Clone)]
struct CrashSharing {
    suspects: Arc<CrashSuspects>,
    core: CoreHandle,
    clock: Clock,
}

impl CrashSharing {
    async fn send_requests(self, mut requests: UnboundedReceiver<SuspectRequest>) {
        while let Some(request) = requests.recv().await {
            match request {
                SuspectRequest::Inform { marks } => {
                    self.core.send_event(Event::InformGateways(records(&marks))).await;
                }
                SuspectRequest::Consult { marks, reply } => {
                    let (found, answer) = oneshot::channel();
                    self.core.consult_gateways(records(&marks), found).await;
                    tokio::spawn(async move {
                        if let Ok(result) = answer.await {
                            // The caller of the request may have left.
                            let _ = reply.send(consultation(result));
                        }
                    });
                }
            }
        }
    }

    async fn apply_reports(self, mut reports: UnboundedReceiver<CrashReport>) {
        while let Some(report) = reports.recv().await {
            let now = self.clock.now();
            match report {
                CrashReport::Records { records: received, question } => {
                    let marks: Vec<CrashMark> = received.iter().map(mark).collect();
                    let known = self.suspects.learn(&marks, now);
                    if let Some(question) = question {
                        let (records, in_flight) = (records(&known.marks), known.in_flight);
                        let answer = Event::AnswerGateway { question, records, in_flight };
                        self.core.send_event(answer).await;
                    }
                }
                CrashReport::Digest { digest, reply_to } => {
                    if digest != self.suspects.digest(now) {
                        let records = records(&self.suspects.worst_marks(MAX_SENT_MARKS, now));
                        let answer = Event::SendCrashRecords { to: reply_to, records };
                        self.core.send_event(answer).await;
                    }
                }
            }
        }
    }

    async fn compare(self, review: impl Fn() + Send + 'static) {
        let mut interval = interval(REVIEW_INTERVAL);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        for round in 0_u64.. {
            interval.tick().await;
            review();
            // A gateway that has just started knows nothing and asks more often.
            if round.is_multiple_of(REVIEWS_PER_COMPARISON) || round < REVIEWS_PER_COMPARISON {
                let digest = self.suspects.digest(self.clock.now());
                self.core.send_event(Event::CompareCrashRecords { digest }).await;
            }
        }
    }
}

fn records(marks: &[CrashMark]) -> Vec<CrashRecord> {
    let record = |mark: &CrashMark| {
        let CrashMark { request, server, is_void, lifetime } = *mark;
        let RequestFingerprint { digest, body_bytes } = request;
        let request = RequestKey { digest, body_bytes };
        CrashRecord { request, server: server.0, is_void, lifetime }
    };
    marks.iter().map(record).collect()
}

fn mark(record: &CrashRecord) -> CrashMark {
    let CrashRecord { request, server, is_void, lifetime } = *record;
    let RequestKey { digest, body_bytes } = request;
    let request = RequestFingerprint { digest, body_bytes };
    CrashMark { request, server: ServerDigest(server), is_void, lifetime }
}

fn consultation(result: ConsultationResult) -> Consultation {
    let ConsultationResult { records, in_flight, reach } = result;
    let reach = match reach {
        AnswerReach::All => GatewayReach::All,
        AnswerReach::Majority => GatewayReach::Majority,
        AnswerReach::Minority => GatewayReach::Minority,
    };
    Consultation { marks: records.iter().map(mark).collect(), in_flight, reach }
}
