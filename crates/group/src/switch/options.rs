//! Limits of a switch, and what can come of one.

use std::time::Duration;

use lynxmount_core::experts::GroupStep;

/// Limits of a switch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SwitchOptions {
    /// How long the copies of experts may take. A rank copies an expert in about
    /// 0.11 s on the reference deployments, and eight at most.
    pub prepare_timeout: Duration,
    /// How long all ranks may take to report their state before the group is held;
    /// after that they are asked again.
    pub max_confirm_time: Duration,
    /// How long a group may be kept with some ranks armed. Orders are answered
    /// in a few milliseconds, and a held group serves nobody.
    pub arm_timeout: Duration,
    /// How soon an order is repeated that was accepted and shows no effect. Copies
    /// take up to half a second, and show no effect before their end.
    pub resend_after: Duration,
    /// How many steps ahead the group is held. One is enough: the hold takes a
    /// millisecond; 16 ranks are armed in about 10 ms, of passes of 40 to 70, and 72 in
    /// 20 to 41 ms, of passes of 85. Two for 72 ranks gave a mean worth of 0.46, 0.77 and
    /// 0.64 on three heavy days, one 0.55, 0.75 and 0.67 (three seeds each).
    pub lead_steps: GroupStep,
    /// How often a hold that came too late is tried at a later step.
    pub max_hold_attempts: u32,
}

impl Default for SwitchOptions {
    /// Three seconds to prepare, 0.15 s to confirm, 0.4 s to arm, one step ahead.
    fn default() -> SwitchOptions {
        SwitchOptions {
            prepare_timeout: Duration::from_secs(3),
            max_confirm_time: Duration::from_millis(150),
            arm_timeout: Duration::from_millis(400),
            resend_after: Duration::from_millis(600),
            lead_steps: 1,
            max_hold_attempts: 6,
        }
    }
}

/// What came of a switch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SwitchOutcome {
    /// The group formed anew; nothing of the switch is left.
    GroupReformed,
    /// The group could not be held in time; no rank was armed.
    HoldFailed,
    /// Not every rank has prepared the map and reported its state after that; no rank was
    /// armed.
    PrepareFailed,
    /// Another coordinator has given orders meanwhile, and settles what is left.
    Superseded,
    /// All ranks switch.
    Switched,
    /// No rank switches.
    RolledBack,
}
