//! Ranks in lock-step, their gates and balancers, and a network that fails as
//! it is told to. Everything runs in one thread, message by message.

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
/// How long a frozen process sleeps, and a delayed message takes.
const LONG: u64 = 25;

/// What is done to one message, or to a process at that moment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    Delay,
    Double,
    FreezeReceiver,
    FreezeSender,
    KillReceiver,
    KillSender,
    Lose,
    Reorder,
    StallRank,
}

pub const FAULTS: [Fault; 9] = [
    Fault::Delay,
    Fault::Double,
    Fault::FreezeReceiver,
    Fault::FreezeSender,
    Fault::KillReceiver,
    Fault::KillSender,
    Fault::Lose,
    Fault::Reorder,
    Fault::StallRank,
];

/// A mechanism that is taken away, to see that something breaks without it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Without {
    /// A gate releases with the new map as soon as its own rank has armed.
    Agreement,
    /// The engine does not hold.
    Hold,
    /// A restarted gate does not know the change its rank was released from.
    Released,
    /// A gate arms the next change before its rank is past the last one's step.
    Pause,
    /// The engine takes orders of earlier lives of its gate.
    Session,
}

/// How the world is set up.
#[derive(Clone, Debug, Default)]
pub struct Scenario {
    /// Faults by the number of the message that they befall.
    pub faults: Vec<(usize, Fault)>,
    /// The tick at which a second balancer starts, under a later lease.
    pub second_balancer_at: Option<u64>,
    pub without: Option<Without>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Place {
    Balancer(usize),
    Engine(RankNumber),
    Gate(RankNumber),
}

#[derive(Clone, Copy, Debug)]
enum Content {
    Answer(CommitResponse),
    Ask { by: RankNumber, change: ChangeNumber },
    Hold(ArmedChange),
    HoldAnswer { change: ChangeNumber, holds: bool },
    Request { order: CommitRequest, to_balancer: usize },
    Release { change: ChangeNumber, map: Option<MapNumber> },
    Vote { from: RankNumber, change: ChangeNumber, has_armed: bool },
}

#[derive(Clone, Copy, Debug)]
struct Message {
    from: Place,
    to: Place,
    content: Content,
    not_before: u64,
    /// The life of the gate that sent it to its engine.
    session: u64,
}

struct Rank {
    engine: EngineState,
    pending: Option<ArmedChange>,
    stalled_until: u64,
    /// The map used in each step that was begun.
    used: Vec<MapNumber>,
    gate: Option<CommitParticipant>,
    /// The life of the gate that the engine takes orders from.
    session: u64,
    frozen_until: u64,
    /// The balancer that orders are answered to.
    balancer: usize,
}

struct Controller {
    balancer: Option<CommitCoordinator>,
    frozen_until: u64,
}

pub struct World {
    scenario: Scenario,
    tick: u64,
    sent: usize,
    ranks: Vec<Rank>,
    balancers: Vec<Controller>,
    queue: VecDeque<Message>,
    log_end: ChangeNumber,
}

/// What was seen in the end.
#[derive(Debug)]
pub struct Seen {
    /// How many messages were sent.
    pub messages: usize,
    /// A step in which ranks used different maps.
    pub split_step: Option<usize>,
    /// The last step that every rank has begun.
    pub steps: usize,
    /// The maps that were used, in order.
    pub maps: Vec<MapNumber>,
}

impl World {
    /// Plays a scenario to its end.
    pub fn play(scenario: Scenario) -> Seen {
        let mut world = World {
            scenario,
            tick: 0,
            sent: 0,
            ranks: (0..RANKS).map(new_rank).collect(),
            balancers: Vec::new(),
            queue: VecDeque::new(),
            log_end: 1,
        };
        world.start_balancer(FIRST_MAP + 1);
        for tick in 0..TICKS {
            world.tick = tick;
            if world.scenario.second_balancer_at == Some(tick) {
                world.start_balancer(FIRST_MAP + 2);
            }
            world.tick_balancers();
            world.tick_gates();
            world.deliver_all();
            world.step_engines();
        }
        world.seen()
    }

    /// Takes a lease and announces a change: two records of the log.
    fn start_balancer(&mut self, map: MapNumber) {
        let fencing_token: FencingToken = self.log_end;
        let change = self.log_end + 1;
        self.log_end += 2;
        let options = CommitOptions {
            stage_timeout: Duration::from_secs(30),
            arm_timeout: Duration::from_secs(15),
            lead_steps: 8,
        };
        let now = Duration::from_secs(self.tick);
        let balancer = CommitCoordinator::start(options, fencing_token, change, map, RANKS, now);
        self.balancers.push(Controller { balancer: Some(balancer), frozen_until: 0 });
    }

