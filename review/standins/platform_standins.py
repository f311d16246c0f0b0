"""Stand-ins of the platform for scripted cases: its store, and a lock-step group of 8 engines.

The bounds and the sizes are those of cascade-hearth. Python standard library only. Everything listens on one free
127.x.y.0/24 network.
"""

import asyncio
import base64
import hashlib
import json
import os
import random
import shlex
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
# Each case runs in its own folder.
HERE = os.getcwd()
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

RANKS, SETS, EXPERTS, PLACEMENTS, SPARE = 8, 6, 64, 11, 4
EPOCH = 1
PASS_S = 0.040
COPY_S_PER_EXPERT = 0.02
ENGINE_PORT, STORE_PORT, INTERNAL_PORT = 8228, 8223, 7340
# An order without an answer is carried out 2 to 12 s later.
LATE_MIN_S, LATE_MAX_S = 2.0, 12.0
SERVICE, PLAIN_SERVICE = "huvo11a", "wuno96b"
START = time.monotonic()
RECORD = open(os.path.join(HERE, "record.txt"), "w")


def note(text):
    RECORD.write(f"{time.monotonic() - START:8.3f}  {text}\n")
    RECORD.flush()


# --- HTTP ---------------------------------------------------------------------------------------

REASONS = {200: "OK", 202: "Accepted", 404: "Not Found", 409: "Conflict", 410: "Gone", 421: "Misdirected Request"}


