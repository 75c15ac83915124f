//! Routes requests to the owner of their group, and serves them there.

use dahlia_api::{ApiError, CallRequest, ErrorKind};
use dahlia_program::{
    BeginCall, CloseProgram, CloseReason, Command, CreateProgram, RaiseBudget, RecordedOutcome,
};
use dahlia_types::{
    CallId, CallKind, DaemonId, GroupId, Message, ProgramId, Repeatability, ReplicaId, TenantId,
    Timestamp,
};

use crate::Action;
use crate::group::{Group, ProposalPurpose};
use crate::node::Node;
use crate::request::{Request, RequestId, Response};
use crate::routing::ReplyTo;
use crate::wire::PeerMessage;

/// The retry delay for a caller when no owner answered.
const UNAVAILABLE_RETRY_DELAY: std::time::Duration = std::time::Duration::from_secs(2);

impl Node {
    /// Accepts a request from this daemon's gateway or operators' server.
    pub(crate) fn accept_request(&mut self, id: RequestId, request: Request, now: Timestamp) {
        // Ledgers do not depend on the configuration: callers name their contents.
        let problem = self.configuration.problem().filter(|_| !request.is_urgent());
        if let Some(problem) = problem {
            let error = ApiError::new(ErrorKind::Unavailable, problem);
            let response = Response::Failed(error.with_retry_after(UNAVAILABLE_RETRY_DELAY));
            self.actions.push(Action::Respond { id, response });
            return;
        }
        self.router.add(id, request, now);
        self.route_due(now);
    }

    /// Sends every due request to the probable owner of its group.
    pub(crate) fn route_due(&mut self, now: Timestamp) {
        for id in self.router.take_expired(now) {
            let message = "no owner of the program answered in time; the call may have been \
                           accepted: retry with the same key or number";
            let error = ApiError::new(ErrorKind::Unavailable, message);
            let response = Response::Failed(error.with_retry_after(UNAVAILABLE_RETRY_DELAY));
            self.actions.push(Action::Respond { id, response });
        }
        for (id, request, tries) in self.router.take_due(now) {
            let group = request.group();
            if self.owns(group) {
                self.serve(ReplyTo::Here(id), request, now);
                continue;
            }
            if request.is_urgent() {
                self.route_urgent(id, request, tries, now);
                continue;
            }
            // If the hinted owner did not answer within a whole timeout, it may be dead.
            if tries > 0 && !request.waits() {
                self.router.drop_hint(group);
            }
            let Some(target) = self.choose_target(group, tries) else {
                continue;
            };
            if let Some(to) = self.address(target) {
                let message = PeerMessage::Request { id, request, reply_to: self.settings.address };
                self.actions.push(Action::Send { to, message });
            }
        }
        self.ask_helpers(now);
    }

    fn choose_target(&self, group: GroupId, tries: u32) -> Option<DaemonId> {
        let own = self.settings.own.daemon;
        if let Some(hint) = self.owner_hint(group).filter(|hint| *hint != own) {
            return Some(hint);
        }
        let others = self.possible_owners(group);
        let index = (tries as usize).checked_rem(others.len())?;
        others.get(index).copied()
    }

    /// Returns other daemons that may own a group or know its owner: its members, or all daemons that
    /// hold groups while no member is known. A daemon that has just started reaches other daemons
    /// before the descriptions of groups reach it.
    pub(crate) fn possible_owners(&self, group: GroupId) -> Vec<DaemonId> {
        let own = self.settings.own.daemon;
        let members = self.directory.route(group);
        let known: Vec<DaemonId> =
            members.iter().map(|member| member.daemon).filter(|daemon| *daemon != own).collect();
        if known.is_empty() { self.other_holders(group) } else { known }
    }