    fn tick_balancers(&mut self) {
        let now = Duration::from_secs(self.tick);
        let step = self.ranks.iter().map(|rank| rank.engine.step).max().unwrap_or(0);
        for number in 0..self.balancers.len() {
            if self.tick < self.balancers[number].frozen_until {
                continue;
            }
            let Some(balancer) = &mut self.balancers[number].balancer else { continue };
            let actions = balancer.tick(now, step);
            self.act_balancer(number, actions);
        }
    }

    fn act_balancer(&mut self, number: usize, actions: Vec<CoordinatorAction>) {
        for action in actions {
            if let CoordinatorAction::Send { rank, order } = action {
                let content = Content::Request { order, to_balancer: number };
                self.send(Place::Balancer(number), Place::Gate(rank), content);
            }
        }
    }

    fn tick_gates(&mut self) {
        for number in 0..RANKS {
            let log_end = self.log_end;
            let forgets = self.without(Without::Released);
            let rank = &mut self.ranks[number];
            if self.tick < rank.frozen_until {
                continue;
            }
            let engine =
                EngineState { released: rank.engine.released.filter(|_| !forgets), ..rank.engine };
            let gate = rank.gate.get_or_insert_with(|| {
                rank.session += 1;
                CommitParticipant::start(number, RANKS, engine, log_end)
            });
            let actions = gate.tick(rank.engine);
            self.act_gate(number, actions);
        }
    }

    fn act_gate(&mut self, number: RankNumber, actions: Vec<ParticipantAction>) {
        let from = Place::Gate(number);
        for action in actions {
            match action {
                ParticipantAction::Respond(answer) => {
                    let to = Place::Balancer(self.ranks[number].balancer);
                    self.send(from, to, Content::Answer(answer));
                    self.release_at_once(number, answer);
                }
                ParticipantAction::QueryVote { rank, change } => {
                    self.send(from, Place::Gate(rank), Content::Ask { by: number, change });
                }
                ParticipantAction::Vote { rank, change, has_armed } => {
                    let vote = Content::Vote { from: number, change, has_armed };
                    self.send(from, Place::Gate(rank), vote);
                }
                ParticipantAction::Hold(armed) => {
                    self.send(from, Place::Engine(number), Content::Hold(armed));
                }
                ParticipantAction::Release { change, map } => {
                    self.send(from, Place::Engine(number), Content::Release { change, map });
                }
                ParticipantAction::Fetch { .. } => {}
            }
        }
    }

    /// The mutation that releases without asking the others.
    fn release_at_once(&mut self, number: RankNumber, answer: CommitResponse) {
        let armed = self.ranks[number].gate.as_ref().and_then(CommitParticipant::armed);
        if let (CommitResponse::Armed { change }, Some(armed), true) =
            (answer, armed, self.without(Without::Agreement))
        {
            let release = Content::Release { change, map: Some(armed.map) };
            self.send(Place::Gate(number), Place::Engine(number), release);
        }
    }

    fn send(&mut self, from: Place, to: Place, content: Content) {
        let number = self.sent;
        self.sent += 1;
        let session = match from {
            Place::Gate(rank) => self.ranks[rank].session,
            Place::Balancer(_) | Place::Engine(_) => 0,
        };
        let message = Message { from, to, content, not_before: self.tick, session };
        let fault =
            self.scenario.faults.iter().find(|(n, _)| *n == number).map(|(_, fault)| *fault);
        match fault {
            None => self.queue.push_back(message),
            Some(Fault::Lose) => {}
            Some(Fault::Double) => {
                self.queue.push_back(message);
                self.queue.push_back(Message { not_before: self.tick + LONG / 2, ..message });
            }
            Some(Fault::Delay) => {
                self.queue.push_back(Message { not_before: self.tick + LONG, ..message });
            }
            Some(Fault::Reorder) => {
                self.queue.push_back(Message { not_before: self.tick + 1, ..message });
            }
            Some(fault) => self.strike(fault, message),
        }
    }

    /// A process is struck after it has sent, or before it receives.
    fn strike(&mut self, fault: Fault, message: Message) {
        match fault {
            Fault::KillSender => self.kill(message.from),
            Fault::KillReceiver => self.kill(message.to),
            Fault::FreezeSender => self.freeze(message.from),
            Fault::FreezeReceiver => self.freeze(message.to),
            Fault::StallRank => self.stall(message.to, message.from),
            Fault::Delay | Fault::Double | Fault::Lose | Fault::Reorder => {}
        }
        let reaches = fault != Fault::KillReceiver;
        self.queue.extend(reaches.then_some(message));
    }

