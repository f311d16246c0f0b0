#!/usr/bin/env python3
"""An entry of another writer at the address of the leader's engine; all processes are killed while the group is held."""

import asyncio, json, os, sys, time
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from platform_standins import *  # noqa: F403

RECOVER_S = 12
FOREIGN = os.environ.get("FOREIGN", "1") != "0"


async def scenario(folder, network, processes):
    store, group = await start_platform(network)
    processes += [endpoint(folder, network, number) for number in range(RANKS)] + [entry(folder, network, 5)]
    for process in processes:
        process.start()
    sent = []

    async def send(kind, identity):
        at = time.monotonic()
        sent.append((at, await kind(f"{network}.5", FRONTEND_PORT, identity)))

    async def traffic():
        number = 0
        while True:
            asyncio.ensure_future(send(post_request, f"s{number}"))
            number += 1
            await asyncio.sleep(0.05)

    def served(begin, end):
        statuses = [status for at, status in sent if begin <= at < end]
        return statuses.count(200), len(statuses)

    held = asyncio.get_running_loop().create_future()
    is_ready = []

    def on_order(rank, order, status):
        if order["Operation"] == "Retain" and status == 202 and is_ready and not held.done():
            held.set_result(None)

    group.on_order = on_order
    await asyncio.sleep(3)
    streams = asyncio.ensure_future(traffic())
    await asyncio.sleep(3)
    if TROUBLE and FOREIGN:
        foreign = {"Service": "no-such-service", "Address": f"{network}.10:{ENGINE_PORT}", "Zone": "seattle",
                   "Version": "v1", "Slots": 12, "State": "ready", "ColdLeftMs": 0, "SeqNo": 0}
        store.put("keyed.servers", "a-0", json.dumps(foreign).encode())
        note("another writer's entry a-0: service no-such-service, the address of rank 0's engine")
    await asyncio.sleep(2)
    # Other experts are in demand, so that the leader switches the map.
    group.hot = 3
    note("other experts are in demand")
    is_ready.append(True)
    fault_at = back_at = time.monotonic()
    if TROUBLE:
        await asyncio.wait_for(held, 20)
        store.put("keyed.op", "config", json.dumps(dict(config(), Version=9)).encode())
        note("a manifest is acknowledged; all processes are killed")
        fault_at = time.monotonic()
        for process in processes:
            process.kill()
        await asyncio.sleep(0.8)
        for process in processes:
            process.start()
        back_at = time.monotonic()
    await asyncio.sleep(RECOVER_S + 10)
    streams.cancel()
    await asyncio.sleep(3)
    before, after = served(0, fault_at), served(back_at + RECOVER_S, time.monotonic() - 3)
    holders = [(rank.number, rank.held) for rank in group.ranks if rank.held is not None]
    note(f"step {group.step}; ranks that hold the group, and the steps: {holders}")
    note(f"served before the final fault: {before[0]} of {before[1]}; "
         f"of those sent later than {RECOVER_S} s after the machines were back: {after[0]} of {after[1]}")
    if 4 * before[0] < before[1]:
        return 2
    return 1 if 4 * after[0] < after[1] else 0


if __name__ == "__main__":
    run_case(scenario, {0: "the rule held", 1: "RECOVER was broken", 2: "the case could not run"})
