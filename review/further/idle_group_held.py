#!/usr/bin/env python3
"""Case 2: late orders that hold an idle group use up all ranks of its leader, and the last hold is never let go."""

import asyncio
import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from platform_standins import *  # noqa: F403

RECOVER_S = 12
CALLS = 24


class Trouble:
    """Orders to hold that get no answer while `is_on`, and are carried out 2 to 12 s later."""

    def __init__(self, group):
        self.group, self.is_on = group, False
        self.late, self.answered, self.unanswered = [], 0, 0  # (rank, step, when it was sent)

    def policy(self, rank, order):
        is_late = self.is_on and order["Operation"] == "Retain"
        if is_late:
            self.late.append((rank.number, order["step"], time.monotonic()))
        self.unanswered += is_late
        self.answered += not is_late
        return "late" if is_late else None

    def is_held(self):
        return any(rank.held is not None for rank in self.group.ranks)

    async def carry_out_all(self):
        """Carries out the late orders of the later steps first, each when no rank holds the group any more."""
        for number, step, sent_at in sorted(self.late, key=lambda late: (-late[1], late[2])):
            until = sent_at + LATE_MAX_S - 0.2
            while time.monotonic() < sent_at + LATE_MIN_S + 0.1 or self.is_held() and time.monotonic() < until:
                await asyncio.sleep(0.01)
            if self.is_held():
                note("the group is still held")
                return
            order = {"Operation": "Retain", "step": step, "epoch": EPOCH}
            status = self.group.carry_out(self.group.ranks[number], order)
            age = time.monotonic() - sent_at
            note(f"late order Retain step={step} at rank {number} is carried out {age:.1f} s after it was sent: {status}")


async def scenario(folder, network, processes):
    store, group = await start_platform(network)
    trouble = Trouble(group)
    group.policy = trouble.policy
    processes += [endpoint(folder, network, number) for number in range(RANKS)]
    processes += [entry(folder, network, 5)]
    for process in processes:
        process.start()

    sent = []  # (when it was sent, its answer)

    async def send(kind, identity):
        at = time.monotonic()
        sent.append((at, await kind(f"{network}.5", FRONTEND_PORT, identity)))

    async def send_all(kind, name, count, pause_s):
        tasks = []
        for number in range(count):
            tasks.append(asyncio.ensure_future(send(kind, f"{name}{number}")))
            await asyncio.sleep(pause_s)
        await asyncio.gather(*tasks)

    def served(begin, end):
        """The served requests of those that were sent in this time, and all of these."""
        statuses = [status for at, status in sent if begin <= at < end]
        return statuses.count(200), len(statuses)

    await asyncio.sleep(3)
    # Lookups at the other service go on all the time.
    lookups = asyncio.ensure_future(send_all(get_lookup, "lookup-", 10**6, 1.0))
    trouble.is_on = TROUBLE
    await send_all(post_request, "first-", CALLS, 0.002)
    fault_at = back_at = time.monotonic()
    if TROUBLE:
        if not await wait_for("orders that get no answer", lambda: len(trouble.late) >= 12, 8):
            return 2
        trouble.is_on = False
        share = trouble.unanswered / (trouble.unanswered + trouble.answered)
        note(f"orders so far without an answer: {share:.2f} of all")
        store.put("keyed.op", "config", json.dumps(dict(config(), Version=9)).encode())
        note("a manifest is acknowledged; all processes are killed")
        fault_at = time.monotonic()
        for process in processes:
            process.kill()
        await asyncio.sleep(0.8)
        for process in processes:
            process.start()
        back_at = time.monotonic()
        await trouble.carry_out_all()
    await asyncio.sleep(max(0.0, back_at + RECOVER_S + 0.2 - time.monotonic()))
    holders = lambda: [(rank.number, rank.held) for rank in group.ranks if rank.held is not None]
    note(f"step {group.step}; ranks that hold the group, and the steps: {holders()}")
    await send_all(post_request, "last-", 3 * CALLS, 0.13)
    lookups.cancel()
    note(f"step {group.step}; ranks that hold the group, and the steps: {holders()}")
    before, after = served(0, fault_at), served(back_at + RECOVER_S, time.monotonic())
    note(f"served before the final fault: {before[0]} of {before[1]}; "
         f"of those sent later than {RECOVER_S} s after the machines were back: {after[0]} of {after[1]}")
    if 4 * before[0] < before[1]:
        return 2
    return 1 if 4 * after[0] < after[1] else 0


if __name__ == "__main__":
    run_case(scenario, {0: "the rule held", 1: "RECOVER was broken", 2: "the case could not run"})
