//! Deterministic simulation of a caller that retries with one key, two entries, two endpoints and
//! the log, with a network that injects faults into numbered messages. It runs in one thread.

#![allow(unreachable_pub)]

use std::collections::VecDeque;

use lynxmount_core::{Incarnation, Offset, Outcome};
use lynxmount_idempotency::{
    ActiveClaim, Admission, Claim, ClaimBatch, ClaimTable, DedupOptions, DedupTable, KeyDecision,
    KeyDigest, RequestDigest, decide_key, may_report_not_run,
};
use uuid::Uuid;

const ENTRIES: usize = 2;
const ENDPOINTS: usize = 2;
const SIMULATED_TICKS: u64 = 400;
/// Duration of a freeze, of a log outage, of a busy period and of a message delay.
const LONG_TICKS: u64 = 25;
/// Delay of a duplicate message, short enough to arrive before the request times out.
const DUPLICATE_DELAY_TICKS: u64 = 12;
/// Duration of a run at a back end.
const RUN_TICKS: u64 = 4;
/// Time limit of a request at an entry.
const REQUEST_TIMEOUT_TICKS: u64 = 20;
/// Time for which the caller waits on a silent connection.
const CALLER_TIMEOUT_TICKS: u64 = 40;
/// Time after which a silent endpoint counts as lost, and an append as failed.
const SILENCE_TIMEOUT_TICKS: u64 = 5;
const MAX_CALLS: usize = 8;
const MAX_ATTEMPTS: u32 = 3;
const KEY: KeyDigest = [7; 32];
const REQUEST: RequestDigest = [8; 32];
const START_MS: u64 = 1_000_000;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    Busy,
    Delay,
    Duplicate,
    FreezeReceiver,
    FreezeSender,
    KillReceiver,
    KillSender,
    LogOutage,
    Loss,
}

pub const FAULTS: [Fault; 9] = [
    Fault::Busy,
    Fault::Delay,
    Fault::Duplicate,
    Fault::FreezeReceiver,
    Fault::FreezeSender,
    Fault::KillReceiver,
    Fault::KillSender,
    Fault::LogOutage,
    Fault::Loss,
];

/// Storage of a key's binding.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Binding {
    /// Only the memory of the key's home endpoint.
    HomeMemory,
    /// A claim in the log.
    #[default]
    Log,
}

/// A mechanism that a scenario can disable.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mechanism {
    /// The log is read before *not run* is reported.
    Confirmation,
    /// An endpoint refuses keys that are bound to its earlier incarnations.
    IncarnationCheck,
    /// An endpoint remembers the keys that it has run.
    Memory,
    /// An endpoint that has refused a key never runs it later.
    Revocation,
}

