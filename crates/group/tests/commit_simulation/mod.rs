//! Deterministic simulation of ranks in lock-step, their participants and coordinators, and a
//! network with injected faults. Everything runs in one thread, message by message.

#![allow(unreachable_pub)]

use std::{collections::VecDeque, time::Duration};

use lynxmount_group::{
    ArmedChange, ChangeNumber, CommitCoordinator, CommitOptions, CommitParticipant, CommitRequest,
    CommitResponse, CoordinatorAction, EngineState, FencingToken, MapNumber, ParticipantAction,
    RankNumber, Step,
};

pub const RANKS: usize = 3;
const FIRST_MAP: MapNumber = 100;
const TICKS: u64 = 120;
/// How many ticks a frozen process or stalled rank stays so, and a message is delayed.
const FAULT_TICKS: u64 = 25;

/// A fault that is injected at one message: into the message itself or into a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    Delay,
    Duplicate,
    FreezeReceiver,
    FreezeSender,
    KillReceiver,
    KillSender,
    Drop,
    Reorder,
    StallRank,
}

pub const FAULTS: [Fault; 9] = [
    Fault::Delay,
    Fault::Duplicate,
    Fault::FreezeReceiver,
    Fault::FreezeSender,
    Fault::KillReceiver,
    Fault::KillSender,
    Fault::Drop,
    Fault::Reorder,
    Fault::StallRank,
];

/// A mechanism that is disabled, to show that the protocol breaks without it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Without {
    /// A participant releases with the new map as soon as its own rank has armed.
    Votes,
    /// The engine does not hold.
    Hold,
    /// A restarted participant does not know the change that its rank was released from.
    ReleasedChange,
    /// A participant arms the next change before its rank is past the last one's step.
    StepCheck,
    /// The engine accepts orders of earlier incarnations of its participant.
    IncarnationCheck,
}

/// The parameters of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Scenario {
    /// Faults by the number of the message at which they are injected.
    pub faults: Vec<(usize, Fault)>,
    /// The tick at which a second coordinator starts, under a later lease.
    pub second_coordinator_at: Option<u64>,
    pub without: Option<Without>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Node {
    Coordinator(usize),
    Engine(RankNumber),
    Participant(RankNumber),
}

#[derive(Clone, Copy, Debug)]
enum Payload {
    Response(CommitResponse),
    QueryVote { by: RankNumber, change: ChangeNumber },
    Hold(ArmedChange),
    HoldResult { change: ChangeNumber, holds: bool },
    Request { request: CommitRequest, to_coordinator: usize },
    Release { change: ChangeNumber, map: Option<MapNumber> },
    Vote { from: RankNumber, change: ChangeNumber, has_armed: bool },
}

#[derive(Clone, Copy, Debug)]
struct Message {
    from: Node,
    to: Node,
    payload: Payload,
    not_before: u64,
    /// The incarnation of the participant that sent it.
    incarnation: u64,
}

struct Rank {
    engine: EngineState,
    pending: Option<ArmedChange>,
    stalled_until: u64,
    /// The map that was used in each begun step.
    used_maps: Vec<MapNumber>,
    participant: Option<CommitParticipant>,
    /// The incarnation of the participant whose orders the engine accepts.
    incarnation: u64,
    frozen_until: u64,
    /// The coordinator that responses are sent to.
    coordinator: usize,
}

struct CoordinatorNode {
    coordinator: Option<CommitCoordinator>,
    frozen_until: u64,
}

pub struct Simulation {
    scenario: Scenario,
    tick: u64,
    sent: usize,
    ranks: Vec<Rank>,
    coordinators: Vec<CoordinatorNode>,
    queue: VecDeque<Message>,
    log_end: ChangeNumber,
}

/// The result of a simulation.
#[derive(Debug)]
pub struct Outcome {
    /// The number of messages that were sent.
    pub messages: usize,
    /// The first step in which ranks used different maps.
    pub split_step: Option<usize>,
    /// The last step that every rank has begun.
    pub steps: usize,
    /// The maps that were used, in order.
    pub maps: Vec<MapNumber>,
}

