//! Limits and outcomes of a switch.

use std::time::Duration;

use lynxmount_core::experts::GroupStep;

/// Limits of a switch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SwitchOptions {
    /// How long ranks may take to copy experts. A rank of the reference deployments copies
    /// at most eight, in about 0.11 s each.
    pub prepare_timeout: Duration,
    /// How long all ranks may take to report their state before the group is held;
    /// if they take longer, they have to report again.
    pub max_confirm_time: Duration,
    /// How long arming all ranks may take. Orders are answered in a few milliseconds, and
    /// a held group serves no requests.
    pub arm_timeout: Duration,
    /// The time after which an accepted order without visible effect is resent. Copies
    /// take up to half a second, and have no visible effect before they finish.
    pub resend_after: Duration,
    /// How many steps ahead the group is held. One is enough: the hold takes 1 ms; 16 ranks
    /// are armed in about 10 ms with passes of 40 to 70 ms, and 72 ranks in 20 to 41 ms
    /// with passes of 85 ms. A longer lead delays every switch by a pass per step.
    pub lead_steps: GroupStep,
    /// How often a hold that came too late is retried at a later step.
    pub max_hold_attempts: u32,
}

impl Default for SwitchOptions {
    /// 3 s to prepare, 0.15 s to confirm, 0.4 s to arm, and one step of lead.
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

/// The outcome of a switch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SwitchOutcome {
    /// The caller gave it up before the group was held; no rank was armed.
    Cancelled,
    /// The group formed again under a new epoch; nothing of the switch is left.
    GroupReformed,
    /// The group could not be held in time, or the hold was not answered; no rank was armed.
    HoldFailed,
    /// Not every rank prepared the map and then reported its state; no rank was armed.
    PrepareFailed,
    /// Another coordinator has sent orders meanwhile, and rolls back what remains.
    Superseded,
    /// All ranks switch to the map.
    Switched,
    /// No rank switches to the map.
    RolledBack,
}