#[derive(Clone, Debug, Default)]
pub struct Scenario {
    pub faults: Vec<(usize, Fault)>,
    pub binding: Binding,
    pub disabled: Option<Mechanism>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Node {
    Caller,
    Endpoint(usize),
    Entry(usize),
    Log,
}

/// Number of a call and of an attempt within it.
type AttemptId = (usize, u32);

#[derive(Clone, Debug)]
enum Payload {
    Response { id: AttemptId },
    Append { call: usize, claim: Claim },
    Appended { call: usize, offset: Option<Offset> },
    Call { call: usize },
    Dispatch { id: AttemptId, incarnation: Incarnation, claimed_at_ms: u64, deadline: u64 },
    Refused { id: AttemptId, revokes: bool },
    CallResult { call: usize, outcome: Outcome },
}

#[derive(Clone, Debug)]
struct Message {
    from: Node,
    to: Node,
    payload: Payload,
    not_before: u64,
}

#[derive(Clone, Debug)]
enum Phase {
    Claiming { since: u64 },
    Reading { offset: Offset, since: u64 },
    Start,
    Waiting { endpoint: usize, incarnation: Incarnation },
}

#[derive(Clone, Debug)]
struct Pending {
    call: usize,
    deadline: u64,
    attempts: u32,
    revoked: Option<Offset>,
    phase: Phase,
}

#[derive(Default)]
struct Entry {
    table: ClaimTable,
    pending: Vec<Pending>,
    incarnation_number: u32,
    frozen_until: u64,
    down_until: u64,
}

struct Endpoint {
    incarnation_number: u128,
    dedup_table: DedupTable,
    waiting: Vec<(usize, AttemptId)>,
    run_until: Option<u64>,
    has_response: bool,
    frozen_since: Option<u64>,
    frozen_until: u64,
    down_until: u64,
    busy_until: u64,
}

struct Call {
    started_at: u64,
    outcome: Option<Outcome>,
}

pub struct Simulation {
    scenario: Scenario,
    tick: u64,
    sent: usize,
    queue: VecDeque<Message>,
    log: Vec<Claim>,
    log_outage_until: u64,
    entries: Vec<Entry>,
    endpoints: Vec<Endpoint>,
    calls: Vec<Call>,
    next_call_at: u64,
    runs: Vec<usize>,
    has_false_not_run: bool,
}

/// What the caller and the back ends observed.
#[derive(Debug)]
pub struct Observations {
    /// Calls for which the back ends ran the key.
    pub runs: Vec<usize>,
    /// Outcome reported to each call.
    pub outcomes: Vec<Option<Outcome>>,
    /// *Not run* was reported although the key had run, or ran for that call later.
    pub has_false_not_run: bool,
}

impl Simulation {
    pub fn run(scenario: Scenario) -> Observations {
        let mut simulation = Simulation {
            scenario,
            tick: 0,
            sent: 0,
            queue: VecDeque::new(),
            log: Vec::new(),
            log_outage_until: 0,
            entries: (0..ENTRIES).map(|_| Entry::default()).collect(),
            endpoints: (0..ENDPOINTS).map(|number| new_endpoint(number as u128)).collect(),
            calls: Vec::new(),
            next_call_at: 0,
            runs: Vec::new(),
            has_false_not_run: false,
        };
        for tick in 0..SIMULATED_TICKS {
            simulation.tick = tick;
            simulation.tick_caller();
            simulation.deliver_all();
            (0..ENTRIES).for_each(|number| simulation.tick_entry(number));
            (0..ENDPOINTS).for_each(|number| simulation.tick_endpoint(number));
        }
        let not_run = |call: &usize| simulation.calls[*call].outcome == Some(Outcome::NotRun);
        let ran_after = simulation.runs.iter().any(not_run);
        Observations {
            outcomes: simulation.calls.iter().map(|call| call.outcome).collect(),
            has_false_not_run: simulation.has_false_not_run || ran_after,
            runs: simulation.runs,
        }
    }

    fn tick_caller(&mut self) {
        let is_done = self.calls.iter().any(|call| call.outcome == Some(Outcome::Complete));
        let last = self.calls.last();
        let gives_up = last.is_some_and(|call| {
            call.outcome.is_none() && self.tick >= call.started_at + CALLER_TIMEOUT_TICKS
        });
        let retries =
            last.is_none_or(|call| call.outcome.is_some()) && self.tick >= self.next_call_at;
        if is_done || self.calls.len() >= MAX_CALLS || !(gives_up || retries) {
            return;
        }
        let call = self.calls.len();
        self.calls.push(Call { started_at: self.tick, outcome: None });
        self.send(Node::Caller, Node::Entry(call % ENTRIES), Payload::Call { call });
    }

    fn tick_entry(&mut self, number: usize) {
        if self.is_down(Node::Entry(number)) {
            return;
        }
        if !self.is_log_unavailable() {
            self.read_log(number);
        }
        let incarnation_number = self.entries[number].incarnation_number;
        for mut pending in std::mem::take(&mut self.entries[number].pending) {
            let is_finished = self.advance(number, &mut pending);
            // The entry may have been killed while it sent a message.
            if !is_finished && self.entries[number].incarnation_number == incarnation_number {
                self.entries[number].pending.push(pending);
            }
        }
    }