    /// Handles the response to a request, from the owner or another daemon.
    pub(crate) fn handle_response(
        &mut self,
        from: ReplicaId,
        id: RequestId,
        response: Response,
        now: Timestamp,
    ) {
        self.router.clear_suspicion(from.daemon);
        if let Response::NotOwner { hint } = response {
            let is_lost = hint.is_some_and(|hint| self.is_in_silent_zone(hint));
            if self.router.redirect(id, from.daemon, hint, is_lost, now) {
                self.route_due(now);
            }
            return;
        }
        if let Some(routed) = self.router.finish(id) {
            self.record_answer_from(from.daemon, &routed, now);
            self.deliver_response(routed.reply_to, response);
        }
    }

    /// Delivers the response of a routed request to its requester.
    fn deliver_response(&mut self, reply_to: ReplyTo, response: Response) {
        match reply_to {
            ReplyTo::Peer { address, id } => {
                let message = PeerMessage::Response { id, response };
                self.actions.push(Action::Send { to: address, message });
            }
            ReplyTo::Here(id) => self.actions.push(Action::Respond { id, response }),
        }
    }

    /// Replies to a requester.
    pub(crate) fn reply(&mut self, to: ReplyTo, response: Response) {
        match to {
            ReplyTo::Peer { .. } => self.deliver_response(to, response),
            ReplyTo::Here(id) => {
                // A local request stays in the router until an owner has answered.
                if matches!(response, Response::NotOwner { .. }) {
                    return;
                }
                if let Some(routed) = self.router.finish(id) {
                    self.deliver_response(routed.reply_to, response);
                }
            }
        }
    }

    /// Serves a request as owner, or replies that this node is not the owner.
    pub(crate) fn serve(&mut self, to: ReplyTo, request: Request, now: Timestamp) {
        let group = request.group();
        if !self.owns(group) {
            let own = self.settings.own.daemon;
            let hint = self.owner_hint(group).filter(|hint| *hint != own);
            self.reply(to, Response::NotOwner { hint });
            return;
        }
        match request {
            Request::Submit { tenant, call, repeatable } => {
                self.submit(to, &tenant, call, repeatable, now);
            }
            Request::AwaitOutcome { tenant, call } => self.await_outcome(to, &tenant, call, now),
            Request::Create { program, specification } => {
                let create = CreateProgram { program, specification, at: now };
                self.propose_request(to, group, Command::CreateProgram(create), now);
            }
            Request::Show { program, with_calls } => {
                let response = match self.program_view(group, program, with_calls) {
                    Some(view) => Response::Program(Box::new(view)),
                    None => Response::Failed(no_such_program(program)),
                };
                self.reply(to, response);
            }
            Request::List { tenant, include_closed, limit, .. } => {
                let views = self.list_programs(group, tenant.as_ref(), include_closed, limit);
                self.reply(to, Response::Programs(views));
            }
            Request::RaiseBudget { program, total } => {
                let raise = RaiseBudget { program, total };
                self.propose_request(to, group, Command::RaiseBudget(raise), now);
            }
            Request::Close { program, tenant } => self.close(to, program, tenant.as_ref(), now),
            Request::Ledger { command, .. } => self.serve_ledger(to, group, command, now),
            Request::Limits { command, .. } => self.serve_limits(to, group, command, now),
        }
    }

    fn submit(
        &mut self,
        to: ReplyTo,
        tenant: &TenantId,
        request: CallRequest,
        repeatable: bool,
        now: Timestamp,
    ) {
        let program = request.program;
        if !self.may_access(program, tenant) {
            self.reply(to, Response::Failed(no_such_program(program)));
            return;
        }
        let Some(messages) = self.new_messages(&request, now) else {
            let request = Request::Submit { tenant: tenant.clone(), call: request, repeatable };
            self.defer_request(program, to, request);
            return;
        };
        let repeatability =
            if repeatable { Repeatability::Repeatable } else { Repeatability::AtMostOnce };
        let begin = BeginCall {
            program,
            chain: request.chain,
            parent: (request.chain != request.parent).then_some(request.parent),
            number: request.number,
            key: request.key,
            digest: request.digest,
            kind: CallKind::Generate,
            repeatability,
            messages,
            max_generated: request.max_generated,
            at: now,
        };
        self.propose_request(to, program.group, Command::BeginCall(begin), now);
    }