impl Simulation {
    /// Runs a scenario to its end.
    pub fn run(scenario: Scenario) -> Outcome {
        let mut simulation = Simulation {
            scenario,
            tick: 0,
            sent: 0,
            ranks: (0..RANKS).map(new_rank).collect(),
            coordinators: Vec::new(),
            queue: VecDeque::new(),
            log_end: 1,
        };
        simulation.start_coordinator(FIRST_MAP + 1);
        for tick in 0..TICKS {
            simulation.tick = tick;
            if simulation.scenario.second_coordinator_at == Some(tick) {
                simulation.start_coordinator(FIRST_MAP + 2);
            }
            simulation.tick_coordinators();
            simulation.tick_participants();
            simulation.deliver_all();
            simulation.step_engines();
        }
        simulation.outcome()
    }

    /// Starts a coordinator with two records of the log: its lease and its change.
    fn start_coordinator(&mut self, map: MapNumber) {
        let fencing_token: FencingToken = self.log_end;
        let change = self.log_end + 1;
        self.log_end += 2;
        let options = CommitOptions {
            stage_timeout: Duration::from_secs(30),
            arm_timeout: Duration::from_secs(15),
            lead_steps: 8,
        };
        let now = Duration::from_secs(self.tick);
        let coordinator = CommitCoordinator::start(options, fencing_token, change, map, RANKS, now);
        self.coordinators.push(CoordinatorNode { coordinator: Some(coordinator), frozen_until: 0 });
    }

    fn tick_coordinators(&mut self) {
        let now = Duration::from_secs(self.tick);
        let step = self.ranks.iter().map(|rank| rank.engine.step).max().unwrap_or(0);
        for number in 0..self.coordinators.len() {
            if self.tick < self.coordinators[number].frozen_until {
                continue;
            }
            let Some(coordinator) = &mut self.coordinators[number].coordinator else { continue };
            let actions = coordinator.tick(now, step);
            self.run_coordinator_actions(number, actions);
        }
    }

    fn run_coordinator_actions(&mut self, number: usize, actions: Vec<CoordinatorAction>) {
        for action in actions {
            if let CoordinatorAction::Send { rank, request } = action {
                let payload = Payload::Request { request, to_coordinator: number };
                self.send(Node::Coordinator(number), Node::Participant(rank), payload);
            }
        }
    }

    fn tick_participants(&mut self) {
        for number in 0..RANKS {
            let log_end = self.log_end;
            let forgets_release = self.without(Without::ReleasedChange);
            let rank = &mut self.ranks[number];
            if self.tick < rank.frozen_until {
                continue;
            }
            let engine = EngineState {
                released: rank.engine.released.filter(|_| !forgets_release),
                ..rank.engine
            };
            let participant = rank.participant.get_or_insert_with(|| {
                rank.incarnation += 1;
                CommitParticipant::start(number, RANKS, engine, log_end)
            });
            let actions = participant.tick(rank.engine);
            self.run_participant_actions(number, actions);
        }
    }

    fn run_participant_actions(&mut self, number: RankNumber, actions: Vec<ParticipantAction>) {
        let from = Node::Participant(number);
        for action in actions {
            match action {
                ParticipantAction::Respond(response) => {
                    let to = Node::Coordinator(self.ranks[number].coordinator);
                    self.send(from, to, Payload::Response(response));
                    self.release_without_votes(number, response);
                }
                ParticipantAction::QueryVote { rank, change } => {
                    self.send(
                        from,
                        Node::Participant(rank),
                        Payload::QueryVote { by: number, change },
                    );
                }
                ParticipantAction::Vote { rank, change, has_armed } => {
                    let vote = Payload::Vote { from: number, change, has_armed };
                    self.send(from, Node::Participant(rank), vote);
                }
                ParticipantAction::Hold(armed) => {
                    self.send(from, Node::Engine(number), Payload::Hold(armed));
                }
                ParticipantAction::Release { change, map } => {
                    self.send(from, Node::Engine(number), Payload::Release { change, map });
                }
                ParticipantAction::Fetch { .. } => {}
            }
        }
    }