    fn read_log(&mut self, number: usize) {
        let table = &mut self.entries[number].table;
        for offset in table.next_offset()..self.log.len() as Offset {
            table.apply(offset, ClaimBatch { claims: vec![self.log[offset as usize].clone()] });
        }
    }

    /// Advances a request; returns whether its outcome was reported to the caller.
    fn advance(&mut self, number: usize, pending: &mut Pending) -> bool {
        let is_late = self.tick >= pending.deadline;
        match pending.phase.clone() {
            Phase::Waiting { endpoint, incarnation } => {
                let is_lost = self.live_incarnation(endpoint) != Some(incarnation);
                if is_late || is_lost {
                    return self.report(number, pending.call, Outcome::Unknown);
                }
                false
            }
            _ if is_late => self.give_up(number, pending),
            Phase::Start => self.advance_by_decision(number, pending),
            Phase::Claiming { since } if self.tick >= since + SILENCE_TIMEOUT_TICKS => {
                // Resolved by reading the log, never by a second append.
                match self.entries[number].table.get(&KEY).is_some() {
                    true => self.advance_by_decision(number, pending),
                    false => self.give_up(number, pending),
                }
            }
            Phase::Claiming { .. } => false,
            Phase::Reading { offset, .. } if self.entries[number].table.next_offset() > offset => {
                self.advance_by_decision(number, pending)
            }
            Phase::Reading { since, .. } if self.tick >= since + SILENCE_TIMEOUT_TICKS => {
                self.give_up(number, pending)
            }
            Phase::Reading { .. } => false,
        }
    }

    fn advance_by_decision(&mut self, number: usize, pending: &mut Pending) -> bool {
        if self.scenario.binding == Binding::HomeMemory {
            return self.dispatch_to_home(number, pending);
        }
        let active_claim = self.entries[number].table.get(&KEY).cloned();
        let endpoint = active_claim.as_ref().map(endpoint_of);
        let live = endpoint.and_then(|endpoint| self.live_incarnation(endpoint));
        match decide_key(&REQUEST, pending.revoked, active_claim.as_ref(), live) {
            KeyDecision::Claim { replaces } => self.claim(number, pending, replaces),
            KeyDecision::Dispatch => {
                let active_claim = active_claim.expect("a dispatch follows a claim");
                let claimed_at_ms = active_claim.claim.claimed_at_ms;
                let endpoint = endpoint_of(&active_claim);
                self.dispatch(
                    number,
                    pending,
                    endpoint,
                    active_claim.claim.incarnation,
                    claimed_at_ms,
                )
            }
            KeyDecision::Reused | KeyDecision::Unreachable => {
                self.report(number, pending.call, Outcome::Unknown)
            }
        }
    }

    /// Dispatches without the log: the key's home endpoint is the only candidate.
    fn dispatch_to_home(&mut self, number: usize, pending: &mut Pending) -> bool {
        match self.live_incarnation(0) {
            Some(incarnation) => self.dispatch(number, pending, 0, incarnation, self.now_ms()),
            None => self.report(number, pending.call, Outcome::NotRun),
        }
    }

    fn claim(&mut self, number: usize, pending: &mut Pending, replaces: Option<Offset>) -> bool {
        let candidates =
            [pending.call, pending.call + 1].map(|n| (n + pending.attempts as usize) % ENDPOINTS);
        let chosen = candidates
            .into_iter()
            .find_map(|endpoint| Some((endpoint, self.live_incarnation(endpoint)?)));
        let Some((endpoint, incarnation)) = chosen else { return self.give_up(number, pending) };
        let claim = Claim {
            key_digest: KEY,
            request_digest: REQUEST,
            endpoint: endpoint.to_string().into(),
            incarnation,
            claimed_at_ms: self.now_ms(),
            replaces,
        };
        pending.phase = Phase::Claiming { since: self.tick };
        self.send(Node::Entry(number), Node::Log, Payload::Append { call: pending.call, claim });
        false
    }