    /// Returns the messages that are not in the chain's history yet, because clients of the chat
    /// protocol send the whole conversation each time. None if the history has to be read back from
    /// store daemons first.
    fn new_messages(&mut self, request: &CallRequest, now: Timestamp) -> Option<Vec<Message>> {
        let sent = &request.messages;
        // A turn has two messages, so a single message cannot repeat one.
        if sent.len() < 2 {
            return Some(sent.clone());
        }
        let history = self.compose_history(request.program, request.chain, now)?;
        let is_longer = !history.is_empty() && history.len() < sent.len();
        let repeats_history = is_longer && history.iter().zip(sent).all(|(old, sent)| old == sent);
        Some(if repeats_history { sent[history.len()..].to_vec() } else { sent.clone() })
    }

    fn await_outcome(&mut self, to: ReplyTo, tenant: &TenantId, call: CallId, now: Timestamp) {
        if !self.may_access(call.program, tenant) {
            self.reply(to, Response::Failed(no_such_program(call.program)));
            return;
        }
        let Some(group) = self.groups.get_mut(&call.program.group) else {
            return;
        };
        let program = group.state.program(call.program);
        let known = program.is_some_and(|program| program.call(call).is_some());
        if !known {
            let message = format!("call {call} does not exist");
            let error = ApiError::new(ErrorKind::NotFound, message);
            self.reply(to, Response::Failed(error));
            return;
        }
        match program.and_then(|program| program.outcome(call)) {
            Some(RecordedOutcome::Inline(outcome)) => {
                let attempt = self.last_attempt(call);
                self.reply(to, Response::Ended { call, attempt, outcome });
            }
            Some(RecordedOutcome::Stored(_)) => {
                group.waiters.entry(call).or_default().insert(to);
                self.read_stored_outcome(call, now);
            }
            None => {
                group.waiters.entry(call).or_default().insert(to);
            }
        }
    }

    /// Returns the number of a call's last attempt. For an answered call, that attempt answered it.
    pub(crate) fn last_attempt(&self, call: CallId) -> u32 {
        let group = self.groups.get(&call.program.group);
        let program = group.and_then(|group| group.state.program(call.program));
        program.and_then(|program| program.call(call)).map_or(0, |call| call.attempts())
    }

    fn close(
        &mut self,
        to: ReplyTo,
        program: ProgramId,
        tenant: Option<&TenantId>,
        now: Timestamp,
    ) {
        if tenant.is_some_and(|tenant| !self.may_access(program, tenant)) {
            self.reply(to, Response::Failed(no_such_program(program)));
            return;
        }
        let close = CloseProgram { program, reason: CloseReason::Closed, at: now };
        self.propose_request(to, program.group, Command::CloseProgram(close), now);
    }

    fn propose_request(&mut self, to: ReplyTo, id: GroupId, command: Command, now: Timestamp) {
        let hint = self.owner_hint(id);
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        if group.propose(command, ProposalPurpose::Request(to), now).is_err() {
            self.reply(to, Response::NotOwner { hint });
        }
        self.dirty.insert(id);
    }

    /// Whether a tenant may access a program. Another tenant's program is indistinguishable from one
    /// that does not exist.
    fn may_access(&self, program: ProgramId, tenant: &TenantId) -> bool {
        let group: Option<&Group> = self.groups.get(&program.group);
        let found = group.and_then(|group| group.state.program(program));
        found.is_some_and(|found| found.specification().tenant == *tenant)
    }
}

fn no_such_program(program: ProgramId) -> ApiError {
    let message = format!("program {program} does not exist for this credential");
    ApiError::new(ErrorKind::NotFound, message)
}