    fn kill(&mut self, place: Place) {
        match place {
            Place::Balancer(number) => self.balancers[number].balancer = None,
            Place::Gate(number) => self.ranks[number].gate = None,
            // An engine's death ends its group; its gate's is what is tried.
            Place::Engine(number) => self.ranks[number].gate = None,
        }
    }

    fn freeze(&mut self, place: Place) {
        let until = self.tick + LONG;
        match place {
            Place::Balancer(number) => self.balancers[number].frozen_until = until,
            Place::Engine(number) | Place::Gate(number) => self.ranks[number].frozen_until = until,
        }
    }

    fn stall(&mut self, to: Place, from: Place) {
        for place in [to, from] {
            if let Place::Engine(number) | Place::Gate(number) = place {
                self.ranks[number].stalled_until = self.tick + LONG;
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

    fn is_frozen(&self, place: Place) -> bool {
        match place {
            Place::Balancer(number) => self.tick < self.balancers[number].frozen_until,
            Place::Gate(number) => self.tick < self.ranks[number].frozen_until,
            Place::Engine(_) => false,
        }
    }

    fn deliver(&mut self, message: Message) {
        match message.to {
            Place::Balancer(number) => self.deliver_to_balancer(number, message),
            Place::Engine(number) if message.session != self.ranks[number].session => {
                if self.without(Without::Session) {
                    self.deliver_to_engine(number, message.content);
                }
            }
            Place::Engine(number) => self.deliver_to_engine(number, message.content),
            Place::Gate(number) => self.deliver_to_gate(number, message.content),
        }
    }

    fn deliver_to_balancer(&mut self, number: usize, message: Message) {
        let (Place::Gate(rank), Content::Answer(answer)) = (message.from, message.content) else {
            return;
        };
        let Some(balancer) = &mut self.balancers[number].balancer else { return };
        let actions = balancer.on_response(rank, answer);
        self.act_balancer(number, actions);
    }

    fn deliver_to_gate(&mut self, number: RankNumber, content: Content) {
        let rank = &mut self.ranks[number];
        // The mutation lets a gate believe that its rank is past every step.
        let step = match self.scenario.without {
            Some(Without::Pause) => Step::MAX,
            _ => rank.engine.step,
        };
        let Some(gate) = &mut rank.gate else { return };
        let actions = match content {
            Content::Request { order, to_balancer } => {
                rank.balancer = to_balancer;
                gate.on_request(order, step)
            }
            Content::HoldAnswer { change, holds } => gate.on_hold_result(change, holds),
            Content::Ask { by, change } => gate.on_query(by, change),
            Content::Vote { from, change, has_armed } => gate.on_vote(from, change, has_armed),
            Content::Answer(_) | Content::Hold(_) | Content::Release { .. } => Vec::new(),
        };
        self.act_gate(number, actions);
    }

    fn deliver_to_engine(&mut self, number: RankNumber, content: Content) {
        let engine = &mut self.ranks[number].engine;
        match content {
            Content::Hold(wanted) => {
                let is_free = engine.armed.is_none_or(|armed| armed == wanted);
                let was_released = engine.released.is_some_and(|last| last.change == wanted.change);
                let holds = is_free && engine.step < wanted.at && !was_released;
                if holds {
                    engine.armed = Some(wanted);
                }
                let answer = Content::HoldAnswer { change: wanted.change, holds };
                self.send(Place::Engine(number), Place::Gate(number), answer);
            }
            Content::Release { change, map } => {
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

    /// A rank begins its next step once all have begun the one before.
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
            rank.used.push(rank.engine.map);
        }
    }

    fn without(&self, mechanism: Without) -> bool {
        self.scenario.without == Some(mechanism)
    }

    fn seen(&self) -> Seen {
        let steps = self.ranks.iter().map(|rank| rank.used.len()).min().unwrap_or(0);
        let longest = self.ranks.iter().map(|rank| rank.used.len()).max().unwrap_or(0);
        let split_step = (0..longest).find(|&step| {
            let mut used = self.ranks.iter().filter_map(|rank| rank.used.get(step));
            let first = used.next();
            used.any(|map| Some(map) != first)
        });
        let mut maps = self.ranks[0].used.clone();
        maps.dedup();
        Seen { messages: self.sent, split_step, steps, maps }
    }
}

fn new_rank(number: RankNumber) -> Rank {
    let engine = EngineState { step: 0, map: FIRST_MAP, armed: None, released: None };
    Rank {
        engine,
        pending: None,
        stalled_until: 0,
        used: Vec::new(),
        gate: Some(CommitParticipant::start(number, RANKS, engine, 1)),
        session: 0,
        frozen_until: 0,
        balancer: 0,
    }
}