    fn dispatch(
        &mut self,
        number: usize,
        pending: &mut Pending,
        endpoint: usize,
        incarnation: Incarnation,
        claimed_at_ms: u64,
    ) -> bool {
        pending.phase = Phase::Waiting { endpoint, incarnation };
        let (id, deadline) = ((pending.call, pending.attempts), pending.deadline);
        let payload = Payload::Dispatch { id, incarnation, claimed_at_ms, deadline };
        self.send(Node::Entry(number), Node::Endpoint(endpoint), payload);
        false
    }

    fn give_up(&mut self, number: usize, pending: &Pending) -> bool {
        let active_claim = match self.is_log_unavailable() {
            true => None,
            false => {
                self.read_log(number);
                Some(self.entries[number].table.get(&KEY).map(|active| active.offset))
            }
        };
        let is_not_run = may_report_not_run(pending.revoked, active_claim)
            || self.scenario.disabled == Some(Mechanism::Confirmation);
        let outcome = if is_not_run { Outcome::NotRun } else { Outcome::Unknown };
        self.report(number, pending.call, outcome)
    }

    fn report(&mut self, number: usize, call: usize, outcome: Outcome) -> bool {
        self.send(Node::Entry(number), Node::Caller, Payload::CallResult { call, outcome });
        true
    }

    fn tick_endpoint(&mut self, number: usize) {
        let endpoint = &mut self.endpoints[number];
        if endpoint.down_until > self.tick || endpoint.frozen_until > self.tick {
            return;
        }
        endpoint.frozen_since = None;
        if endpoint.run_until.is_some_and(|until| self.tick >= until) {
            endpoint.run_until = None;
            endpoint.has_response = true;
        }
        if endpoint.has_response {
            for (entry, id) in std::mem::take(&mut endpoint.waiting) {
                self.send(Node::Endpoint(number), Node::Entry(entry), Payload::Response { id });
            }
        }
    }

    /// The incarnation of an endpoint that entries are connected to, if any.
    fn live_incarnation(&self, number: usize) -> Option<Incarnation> {
        let endpoint = &self.endpoints[number];
        let is_silent =
            endpoint.frozen_since.is_some_and(|since| self.tick >= since + SILENCE_TIMEOUT_TICKS);
        (self.tick >= endpoint.down_until && !is_silent)
            .then(|| Uuid::from_u128(endpoint.incarnation_number))
    }

    fn now_ms(&self) -> u64 {
        START_MS + self.tick
    }

    fn is_log_unavailable(&self) -> bool {
        self.tick < self.log_outage_until
    }

    fn is_down(&self, node: Node) -> bool {
        let until = match node {
            Node::Entry(number) => {
                self.entries[number].frozen_until.max(self.entries[number].down_until)
            }
            Node::Endpoint(number) => {
                self.endpoints[number].frozen_until.max(self.endpoints[number].down_until)
            }
            Node::Caller | Node::Log => 0,
        };
        self.tick < until
    }

    fn send(&mut self, from: Node, to: Node, payload: Payload) {
        let number = self.sent;
        self.sent += 1;
        let message = Message { from, to, payload, not_before: self.tick };
        let fault = self.scenario.faults.iter().find(|(n, _)| *n == number).map(|(_, f)| *f);
        match fault {
            Some(Fault::Loss) => return,
            Some(Fault::Delay) => {
                self.queue.push_back(Message { not_before: self.tick + LONG_TICKS, ..message });
                return;
            }
            // A connection doesn't duplicate a request; a caller's retry is another call.
            Some(Fault::Duplicate) if from == Node::Caller => {}
            Some(Fault::Duplicate) => {
                let duplicate =
                    Message { not_before: self.tick + DUPLICATE_DELAY_TICKS, ..message.clone() };
                self.queue.push_back(duplicate);
            }
            Some(Fault::LogOutage) => self.log_outage_until = self.tick + LONG_TICKS,
            Some(Fault::Busy) => {
                self.endpoints.iter_mut().for_each(|e| e.busy_until = self.tick + LONG_TICKS);
            }
            Some(Fault::KillSender) => self.kill(from),
            Some(Fault::KillReceiver) => self.kill(to),
            Some(Fault::FreezeSender) => self.freeze(from),
            Some(Fault::FreezeReceiver) => self.freeze(to),
            None => {}
        }
        self.queue.push_back(message);
    }