async def serve(ip, port, handler):
    async def on_connection(reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                path, _, query = target.partition("?")
                args = dict(p.split("=", 1) for p in query.split("&") if "=" in p)
                answer = await handler(method, path, args, headers, body)
                if answer is None:  # No answer on this connection.
                    await asyncio.sleep(60)
                    return
                status, content, extra = answer
                if not isinstance(content, bytes):  # A stream of events, in chunks.
                    sending = asyncio.ensure_future(send_stream(writer, status, content, extra))
                    leaving = asyncio.ensure_future(reader.read(1))
                    await asyncio.wait([sending, leaving], return_when=asyncio.FIRST_COMPLETED)
                    has_left = leaving.done()  # The caller has closed the channel.
                    for task in (sending, leaving):
                        task.cancel()
                    await asyncio.gather(sending, leaving, return_exceptions=True)
                    if has_left:
                        return
                    continue
                text = f"HTTP/1.1 {status} {REASONS.get(status, 'X')}\r\nContent-Length: {len(content)}\r\n"
                text += "".join(f"{k}: {v}\r\n" for k, v in extra.items()) + "\r\n"
                writer.write(text.encode() + content)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(on_connection, ip, port)


async def send_stream(writer, status, events, extra):
    head = f"HTTP/1.1 {status} {REASONS[status]}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
    head += "".join(f"{k}: {v}\r\n" for k, v in extra.items()) + "\r\n"
    async for event in events:
        writer.write(head.encode() + f"{len(event):x}\r\n".encode() + event + b"\r\n")
        head = ""
        await writer.drain()
    writer.write(b"0\r\n\r\n")
    await writer.drain()


def as_json(status, value):
    return status, json.dumps(value).encode(), {"Content-Type": "application/json"}


# --- The platform's store -----------------------------------------------------------------------


class Store:
    def __init__(self):
        self.topics = {}

    def put(self, topic, key, value):
        records = self.topics.setdefault(topic, [])
        records.append((key, value))

    def newest(self, topic):
        latest = {}
        for offset, (key, value) in enumerate(self.topics.get(topic, [])):
            latest.pop(key, None)
            if value:
                latest[key] = (value, offset)
        return latest

    async def handle(self, method, path, args, headers, body):
        topic = args.get("Topic", "")
        if path == "/lynxmount/log-newest":
            items = [
                {"Key": k, "Value": base64.b64encode(v).decode(), "Offset": o}
                for k, (v, o) in sorted(self.newest(topic).items())
            ]
            end = len(self.topics.get(topic, []))
            return as_json(200, {"Items": items, "HasMore": False, "EndOffset": end})
        if path == "/lynxmount/log-read":
            until = time.monotonic() + int(args.get("WaitMs", 0)) / 1000
            first = int(args["From"])
            while len(self.topics.get(topic, [])) <= first and time.monotonic() < until:
                await asyncio.sleep(0.01)
            records = self.topics.get(topic, [])
            out = struct.pack(">QQ", len(records), 0)
            for key, value in records[first:]:
                content = bytes([len(key)]) + key.encode() + value
                out += struct.pack(">I", len(content)) + content
            return 200, out, {}
        if path == "/lynxmount/log-append":
            at = 0
            while at + 4 <= len(body):
                (length,) = struct.unpack(">I", body[at : at + 4])
                record = body[at + 4 : at + 4 + length]
                size = record[0]
                self.put(topic, record[1 : 1 + size].decode(), record[1 + size :])
                at += 4 + length
            end = len(self.topics.get(topic, []))
            return as_json(200, {"Offset": end - 1, "EndOffset": end})
        return 404, b"", {}


# --- The group ----------------------------------------------------------------------------------


class Rank:
    def __init__(self, number):
        self.number = number
        first = [[e for e in range(number, EXPERTS, RANKS)] for _ in range(SETS)]
        self.in_use = (0, first)
        self.prepared = None
        self.copying = None
        self.armed = None
        self.held = None
        self.highest = 0
        self.counts = [0] * (SETS * EXPERTS)
        self.requests = []  # [passes left, future]


class Group:
    def __init__(self):
        self.ranks = [Rank(number) for number in range(RANKS)]
        self.step = 0
        self.in_pass = False
        self.broken_at = None
        # The rank whose first experts under map 0 are chosen most.
        self.hot = 0
        self.policy = None
        self.on_order = None

    # Passes: the group makes them while it has work and no rank retains the next one.
    def try_begin(self):
        step = self.step + 1
        has_work = any(rank.requests for rank in self.ranks)
        if self.in_pass or not has_work or any(rank.held == step for rank in self.ranks):
            return
        self.step, self.in_pass = step, True
        for rank in self.ranks:
            if rank.armed and rank.armed[1] == step:
                rank.in_use, rank.armed = rank.prepared, None
        # What each rank knows of the whole map: its version, and the rows that were prepared.
        versions = [rank.in_use[0] for rank in self.ranks]
        note(f"PASS {step} begins; map version by rank: {versions}")
        if len(set(versions)) > 1 and self.broken_at is None:
            self.broken_at = step
            note(f"MAP BROKEN: pass {step} begins while ranks have different maps")
        asyncio.get_running_loop().call_later(PASS_S, self.end_pass)

    def end_pass(self):
        self.in_pass = False
        for rank in self.ranks:
            for request in rank.requests:
                for layers in range(SETS):
                    for expert in range(EXPERTS):
                        rank.counts[layers * EXPERTS + expert] += 400 if expert % RANKS == self.hot and expert < 32 else 4
                request[0] -= 1
                if request[0] == 0:
                    request[1].set_result(None)
            rank.requests = [request for request in rank.requests if request[0] > 0]
        self.try_begin()

    async def events(self, number, identity):
        """The only event of a request: one pass reads the prompt, the next writes the answer."""
        request = [2, asyncio.get_running_loop().create_future()]
        self.ranks[number].requests.append(request)
        self.try_begin()
        try:
            await request[1]
            yield b"id: 1\ndata: done\n\n"
            note(f"request {identity} is answered by rank {number}")
        finally:
            if request in self.ranks[number].requests:
                self.ranks[number].requests.remove(request)
                note(f"request {identity} is given up at rank {number}")

    def report(self, rank):
        return {
            "Stage": "both", "Models": [], "Busy": rank.copying is not None, "SeqNo": 0,
            "Queued": 0, "Active": len(rank.requests), "KvUsed": 0, "KvTotal": 494000, "Handles": 0,
            "group": {"Name": "g0", "epoch": EPOCH, "rank": rank.number, "State": "open"},
            "size": RANKS, "pace": 1.0, "step": self.step, "ExpertMap": rank.in_use[0],
            "Prepared": rank.prepared[0] if rank.prepared else None,
            "Armed": {"Version": rank.armed[0], "step": rank.armed[1]} if rank.armed else None,
            "held": rank.held,
        }

    def carry_out(self, rank, order):
        """Carries out an order as PROTOCOL says; returns the status of its answer."""
        operation, version, step = order["Operation"], order.get("Version"), order.get("step")
        if order.get("epoch", EPOCH) != EPOCH:
            return 409
        if operation == "prepare":
            if (rank.prepared and rank.prepared[0] == version) or (rank.copying and rank.copying[0] == version):
                return 200
            rows = [layer[rank.number] for layer in order["ExpertMap"]]
            new = max(len(set(row) - set(old)) for row, old in zip(rows, rank.in_use[1]))
            if version <= rank.highest or rank.armed or new > SPARE or max(map(len, rows)) > PLACEMENTS:
                return 409
            rank.highest, rank.prepared, rank.copying = version, None, (version, rows)
            fetched = sum(len(set(row) - set(old)) for row, old in zip(rows, rank.in_use[1]))
            asyncio.get_running_loop().call_later(COPY_S_PER_EXPERT * fetched, self.end_copy, rank, version)
            return 202
        if operation == "arm":
            if rank.armed == (version, step):
                return 200
            if rank.armed or not rank.prepared or rank.prepared[0] != version or step <= self.step:
                return 409
            rank.armed = (version, step)
            return 202
        if operation == "disarm":
            if rank.in_use[0] == version:
                return 409
            if rank.armed and rank.armed[0] == version:
                rank.armed = None
            return 200
        if operation == "Retain":
            if rank.held == step:
                return 200
            if rank.held is not None or step <= self.step:
                return 409
            rank.held = step
            return 202
        if operation == "go":
            if rank.held == step:
                rank.held = None
                self.try_begin()
            return 200
        return 400

    def end_copy(self, rank, version):
        if rank.copying and rank.copying[0] == version:
            rank.prepared, rank.copying = rank.copying, None

    def engine(self, number):
        rank = self.ranks[number]

        async def handle(method, path, args, headers, body):
            if path == "/lynxmount/report":
                return as_json(200, self.report(rank))
            if path == "/lynxmount/picked" and "Lists" in args:
                return as_json(200, {"ExpertMap": {"Version": rank.in_use[0], "Experts": rank.in_use[1]},
                                     "Prepared": {"Version": rank.prepared[0], "Experts": rank.prepared[1]}
                                     if rank.prepared else None})
            if path == "/lynxmount/picked":
                return as_json(200, {"step": self.step, "epoch": EPOCH, "Counts": rank.counts})
            if path == "/lynxmount/order":
                order = json.loads(body)
                answer = self.policy(rank, order) if self.policy else None
                what = f"{order['Operation']} version={order.get('Version')} step={order.get('step')} at rank {number}"
                if answer == "late":
                    note(f"order {what}: no answer, will be carried out later")
                    return None
                status = self.carry_out(rank, order)
                if answer == "lost":
                    note(f"order {what}: accepted ({status}), its answer is lost")
                    return None
                note(f"order {what}: {status}")
                if self.on_order:
                    self.on_order(rank, order, status)
                # A round trip: requests and orders to other engines arrive meanwhile.
                await asyncio.sleep(0.004)
                return as_json(status, {}) if status != 409 else (409, b"", {})
            if path == "/healthz":
                return 200, b"", {"X-Instance-Id": f"i-{number}"}
            if method == "POST":
                identity = headers.get("x-attempt-id", "-")
                if headers.get("x-expect-instance", f"i-{number}") != f"i-{number}":
                    return 421, b"", {"X-Instance-Id": f"i-{number}"}
                note(f"request {identity} arrives at rank {number}")
                return 200, self.events(number, identity), {
                    "X-Attempt-Id": identity, "X-Server-Stamp": f"s.{number}.{identity}"}
            return 404, b"", {}

        return handle


# --- Processes ----------------------------------------------------------------------------------


def free_network():
    for _ in range(200):
        network = f"127.{random.randint(20, 90)}.{random.randint(1, 250)}"
        try:
            for host, port in [(10, ENGINE_PORT), (17, ENGINE_PORT), (250, STORE_PORT), (10, 7341)]:
                with socket.socket() as probe:
                    probe.bind((f"{network}.{host}", port))
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
                probe.bind((f"{network}.10", INTERNAL_PORT))
            return network
        except OSError:
            continue
    raise RuntimeError("no free network")


BOUNDS = """SeedLagS=3 ReuseAfterS=2 StableMs=3000 AckMs=4000 CatchUpS=4 DrainMs=2000 GraceS=8 LossSlackMs=200
ConfigApplyMs=2000 RollbackSlackMs=250 PartitionMaxMs=5000 RevokeStrict=false RevokeMs=5000 RetryRatio=0.2
RetryWindowS=10 RetrySlack=92 RecoverS=12 MaxDelayMs=120 RetryAfterS=0 stall_ms=1500 FencingEnforced=false"""
FRONTEND_PORT, READINESS_PORT, CONTROL_PORT = 8227, 8220, 8229


def settings_text(network, host, machine, lines):
    common = [
        f"NodeName={machine}-seattle-{host}", f"MachineClass={machine}", f"Ip={network}.{host}", "Zone=seattle",
        "Region=pnw", "Zones.seattle=pnw", f"InternalPorts={INTERNAL_PORT},{INTERNAL_PORT + 15}",
        "FirstStart=true", "InTolerance=false", "Limits.Cores=1", "HeartbeatMs=1200", "Discovery=platform",
        "Entry=vip", f"Platform.Address={network}.250:{STORE_PORT}", "Platform.form=log",
    ]
    return "\n".join(common + lines + [f"Bounds.{bound}" for bound in BOUNDS.split()]) + "\n"


class Process:
    """A process of the project, started by the command of a role in the deploy file."""

    def __init__(self, folder, name, role, settings):
        self.name, self.folder, self.child = name, folder, None
        self.path = os.path.join(folder, f"{name}.conf")
        with open(self.path, "w") as file:
            file.write(settings)
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.command = shlex.split(tomllib.load(file)["roles"][role]["run"])

    def start(self):
        log = open(os.path.join(self.folder, f"{self.name}.log"), "ab")
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["LYNXMOUNT_BOOT"] = self.path
        self.child = subprocess.Popen(self.command, cwd=ROOT, env=environment, stdout=log, stderr=log)
        note(f"process {self.name} starts (pid {self.child.pid})")

    def kill(self):
        note(f"process {self.name} is killed")
        self.stop()

    def stop(self):
        if self.child and self.child.poll() is None:
            self.child.send_signal(signal.SIGKILL)
            self.child.wait()


def endpoint(folder, network, number, seed_host=None):
    """The endpoint process beside the engine of a rank."""
    host = 10 + number
    seeds = f"{network}.{seed_host}:{CONTROL_PORT}" if seed_host else ""
    lines = [
        "Role=endpoint", "Serves=side", f"Seeds={seeds}", "Limits.CpuQuota=0.15", "Limits.MemoryMb=128", "Limits.MaxFds=2048",
        "Limits.LinkMbps=20.0", f"app={network}.{host}:{ENGINE_PORT}", f"Service={SERVICE}",
    ]
    return Process(folder, f"endpoint-{number}", "endpoint", settings_text(network, host, "side", lines))


def entry(folder, network, host):
    ip = f"{network}.{host}"
    lines = [
        "Role=entry", "Serves=frontend,control_plane", f"Seeds={ip}:{CONTROL_PORT}", "Limits.CpuQuota=0.19",
        "Limits.MemoryMb=260", "Limits.MaxFds=4100", "Limits.LinkMbps=1000.0", f"Listen.FrontendAddr={ip}:{FRONTEND_PORT}",
        f"Listen.ReadinessAddr={ip}:{READINESS_PORT}", f"Listen.ControlAddr={ip}:{CONTROL_PORT}",
    ]
    return Process(folder, f"entry-{host}", "entry", settings_text(network, host, "frontend", lines))


def config():
    route = {
        "Name": "r-1", "Hostname": "ficu95.example", "PathPrefix": "/lohu930/", "RouteKind": "streaming",
        "TimeoutMs": 8000, "GoalMs": 400, "Priority": 1, "Service": SERVICE, "MaxAttempts": 2, "Public": False,
        "Sticky": True, "Resumable": True, "GapGoalMs": 120,
    }
    engine = {
        "Slots": 12, "KvCapacity": 494000, "KvTokenBytes": 35136, "LinkMbps": 92000.0, "Stride": 6,
        "Models": [{"Name": "m"}], "step_ms": 4.84, "per_seq_ms": 0.362, "context_per_k": 0.011,
        "read_per_s": 74800.0, "pairs_per_m": 0.232, "chunk": 512, "report_lag_ms": 200.0,
        "usual": {"prompt": 835, "answer": 159}, "Sets": SETS, "Experts": EXPERTS, "Placements": PLACEMENTS,
        "Spare": SPARE, "ExpertMb": 230.0, "ExpertShare": 0.85, "form_ms": 600.0,
    }
    lookups = {
        "Name": "r-2", "Hostname": "ficu95.example", "PathPrefix": "/cufi504/", "RouteKind": "idempotent",
        "TimeoutMs": 4000, "GoalMs": 300, "Priority": 2, "Service": PLAIN_SERVICE, "MaxAttempts": 2, "Public": False,
    }
    return {
        "Version": 7, "Routes": [route, lookups],
        "Services": [
            {"Name": SERVICE, "HealthPath": "/healthz", "MaxConns": 348, "Engine": engine},
            {"Name": PLAIN_SERVICE, "HealthPath": "/healthz", "MaxConns": 110},
        ],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
        "Tenants": [],
    }


async def plain_replica(method, path, args, headers, body):
    """A replica of the plain service; it answers at once."""
    if headers.get("x-expect-instance", "i-8") != "i-8":
        return 421, b"", {"X-Instance-Id": "i-8"}
    identity = headers.get("x-attempt-id", "-")
    return 200, b"here", {"X-Attempt-Id": identity, "X-Server-Stamp": f"s.8.{identity}", "X-Instance-Id": "i-8"}


async def get_lookup(ip, port, identity):
    """A client's lookup at the plain service; returns the status of its answer, None without one."""
    return await exchange(ip, port, identity, f"GET /cufi504/2f HTTP/1.1\r\nHost: ficu95.example\r\n"
                          f"X-Attempt-Id: {identity}\r\nX-Deadline-Ms: 4000\r\n\r\n")


async def post_request(ip, port, identity):
    """A client's request to the model service; returns the status of its answer, None without one."""
    return await exchange(ip, port, identity, f"POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\n"
                          f"X-Attempt-Id: {identity}\r\nX-Model: m\r\nX-Token-Count: 400,6\r\n"
                          f"X-Deadline-Ms: 8000\r\nContent-Length: 0\r\n\r\n")


async def exchange(ip, port, identity, text):
    """One request on a channel of its own."""
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, port), 1)
    except (asyncio.TimeoutError, ConnectionError):
        note(f"client of {identity} gets no channel")
        return None
    writer.write(text.encode())
    await writer.drain()
    try:
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 8)
        status = int(head.split(b" ")[1])
        note(f"client of {identity} gets {status}")
        return status
    except (asyncio.IncompleteReadError, asyncio.TimeoutError, ConnectionError):
        note(f"client of {identity} gets no answer")
        return None
    finally:
        writer.close()


