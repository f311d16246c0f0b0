#!/usr/bin/env python3
"""Case 5: an entry of another writer with missing fields keeps a group held for ever after a final fault.

FOREIGN=0 leaves the entry out, so that only the processes are killed.
"""

import asyncio
import json
import os
import socket
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import platform_standins as platform
from platform_standins import (
    ENGINE_PORT, FRONTEND_PORT, RANKS, TROUBLE, config, endpoint, entry, note, post_request, run_case,
    start_platform, wait_for,
)

# The names are drawn anew each day: here that of the plain service comes first.
platform.SERVICE, platform.PLAIN_SERVICE = "wuno96b", "huvo11a"

# Which two processes are the directories of the group follows from the addresses. In these networks that of rank 0 is none
# of them; in one of four it is, and the fault does not show.
NETWORKS = ["127.101.3", "127.101.6"]

RECOVER_S = 12
FOREIGN = os.environ.get("FOREIGN", "1") != "0"
FOREIGN_RANK = 0
ENTRY_HOST = 5
# Twenty streams a second, all the time.
PAUSE_S = 0.05


def is_free(network):
    try:
        for host, port in [(10, ENGINE_PORT), (30, ENGINE_PORT), (250, platform.STORE_PORT), (ENTRY_HOST, FRONTEND_PORT)]:
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                probe.bind((f"{network}.{host}", port))
        return True
    except OSError:
        return False


def chosen_network():
    return next(filter(is_free, NETWORKS))


platform.free_network = chosen_network


async def scenario(folder, network, processes):
    store, group = await start_platform(network)
    processes += [endpoint(folder, network, number, ENTRY_HOST) for number in range(RANKS)]
    processes += [entry(folder, network, ENTRY_HOST)]
    for process in processes:
        process.start()
    sent = []  # (when it was sent, its answer)

    async def send(identity):
        at = time.monotonic()
        sent.append((at, await post_request(f"{network}.{ENTRY_HOST}", FRONTEND_PORT, identity)))

    async def traffic():
        number = 0
        while True:
            asyncio.ensure_future(send(f"stream-{number}"))
            number += 1
            await asyncio.sleep(PAUSE_S)

    def served(begin, end):
        """The served requests of those that were sent in this time, and all of these."""
        statuses = [status for at, status in sent if begin <= at < end]
        return statuses.count(200), len(statuses)

    is_watching, held = [], asyncio.Event()

    def on_order(rank, order, status):
        if is_watching and order["Operation"] == "Retain" and status == 202:
            held.set()

    group.on_order = on_order
    await asyncio.sleep(3)
    streams = asyncio.ensure_future(traffic())
    await asyncio.sleep(3)
    if TROUBLE and FOREIGN:
        # Version, ColdLeftMs and SeqNo are missing.
        foreign = {
            "Service": platform.PLAIN_SERVICE, "Address": f"{network}.{10 + FOREIGN_RANK}:{ENGINE_PORT}",
            "Zone": "seattle", "Slots": 6, "State": "ready",
        }
        store.put("keyed.servers", "x-0", json.dumps(foreign).encode())
        note("another writer's entry x-0: the plain service, the address of the replica at rank 0")
    await asyncio.sleep(2)
    note("other experts are in demand")
    group.hot = 3
    is_watching.append(True)
    if not await wait_for("an order to hold the group", held.is_set, 20):
        return 2
    fault_at = back_at = time.monotonic()
    if TROUBLE:
        store.put("keyed.op", "config", json.dumps(dict(config(), Version=9)).encode())
        note("a manifest is acknowledged; all processes are killed")
        for process in processes:
            process.kill()
        await asyncio.sleep(0.8)
        for process in processes:
            process.start()
        back_at = time.monotonic()
    await asyncio.sleep(RECOVER_S + 10)
    streams.cancel()
    end_at = time.monotonic()
    await asyncio.sleep(8.5)
    before, after = served(0, fault_at), served(back_at + RECOVER_S, end_at)
    holders = [(rank.number, rank.held) for rank in group.ranks if rank.held is not None]
    note(f"step {group.step}; ranks that hold the group, and the steps: {holders}")
    result = (f"served before the final fault: {before[0]} of {before[1]}; "
              f"of those sent later than {RECOVER_S} s after the machines were back: {after[0]} of {after[1]}")
    note(result)
    print(result, flush=True)
    if 4 * before[0] < before[1]:
        return 2
    return 1 if 4 * after[0] < after[1] else 0


if __name__ == "__main__":
    run_case(scenario, {0: "the rule held", 1: "RECOVER was broken", 2: "the case could not run"})