    /// Releases without the votes of the other ranks if [`Without::Votes`] is set.
    fn release_without_votes(&mut self, number: RankNumber, response: CommitResponse) {
        let armed = self.ranks[number].participant.as_ref().and_then(CommitParticipant::armed);
        if let (CommitResponse::Armed { change }, Some(armed), true) =
            (response, armed, self.without(Without::Votes))
        {
            let release = Payload::Release { change, map: Some(armed.map) };
            self.send(Node::Participant(number), Node::Engine(number), release);
        }
    }

    fn send(&mut self, from: Node, to: Node, payload: Payload) {
        let number = self.sent;
        self.sent += 1;
        let incarnation = match from {
            Node::Participant(rank) => self.ranks[rank].incarnation,
            Node::Coordinator(_) | Node::Engine(_) => 0,
        };
        let message = Message { from, to, payload, not_before: self.tick, incarnation };
        let fault =
            self.scenario.faults.iter().find(|(n, _)| *n == number).map(|(_, fault)| *fault);
        match fault {
            None => self.queue.push_back(message),
            Some(Fault::Drop) => {}
            Some(Fault::Duplicate) => {
                self.queue.push_back(message);
                self.queue
                    .push_back(Message { not_before: self.tick + FAULT_TICKS / 2, ..message });
            }
            Some(Fault::Delay) => {
                self.queue.push_back(Message { not_before: self.tick + FAULT_TICKS, ..message });
            }
            Some(Fault::Reorder) => {
                self.queue.push_back(Message { not_before: self.tick + 1, ..message });
            }
            Some(fault) => self.apply_to_process(fault, message),
        }
    }

    /// Applies a fault to a process, after it has sent or before it receives the message.
    fn apply_to_process(&mut self, fault: Fault, message: Message) {
        match fault {
            Fault::KillSender => self.kill(message.from),
            Fault::KillReceiver => self.kill(message.to),
            Fault::FreezeSender => self.freeze(message.from),
            Fault::FreezeReceiver => self.freeze(message.to),
            Fault::StallRank => self.stall(message.to, message.from),
            Fault::Delay | Fault::Duplicate | Fault::Drop | Fault::Reorder => {}
        }
        let is_delivered = fault != Fault::KillReceiver;
        self.queue.extend(is_delivered.then_some(message));
    }

    fn kill(&mut self, node: Node) {
        match node {
            Node::Coordinator(number) => self.coordinators[number].coordinator = None,
            Node::Participant(number) => self.ranks[number].participant = None,
            // The crash of an engine would end its group, so that only its participant crashes.
            Node::Engine(number) => self.ranks[number].participant = None,
        }
    }

    fn freeze(&mut self, node: Node) {
        let until = self.tick + FAULT_TICKS;
        match node {
            Node::Coordinator(number) => self.coordinators[number].frozen_until = until,
            Node::Engine(number) | Node::Participant(number) => {
                self.ranks[number].frozen_until = until
            }
        }
    }

    fn stall(&mut self, to: Node, from: Node) {
        for node in [to, from] {
            if let Node::Engine(number) | Node::Participant(number) = node {
                self.ranks[number].stalled_until = self.tick + FAULT_TICKS;
                return;
            }
        }
    }

    fn deliver_all(&mut self) {
        for _ in 0..self.queue.len() {
            let Some(message) = self.queue.pop_front() else { return };
            match self.tick >= message.not_before && !self.is_frozen(message.to) {
                true => self.deliver(message),
                false => self.queue.push_back(message),
            }
        }
    }

    fn is_frozen(&self, node: Node) -> bool {
        match node {
            Node::Coordinator(number) => self.tick < self.coordinators[number].frozen_until,
            Node::Participant(number) => self.tick < self.ranks[number].frozen_until,
            Node::Engine(_) => false,
        }
    }

    fn deliver(&mut self, message: Message) {
        match message.to {
            Node::Coordinator(number) => self.deliver_to_coordinator(number, message),
            Node::Engine(number) if message.incarnation != self.ranks[number].incarnation => {
                if self.without(Without::IncarnationCheck) {
                    self.deliver_to_engine(number, message.payload);
                }
            }
            Node::Engine(number) => self.deliver_to_engine(number, message.payload),
            Node::Participant(number) => self.deliver_to_participant(number, message.payload),
        }
    }