async def wait_for(what, condition, limit_s):
    until = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > until:
            note(f"gave up waiting for {what}")
            return False
        await asyncio.sleep(0.01)
    return True




async def start_platform(network):
    """The store with a configuration and the registrations, and the engines of one group."""
    store, group = Store(), Group()
    store.put("keyed.op", "config", json.dumps(config()).encode())
    for number in range(RANKS):
        registration = {
            "Service": SERVICE, "Address": f"{network}.{10 + number}:{ENGINE_PORT}", "Zone": "seattle",
            "Version": "v1", "Slots": 12, "State": "ready", "ColdLeftMs": 0, "SeqNo": 0,
        }
        store.put("keyed.servers", f"i-{number}", json.dumps(registration).encode())
    registration = {
        "Service": PLAIN_SERVICE, "Address": f"{network}.30:{ENGINE_PORT}", "Zone": "seattle", "Version": "v1",
        "Slots": 6, "State": "ready", "ColdLeftMs": 0, "SeqNo": 0,
    }
    store.put("keyed.servers", "i-8", json.dumps(registration).encode())
    await serve(f"{network}.250", STORE_PORT, store.handle)
    await serve(f"{network}.30", ENGINE_PORT, plain_replica)
    for number in range(RANKS):
        await serve(f"{network}.{10 + number}", ENGINE_PORT, group.engine(number))
    return store, group


def run_case(scenario, outcomes):
    """Runs a scenario, ends its processes and exits with its code; 2 after any error of the scenario itself."""
    folder, processes = tempfile.mkdtemp(), []

    def finish(code):
        for process in processes:
            process.stop()
        if os.environ.get("KEEP_LOGS"):
            for name in os.listdir(folder):
                shutil.copy(os.path.join(folder, name), os.environ["KEEP_LOGS"])
        shutil.rmtree(folder)
        note(outcomes[code])
        RECORD.close()
        # Connections that were left without an answer are not closed one by one.
        os._exit(code)

    async def run():
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, finish, 2)
        try:
            finish(await asyncio.wait_for(scenario(folder, free_network(), processes), 100))
        except Exception as error:
            note(f"the scenario failed: {error!r}")
            finish(2)

    asyncio.run(run())
