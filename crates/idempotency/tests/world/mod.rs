//! A caller that repeats its key, two entries, two endpoints, the log, and a
//! network that fails as it is told to. One thread, message by message.

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
const TICKS: u64 = 400;
/// How long a frozen process sleeps, an outage lasts, a delayed message takes.
const LONG: u64 = 25;
/// How much later a doubled message comes again: within the request's time.
const SOON: u64 = 12;
/// How long a run takes.
const RUN: u64 = 4;
/// How long a request may take at an entry.
const DEADLINE: u64 = 20;
/// How long the caller waits for a connection that says nothing.
const PATIENCE: u64 = 40;
/// How long an endpoint may be silent, and an append may take.
const SILENCE: u64 = 5;
const MAX_CALLS: usize = 8;
const MAX_ATTEMPTS: u32 = 3;
const KEY: KeyDigest = [7; 32];
const REQUEST: RequestDigest = [8; 32];
const START_MS: u64 = 1_000_000;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    Busy,
    Delay,
    Double,
    FreezeReceiver,
    FreezeSender,
    KillReceiver,
    KillSender,
    LogOut,
    Lose,
}

pub const FAULTS: [Fault; 9] = [
    Fault::Busy,
    Fault::Delay,
    Fault::Double,
    Fault::FreezeReceiver,
    Fault::FreezeSender,
    Fault::KillReceiver,
    Fault::KillSender,
    Fault::LogOut,
    Fault::Lose,
];

/// Where the binding of a key is kept.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Binding {
    /// In the memory of the key's home endpoint only.
    HomeMemory,
    /// By a claim in the log.
    #[default]
    Log,
}

/// A mechanism that is taken away.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Without {
    /// *Not run* is said without a look at the log.
    Confirmation,
    /// An endpoint runs keys that are bound to its earlier lives.
    IncarnationCheck,
    /// An endpoint forgets what it has run.
    Memory,
    /// A refused key may still be run by the endpoint that refused it.
    Revocation,
}

#[derive(Clone, Debug, Default)]
pub struct Scenario {
    pub faults: Vec<(usize, Fault)>,
    pub binding: Binding,
    pub without: Option<Without>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Place {
    Caller,
    Endpoint(usize),
    Entry(usize),
    Log,
}

/// A call and the number of the attempt at it.
type AttemptId = (usize, u32);

#[derive(Clone, Debug)]
enum Content {
    Answer { id: AttemptId },
    Append { call: usize, claim: Claim },
    Appended { call: usize, offset: Option<Offset> },
    Call { call: usize },
    Dispatch { id: AttemptId, incarnation: Incarnation, claimed_at_ms: u64, deadline: u64 },
    Refused { id: AttemptId, revokes: bool },
    Told { call: usize, outcome: Outcome },
}

#[derive(Clone, Debug)]
struct Message {
    from: Place,
    to: Place,
    content: Content,
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
    life: u32,
    frozen_until: u64,
    dead_until: u64,
}

struct Endpoint {
    life: u128,
    ledger: DedupTable,
    waiting: Vec<(usize, AttemptId)>,
    run_until: Option<u64>,
    has_answer: bool,
    frozen_since: Option<u64>,
    frozen_until: u64,
    dead_until: u64,
    full_until: u64,
}

struct Call {
    made_at: u64,
    told: Option<Outcome>,
}

pub struct World {
    scenario: Scenario,
    tick: u64,
    sent: usize,
    queue: VecDeque<Message>,
    log: Vec<Claim>,
    log_out_until: u64,
    entries: Vec<Entry>,
    endpoints: Vec<Endpoint>,
    calls: Vec<Call>,
    next_call_at: u64,
    runs: Vec<usize>,
    false_not_run: bool,
}

/// What the caller and the back ends saw.
#[derive(Debug)]
pub struct Seen {
    /// Calls by which the back ends ran the key.
    pub runs: Vec<usize>,
    /// What each call was told.
    pub told: Vec<Option<Outcome>>,
    /// *Not run* was told although the key had been run or was run for it later.
    pub false_not_run: bool,
}

impl World {
    pub fn play(scenario: Scenario) -> Seen {
        let mut world = World {
            scenario,
            tick: 0,
            sent: 0,
            queue: VecDeque::new(),
            log: Vec::new(),
            log_out_until: 0,
            entries: (0..ENTRIES).map(|_| Entry::default()).collect(),
            endpoints: (0..ENDPOINTS).map(|number| new_endpoint(number as u128)).collect(),
            calls: Vec::new(),
            next_call_at: 0,
            runs: Vec::new(),
            false_not_run: false,
        };
        for tick in 0..TICKS {
            world.tick = tick;
            world.tick_caller();
            world.deliver_all();
            (0..ENTRIES).for_each(|number| world.tick_entry(number));
            (0..ENDPOINTS).for_each(|number| world.tick_endpoint(number));
        }
        let not_run = |call: &usize| world.calls[*call].told == Some(Outcome::NotRun);
        let ran_after = world.runs.iter().any(not_run);
        Seen {
            told: world.calls.iter().map(|call| call.told).collect(),
            false_not_run: world.false_not_run || ran_after,
            runs: world.runs,
        }
    }