    fn kill(&mut self, node: Node) {
        let restart_at = self.tick + 2;
        match node {
            Node::Entry(number) => {
                let incarnation_number = self.entries[number].incarnation_number + 1;
                self.entries[number] =
                    Entry { down_until: restart_at, incarnation_number, ..Entry::default() };
            }
            Node::Endpoint(number) => {
                let incarnation_number =
                    self.endpoints[number].incarnation_number + ENDPOINTS as u128;
                self.endpoints[number] =
                    Endpoint { down_until: restart_at, ..new_endpoint(incarnation_number) };
            }
            Node::Caller | Node::Log => {}
        }
    }

    fn freeze(&mut self, node: Node) {
        let until = self.tick + LONG_TICKS;
        match node {
            Node::Entry(number) => self.entries[number].frozen_until = until,
            Node::Endpoint(number) => {
                self.endpoints[number].frozen_until = until;
                self.endpoints[number].frozen_since = Some(self.tick);
            }
            Node::Caller | Node::Log => {}
        }
    }

    fn deliver_all(&mut self) {
        for _ in 0..self.queue.len() {
            let Some(message) = self.queue.pop_front() else { return };
            let is_ready = self.tick >= message.not_before && !self.is_down(message.to);
            match is_ready {
                true => self.deliver(message),
                false => self.queue.push_back(message),
            }
        }
    }

    fn deliver(&mut self, message: Message) {
        match (message.to, message.payload) {
            (Node::Caller, Payload::CallResult { call, outcome }) => {
                self.on_call_result(call, outcome)
            }
            (Node::Entry(number), Payload::Call { call }) => {
                let deadline = self.tick + REQUEST_TIMEOUT_TICKS;
                let (attempts, revoked) = (0, None);
                let pending = Pending { call, deadline, attempts, revoked, phase: Phase::Start };
                self.entries[number].pending.push(pending);
            }
            (Node::Log, Payload::Append { call, claim }) => {
                let Node::Entry(entry) = message.from else { return };
                let offset = (!self.is_log_unavailable()).then_some(self.log.len() as Offset);
                self.log.extend(offset.map(|_| claim));
                self.send(Node::Log, Node::Entry(entry), Payload::Appended { call, offset });
            }
            (
                Node::Endpoint(number),
                Payload::Dispatch { id, incarnation, claimed_at_ms, deadline },
            ) => {
                let Node::Entry(entry) = message.from else { return };
                self.on_dispatch(number, entry, id, incarnation, claimed_at_ms, deadline);
            }
            (Node::Entry(number), payload) => self.on_reply(number, payload),
            _ => {}
        }
    }

    fn on_call_result(&mut self, call: usize, outcome: Outcome) {
        // The caller ignores results of calls that it has given up.
        if self.calls[call].outcome.is_some() || call + 1 != self.calls.len() {
            return;
        }
        self.calls[call].outcome = Some(outcome);
        self.next_call_at = self.tick + 3;
        self.has_false_not_run |= outcome == Outcome::NotRun && !self.runs.is_empty();
    }