    fn deliver_to_coordinator(&mut self, number: usize, message: Message) {
        let (Node::Participant(rank), Payload::Response(response)) =
            (message.from, message.payload)
        else {
            return;
        };
        let Some(coordinator) = &mut self.coordinators[number].coordinator else { return };
        let actions = coordinator.on_response(rank, response);
        self.run_coordinator_actions(number, actions);
    }

    fn deliver_to_participant(&mut self, number: RankNumber, payload: Payload) {
        let rank = &mut self.ranks[number];
        // Without the check, the rank is past every step in the participant's view.
        let step = match self.scenario.without {
            Some(Without::StepCheck) => Step::MAX,
            _ => rank.engine.step,
        };
        let Some(participant) = &mut rank.participant else { return };
        let actions = match payload {
            Payload::Request { request, to_coordinator } => {
                rank.coordinator = to_coordinator;
                participant.on_request(request, step)
            }
            Payload::HoldResult { change, holds } => participant.on_hold_result(change, holds),
            Payload::QueryVote { by, change } => participant.on_query(by, change),
            Payload::Vote { from, change, has_armed } => {
                participant.on_vote(from, change, has_armed)
            }
            Payload::Response(_) | Payload::Hold(_) | Payload::Release { .. } => Vec::new(),
        };
        self.run_participant_actions(number, actions);
    }

    fn deliver_to_engine(&mut self, number: RankNumber, payload: Payload) {
        let engine = &mut self.ranks[number].engine;
        match payload {
            Payload::Hold(wanted) => {
                let is_free = engine.armed.is_none_or(|armed| armed == wanted);
                let was_released = engine.released.is_some_and(|last| last.change == wanted.change);
                let holds = is_free && engine.step < wanted.at && !was_released;
                if holds {
                    engine.armed = Some(wanted);
                }
                let response = Payload::HoldResult { change: wanted.change, holds };
                self.send(Node::Engine(number), Node::Participant(number), response);
            }
            Payload::Release { change, map } => {
                let Some(armed) = engine.armed.filter(|armed| armed.change == change) else {
                    return;
                };
                engine.armed = None;
                engine.released = Some(armed);
                self.ranks[number].pending = map.map(|map| ArmedChange { map, ..armed });
            }
            _ => {}
        }
    }

    /// A rank begins its next step once all ranks have begun the one before.
    fn step_engines(&mut self) {
        let begun_by_all = self.ranks.iter().map(|rank| rank.engine.step).min().unwrap_or(0);
        let ignores_holds = self.without(Without::Hold);
        for rank in &mut self.ranks {
            let next = rank.engine.step + 1;
            let is_held = rank.engine.armed.is_some_and(|armed| next >= armed.at) && !ignores_holds;
            if rank.engine.step > begun_by_all || is_held || self.tick < rank.stalled_until {
                continue;
            }
            if let Some(pending) = rank.pending.take_if(|pending| next >= pending.at) {
                rank.engine.map = pending.map;
            }
            rank.engine.step = next;
            rank.used_maps.push(rank.engine.map);
        }
    }

    fn without(&self, mechanism: Without) -> bool {
        self.scenario.without == Some(mechanism)
    }

    fn outcome(&self) -> Outcome {
        let steps = self.ranks.iter().map(|rank| rank.used_maps.len()).min().unwrap_or(0);
        let longest = self.ranks.iter().map(|rank| rank.used_maps.len()).max().unwrap_or(0);
        let split_step = (0..longest).find(|&step| {
            let mut used_maps = self.ranks.iter().filter_map(|rank| rank.used_maps.get(step));
            let first = used_maps.next();
            used_maps.any(|map| Some(map) != first)
        });
        let mut maps = self.ranks[0].used_maps.clone();
        maps.dedup();
        Outcome { messages: self.sent, split_step, steps, maps }
    }
}

fn new_rank(number: RankNumber) -> Rank {
    let engine = EngineState { step: 0, map: FIRST_MAP, armed: None, released: None };
    Rank {
        engine,
        pending: None,
        stalled_until: 0,
        used_maps: Vec::new(),
        participant: Some(CommitParticipant::start(number, RANKS, engine, 1)),
        incarnation: 0,
        frozen_until: 0,
        coordinator: 0,
    }
}