    fn tick_caller(&mut self) {
        let is_done = self.calls.iter().any(|call| call.told == Some(Outcome::Complete));
        let last = self.calls.last();
        let gives_up = last.is_some_and(|c| c.told.is_none() && self.tick >= c.made_at + PATIENCE);
        let comes_back = last.is_none_or(|c| c.told.is_some()) && self.tick >= self.next_call_at;
        if is_done || self.calls.len() >= MAX_CALLS || !(gives_up || comes_back) {
            return;
        }
        let call = self.calls.len();
        self.calls.push(Call { made_at: self.tick, told: None });
        self.send(Place::Caller, Place::Entry(call % ENTRIES), Content::Call { call });
    }

    fn tick_entry(&mut self, number: usize) {
        if self.is_down(Place::Entry(number)) {
            return;
        }
        if !self.is_log_out() {
            self.read_log(number);
        }
        let life = self.entries[number].life;
        for mut pending in std::mem::take(&mut self.entries[number].pending) {
            let is_over = self.advance(number, &mut pending);
            // A message may have been the entry's last.
            if !is_over && self.entries[number].life == life {
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

    /// Goes on with a request; true once the caller was told.
    fn advance(&mut self, number: usize, pending: &mut Pending) -> bool {
        let is_late = self.tick >= pending.deadline;
        match pending.phase.clone() {
            Phase::Waiting { endpoint, incarnation } => {
                let is_lost = self.live(endpoint) != Some(incarnation);
                if is_late || is_lost {
                    return self.tell(number, pending.call, Outcome::Unknown);
                }
                false
            }
            _ if is_late => self.give_up(number, pending),
            Phase::Start => self.step(number, pending),
            Phase::Claiming { since } if self.tick >= since + SILENCE => {
                // Resolved by reading, never by a second append.
                match self.entries[number].table.get(&KEY).is_some() {
                    true => self.step(number, pending),
                    false => self.give_up(number, pending),
                }
            }
            Phase::Claiming { .. } => false,
            Phase::Reading { offset, .. } if self.entries[number].table.next_offset() > offset => {
                self.step(number, pending)
            }
            Phase::Reading { since, .. } if self.tick >= since + SILENCE => {
                self.give_up(number, pending)
            }
            Phase::Reading { .. } => false,
        }
    }

    fn step(&mut self, number: usize, pending: &mut Pending) -> bool {
        if self.scenario.binding == Binding::HomeMemory {
            return self.step_home(number, pending);
        }
        let standing = self.entries[number].table.get(&KEY).cloned();
        let endpoint = standing.as_ref().map(endpoint_of);
        let live = endpoint.and_then(|endpoint| self.live(endpoint));
        match decide_key(&REQUEST, pending.revoked, standing.as_ref(), live) {
            KeyDecision::Claim { replaces } => self.claim(number, pending, replaces),
            KeyDecision::Dispatch => {
                let standing = standing.expect("a dispatch follows a claim");
                let claimed_at_ms = standing.claim.claimed_at_ms;
                let endpoint = endpoint_of(&standing);
                self.dispatch(number, pending, endpoint, standing.claim.incarnation, claimed_at_ms)
            }
            KeyDecision::Reused | KeyDecision::Unreachable => {
                self.tell(number, pending.call, Outcome::Unknown)
            }
        }
    }

    /// The way without the log: the key's home endpoint is all that there is.
    fn step_home(&mut self, number: usize, pending: &mut Pending) -> bool {
        match self.live(0) {
            Some(incarnation) => self.dispatch(number, pending, 0, incarnation, self.now_ms()),
            None => self.tell(number, pending.call, Outcome::NotRun),
        }
    }

    fn claim(&mut self, number: usize, pending: &mut Pending, replaces: Option<Offset>) -> bool {
        let order =
            [pending.call, pending.call + 1].map(|n| (n + pending.attempts as usize) % ENDPOINTS);
        let chosen = order.into_iter().find_map(|endpoint| Some((endpoint, self.live(endpoint)?)));
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
        self.send(Place::Entry(number), Place::Log, Content::Append { call: pending.call, claim });
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
        let content = Content::Dispatch { id, incarnation, claimed_at_ms, deadline };
        self.send(Place::Entry(number), Place::Endpoint(endpoint), content);
        false
    }

    fn give_up(&mut self, number: usize, pending: &Pending) -> bool {
        let standing = match self.is_log_out() {
            true => None,
            false => {
                self.read_log(number);
                Some(self.entries[number].table.get(&KEY).map(|standing| standing.offset))
            }
        };
        let is_told = may_report_not_run(pending.revoked, standing)
            || self.scenario.without == Some(Without::Confirmation);
        let outcome = if is_told { Outcome::NotRun } else { Outcome::Unknown };
        self.tell(number, pending.call, outcome)
    }

    fn tell(&mut self, number: usize, call: usize, outcome: Outcome) -> bool {
        self.send(Place::Entry(number), Place::Caller, Content::Told { call, outcome });
        true
    }

    fn tick_endpoint(&mut self, number: usize) {
        let endpoint = &mut self.endpoints[number];
        if endpoint.dead_until > self.tick || endpoint.frozen_until > self.tick {
            return;
        }
        endpoint.frozen_since = None;
        if endpoint.run_until.is_some_and(|until| self.tick >= until) {
            endpoint.run_until = None;
            endpoint.has_answer = true;
        }
        if endpoint.has_answer {
            for (entry, id) in std::mem::take(&mut endpoint.waiting) {
                self.send(Place::Endpoint(number), Place::Entry(entry), Content::Answer { id });
            }
        }
    }

    /// The incarnation that an entry is connected to, if any.
    fn live(&self, number: usize) -> Option<Incarnation> {
        let endpoint = &self.endpoints[number];
        let is_silent = endpoint.frozen_since.is_some_and(|since| self.tick >= since + SILENCE);
        (self.tick >= endpoint.dead_until && !is_silent).then(|| Uuid::from_u128(endpoint.life))
    }

    fn now_ms(&self) -> u64 {
        START_MS + self.tick
    }

    fn is_log_out(&self) -> bool {
        self.tick < self.log_out_until
    }

    fn is_down(&self, place: Place) -> bool {
        let until = match place {
            Place::Entry(number) => {
                self.entries[number].frozen_until.max(self.entries[number].dead_until)
            }
            Place::Endpoint(number) => {
                self.endpoints[number].frozen_until.max(self.endpoints[number].dead_until)
            }
            Place::Caller | Place::Log => 0,
        };
        self.tick < until
    }

    fn send(&mut self, from: Place, to: Place, content: Content) {
        let number = self.sent;
        self.sent += 1;
        let message = Message { from, to, content, not_before: self.tick };
        let fault = self.scenario.faults.iter().find(|(n, _)| *n == number).map(|(_, f)| *f);
        match fault {
            Some(Fault::Lose) => return,
            Some(Fault::Delay) => {
                self.queue.push_back(Message { not_before: self.tick + LONG, ..message });
                return;
            }
            // A connection does not double a request; a caller that repeats it
            // makes another call.
            Some(Fault::Double) if from == Place::Caller => {}
            Some(Fault::Double) => {
                let again = Message { not_before: self.tick + SOON, ..message.clone() };
                self.queue.push_back(again);
            }
            Some(Fault::LogOut) => self.log_out_until = self.tick + LONG,
            Some(Fault::Busy) => {
                self.endpoints.iter_mut().for_each(|e| e.full_until = self.tick + LONG);
            }
            Some(Fault::KillSender) => self.kill(from),
            Some(Fault::KillReceiver) => self.kill(to),
            Some(Fault::FreezeSender) => self.freeze(from),
            Some(Fault::FreezeReceiver) => self.freeze(to),
            None => {}
        }
        self.queue.push_back(message);
    }

    fn kill(&mut self, place: Place) {
        let back_at = self.tick + 2;
        match place {
            Place::Entry(number) => {
                let life = self.entries[number].life + 1;
                self.entries[number] = Entry { dead_until: back_at, life, ..Entry::default() };
            }
            Place::Endpoint(number) => {
                let life = self.endpoints[number].life + ENDPOINTS as u128;
                self.endpoints[number] = Endpoint { dead_until: back_at, ..new_endpoint(life) };
            }
            Place::Caller | Place::Log => {}
        }
    }

    fn freeze(&mut self, place: Place) {
        let until = self.tick + LONG;
        match place {
            Place::Entry(number) => self.entries[number].frozen_until = until,
            Place::Endpoint(number) => {
                self.endpoints[number].frozen_until = until;
                self.endpoints[number].frozen_since = Some(self.tick);
            }
            Place::Caller | Place::Log => {}
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
        match (message.to, message.content) {
            (Place::Caller, Content::Told { call, outcome }) => self.take_told(call, outcome),
            (Place::Entry(number), Content::Call { call }) => {
                let deadline = self.tick + DEADLINE;
                let (attempts, revoked) = (0, None);
                let pending = Pending { call, deadline, attempts, revoked, phase: Phase::Start };
                self.entries[number].pending.push(pending);
            }
            (Place::Log, Content::Append { call, claim }) => {
                let Place::Entry(entry) = message.from else { return };
                let offset = (!self.is_log_out()).then_some(self.log.len() as Offset);
                self.log.extend(offset.map(|_| claim));
                self.send(Place::Log, Place::Entry(entry), Content::Appended { call, offset });
            }
            (
                Place::Endpoint(number),
                Content::Dispatch { id, incarnation, claimed_at_ms, deadline },
            ) => {
                let Place::Entry(entry) = message.from else { return };
                self.take_dispatch(number, entry, id, incarnation, claimed_at_ms, deadline);
            }
            (Place::Entry(number), content) => self.take_reply(number, content),
            _ => {}
        }
    }

    fn take_told(&mut self, call: usize, outcome: Outcome) {
        // A caller that has given up on a call reads nothing more of it.
        if self.calls[call].told.is_some() || call + 1 != self.calls.len() {
            return;
        }
        self.calls[call].told = Some(outcome);
        self.next_call_at = self.tick + 3;
        self.false_not_run |= outcome == Outcome::NotRun && !self.runs.is_empty();
    }

    fn take_reply(&mut self, number: usize, content: Content) {
        // Frames of an earlier attempt are dropped.
        let is_meant = |pending: &Pending| match content {
            Content::Appended { call, .. } => pending.call == call,
            Content::Answer { id } | Content::Refused { id, .. } => {
                id == (pending.call, pending.attempts)
            }
            _ => false,
        };
        let position = self.entries[number].pending.iter().position(is_meant);
        let Some(position) = position else { return };
        let life = self.entries[number].life;
        let mut pending = self.entries[number].pending.remove(position);
        let is_over = match (content, pending.phase.clone()) {
            (Content::Answer { .. }, _) => self.tell(number, pending.call, Outcome::Complete),
            (Content::Appended { offset: Some(offset), .. }, Phase::Claiming { .. }) => {
                pending.phase = Phase::Reading { offset, since: self.tick };
                false
            }
            (Content::Appended { offset: None, .. }, Phase::Claiming { .. }) => {
                self.give_up(number, &pending)
            }
            (Content::Refused { revokes: true, .. }, Phase::Waiting { .. }) => {
                self.take_revocation(number, &mut pending)
            }
            (Content::Refused { revokes: false, .. }, Phase::Waiting { .. }) => {
                self.tell(number, pending.call, Outcome::Unknown)
            }
            _ => false,
        };
        if !is_over && self.entries[number].life == life {
            self.entries[number].pending.push(pending);
        }
    }

    fn take_revocation(&mut self, number: usize, pending: &mut Pending) -> bool {
        pending.revoked = self.entries[number].table.get(&KEY).map(|standing| standing.offset);
        pending.attempts += 1;
        pending.phase = Phase::Start;
        pending.attempts >= MAX_ATTEMPTS && self.give_up(number, pending)
    }

    fn take_dispatch(
        &mut self,
        number: usize,
        entry: usize,
        id: AttemptId,
        incarnation: Incarnation,
        claimed_at_ms: u64,
        deadline: u64,
    ) {
        let now_ms = self.now_ms();
        let is_obstructed = self.tick < self.endpoints[number].full_until || self.tick >= deadline;
        let without = self.scenario.without;
        let endpoint = &mut self.endpoints[number];
        let incarnation = match without {
            Some(Without::IncarnationCheck) => Uuid::from_u128(endpoint.life),
            _ => incarnation,
        };
        if without == Some(Without::Memory) {
            endpoint.ledger = new_endpoint(endpoint.life).ledger;
        }
        let refused = |revokes| Content::Refused { id, revokes };
        let reply = match endpoint.ledger.admit(KEY, REQUEST, incarnation, claimed_at_ms, now_ms) {
            Admission::Run if is_obstructed => {
                match without {
                    Some(Without::Revocation) => {
                        endpoint.ledger = new_endpoint(endpoint.life).ledger
                    }
                    _ => endpoint.ledger.revoke_unstarted(&KEY),
                }
                Some(refused(true))
            }
            Admission::Run => {
                endpoint.run_until = Some(self.tick + RUN);
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
            self.send(Place::Endpoint(number), Place::Entry(entry), reply);
        }
    }
}

fn endpoint_of(standing: &ActiveClaim) -> usize {
    standing.claim.endpoint.parse().expect("endpoints are numbered")
}

fn new_endpoint(life: u128) -> Endpoint {
    Endpoint {
        life,
        ledger: DedupTable::new(Uuid::from_u128(life), DedupOptions { max_keys: 100 }),
        waiting: Vec::new(),
        run_until: None,
        has_answer: false,
        frozen_since: None,
        frozen_until: 0,
        dead_until: 0,
        full_until: 0,
    }
}