    fn on_reply(&mut self, number: usize, payload: Payload) {
        // Replies to an earlier attempt are dropped.
        let is_addressee = |pending: &Pending| match payload {
            Payload::Appended { call, .. } => pending.call == call,
            Payload::Response { id } | Payload::Refused { id, .. } => {
                id == (pending.call, pending.attempts)
            }
            _ => false,
        };
        let index = self.entries[number].pending.iter().position(is_addressee);
        let Some(index) = index else { return };
        let incarnation_number = self.entries[number].incarnation_number;
        let mut pending = self.entries[number].pending.remove(index);
        let is_finished = match (payload, pending.phase.clone()) {
            (Payload::Response { .. }, _) => self.report(number, pending.call, Outcome::Complete),
            (Payload::Appended { offset: Some(offset), .. }, Phase::Claiming { .. }) => {
                pending.phase = Phase::Reading { offset, since: self.tick };
                false
            }
            (Payload::Appended { offset: None, .. }, Phase::Claiming { .. }) => {
                self.give_up(number, &pending)
            }
            (Payload::Refused { revokes: true, .. }, Phase::Waiting { .. }) => {
                self.on_revocation(number, &mut pending)
            }
            (Payload::Refused { revokes: false, .. }, Phase::Waiting { .. }) => {
                self.report(number, pending.call, Outcome::Unknown)
            }
            _ => false,
        };
        if !is_finished && self.entries[number].incarnation_number == incarnation_number {
            self.entries[number].pending.push(pending);
        }
    }

    fn on_revocation(&mut self, number: usize, pending: &mut Pending) -> bool {
        pending.revoked = self.entries[number].table.get(&KEY).map(|active| active.offset);
        pending.attempts += 1;
        pending.phase = Phase::Start;
        pending.attempts >= MAX_ATTEMPTS && self.give_up(number, pending)
    }

    fn on_dispatch(
        &mut self,
        number: usize,
        entry: usize,
        id: AttemptId,
        incarnation: Incarnation,
        claimed_at_ms: u64,
        deadline: u64,
    ) {
        let now_ms = self.now_ms();
        let is_obstructed = self.tick < self.endpoints[number].busy_until || self.tick >= deadline;
        let disabled = self.scenario.disabled;
        let endpoint = &mut self.endpoints[number];
        let incarnation = match disabled {
            Some(Mechanism::IncarnationCheck) => Uuid::from_u128(endpoint.incarnation_number),
            _ => incarnation,
        };
        if disabled == Some(Mechanism::Memory) {
            endpoint.dedup_table = new_endpoint(endpoint.incarnation_number).dedup_table;
        }
        let refused = |revokes| Payload::Refused { id, revokes };
        let reply =
            match endpoint.dedup_table.admit(KEY, REQUEST, incarnation, claimed_at_ms, now_ms) {
                Admission::Run if is_obstructed => {
                    match disabled {
                        Some(Mechanism::Revocation) => {
                            endpoint.dedup_table =
                                new_endpoint(endpoint.incarnation_number).dedup_table
                        }
                        _ => endpoint.dedup_table.revoke_unstarted(&KEY),
                    }
                    Some(refused(true))
                }
                Admission::Run => {
                    endpoint.run_until = Some(self.tick + RUN_TICKS);
                    endpoint.waiting.push((entry, id));
                    self.runs.push(id.0);
                    None
                }
                Admission::Attach => {
                    endpoint.waiting.push((entry, id));
                    None
                }
                Admission::Revoked => Some(refused(true)),
                Admission::Full | Admission::KeyReused | Admission::NotBoundHere => {
                    Some(refused(false))
                }
            };
        if let Some(reply) = reply {
            self.send(Node::Endpoint(number), Node::Entry(entry), reply);
        }
    }
}

fn endpoint_of(active_claim: &ActiveClaim) -> usize {
    active_claim.claim.endpoint.parse().expect("endpoints are numbered")
}

fn new_endpoint(incarnation_number: u128) -> Endpoint {
    Endpoint {
        incarnation_number,
        dedup_table: DedupTable::new(
            Uuid::from_u128(incarnation_number),
            DedupOptions { max_keys: 100 },
        ),
        waiting: Vec::new(),
        run_until: None,
        has_response: false,
        frozen_since: None,
        frozen_until: 0,
        down_until: 0,
        busy_until: 0,
    }
}
