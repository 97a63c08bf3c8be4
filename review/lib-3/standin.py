"""Stand-ins for the users' platform, members and callers, on loopback addresses.

They follow PROTOCOL.md and DEPLOY.md. Everything runs in one asyncio process; the lycheedoor
processes are started with the run command of deploy/system.toml.
"""

import asyncio
import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
BEAT_S = 1.2


_tasks = set()


def now():
    return time.monotonic()


def start(coroutine):
    """Runs a coroutine in the background. The event loop itself keeps no reference to its tasks."""
    task = asyncio.ensure_future(coroutine)
    _tasks.add(task)
    task.add_done_callback(_tasks.discard)
    return task


class Record:
    """Writes what happened to record.txt, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w")
        self.start = now()

    def __call__(self, text):
        self.file.write(f"{now() - self.start:9.3f} {text}\n")

    def close(self):
        self.file.close()


_used_ports = set()


def free_ports(count):
    """Returns the first of `count` consecutive free ports below the ephemeral range."""
    base = 12_000 + (os.getpid() * 37) % 15_000
    for port in itertools.chain(range(base, 30_000, count), range(12_000, base, count)):
        wanted = range(port, port + count)
        if any(number in _used_ports for number in wanted):
            continue
        try:
            for number in wanted:
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind((HOST, number))
        except OSError:
            continue
        _used_ports.update(wanted)
        return port
    raise RuntimeError("no free ports")


async def read_http(reader):
    """Reads one HTTP request: method, path, query and body; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        method, target, _ = lines[0].split(" ")
        fields = dict(line.split(": ", 1) for line in lines[1:] if ": " in line)
        fields = {name.lower(): value for name, value in fields.items()}
        body = await reader.readexactly(int(fields.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    path, _, query = target.partition("?")
    query = dict(urllib.parse.parse_qsl(query))
    return method, urllib.parse.unquote(path), query, fields, json.loads(body) if body else None


def http_answer(status, body):
    text = json.dumps(body).encode()
    head = f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {len(text)}\r\n\r\n"
    return head.encode() + text


async def serve_http(handler):
    async def connection(reader, writer):
        try:
            while (request := await read_http(reader)) is not None:
                status, body = await handler(*request)
                writer.write(http_answer(status, body))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    port = free_ports(1)
    await asyncio.start_server(connection, HOST, port)
    return port


class Store:
    """The platform's metadata store: objects by kind and name, with one revision counter."""

    def __init__(self):
        self.revision = 1
        self.objects = {}  # (kind, name) -> (revision, spec, status)
        self.history = []  # (revision, kind, object, deleted)
        self.changed = asyncio.Event()

    async def start(self):
        self.port = await serve_http(self.handle)

    def object(self, kind, name):
        revision, spec, status = self.objects[kind, name]
        meta = {"name": name, "rev": revision, "created": 1, "finalizers": [], "terminating": False}
        return {"meta": meta, "spec": spec, "status": status}

    def _note(self, kind, body, deleted):
        self.history.append((self.revision, kind, body, deleted))
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    def put(self, kind, name, spec, status=None):
        known = self.objects.get((kind, name))
        if known is not None and known[1:] == (spec, status):
            return self.object(kind, name)
        self.revision += 1
        self.objects[kind, name] = (self.revision, spec, status)
        self._note(kind, self.object(kind, name), False)
        return self.object(kind, name)

    def delete(self, kind, name):
        if (kind, name) in self.objects:
            body = self.object(kind, name)
            del self.objects[kind, name]
            self.revision += 1
            body["meta"]["rev"] = self.revision
            self._note(kind, body, True)

    async def handle(self, method, path, query, _fields, body):
        parts = path.split("/")
        kind, name = parts[2], (parts[3] if len(parts) > 3 else None)
        if method == "GET" and name is None:
            return await self.read_kind(kind, query)
        if method == "POST":
            name = body["meta"]["name"]
            if (kind, name) in self.objects:
                return 409, self.object(kind, name)
            return 200, self.put(kind, name, body.get("spec"))
        if (kind, name) not in self.objects:
            return 404, {}
        if method == "GET":
            return 200, self.object(kind, name)
        wanted = query.get("rev") or ((body or {}).get("meta") or {}).get("rev")
        if wanted is not None and int(wanted) != self.objects[kind, name][0]:
            return 409, self.object(kind, name)
        if method == "DELETE":
            answer = self.object(kind, name)
            self.delete(kind, name)
            return 200, answer
        return 200, self.put(kind, name, body.get("spec"))

    async def read_kind(self, kind, query):
        if "watch" not in query:
            after = query.get("after", "")
            names = sorted(n for k, n in self.objects if k == kind and n > after)
            items = [self.object(kind, n) for n in names[:500]]
            return 200, {"items": items, "hasMore": len(names) > 500, "currentRev": self.revision}
        since, until = int(query["watch"]), now() + int(query.get("waitMs", 0)) / 1000
        while True:
            changed = self.changed
            events = [
                {"object": obj, "deleted": deleted}
                for revision, k, obj, deleted in self.history
                if k == kind and revision > since
            ]
            left = until - now()
            if events or left <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Member:
    """One database member. Its log is a list of (term, number, statement id)."""

    def __init__(self, group, name, zone, role, receive_s, apply_s):
        self.group, self.id, self.zone, self.role = group, name, zone, role
        self.receive_s, self.apply_s = receive_s, apply_s
        self.term, self.held_term = 3, 0
        self.log, self.applied = [], 0
        self.sequence, self.born = 0, int(time.time() * 1000)
        self.connections = 0
        self.links = set()
        self.is_registered = True
        self.is_deaf = False

    async def start(self):
        self.port = free_ports(1)
        self.server = await asyncio.start_server(self.connection, HOST, self.port, limit=2 << 20)
        start(self.beat())

    def crash(self):
        """Ends the member's process: its connections are reset, and it reports nothing."""
        self.is_registered = False
        self.server.close()
        for writer in list(self.links):
            writer.transport.abort()
        self.held_term = 0

    async def come_back(self):
        """Starts the member again at its address, with its log."""
        self.server = await asyncio.start_server(self.connection, HOST, self.port, limit=2 << 20)
        self.is_registered, self.born = True, int(time.time() * 1000)
        self.report()

    def report(self):
        if not self.is_registered:
            return
        self.sequence += 1
        entry = {
            "backend": self.group.name, "addr": f"{HOST}:{self.port}", "zone": self.zone,
            "version": "v1", "slots": self.group.slots, "state": "ready", "coldLeftMs": 0,
            "dbRole": self.role, "seq": self.sequence, "born": self.born,
        }
        known = self.group.store.objects.get(("servers", self.id))
        # The entry changes when more than seq changes.
        if known is None or {**known[1], "seq": 0} != {**entry, "seq": 0}:
            self.group.store.put("servers", self.id, entry)

    async def beat(self):
        while True:
            self.report()
            await asyncio.sleep(BEAT_S)

    def position(self, count=None):
        count = self.applied if count is None else count
        term = self.log[count - 1][0] if count else self.term
        return f"{term}.{count}"

    def has(self, position):
        wanted = tuple(int(part) for part in position.split("."))
        have = tuple(int(part) for part in self.position().split("."))
        return have >= wanted

    async def connection(self, reader, writer):
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connections += 1
        session = {"state": "I", "plain": False, "writes": [], "values": {}, "prepared": {}}
        self.links.add(writer)
        try:
            line = (await reader.readuntil(b"\r\n")).decode()[:-2].split(" ")
            if line[0] != "START" or line[1] != self.group.name or line[3:4] not in ([], [self.id]):
                writer.write(b"ERROR MISROUTED -\r\n")
                return
            writer.write(f"READY I {self.position()}\r\n".encode())
            while True:
                line = (await reader.readuntil(b"\r\n")).decode()[:-2]
                if line == "BYE":
                    return
                _, query_id, text = line.split(" ", 2)
                rows, result = await self.run(session, query_id, text)
                out = "".join(f"ROW {row}\r\n" for row in rows)
                out += f"{result}\r\nREADY {session['state']} {self.position()}\r\n"
                await self.send(writer, out.encode())
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.connections -= 1
            self.links.discard(writer)
            writer.close()

    async def send(self, writer, out):
        """Sends an answer, over the link that the group's members have for each connection."""
        rate = self.group.link_bytes_per_s
        piece = len(out) if rate is None else 16 * 1024
        for first in range(0, len(out), piece):
            writer.write(out[first:first + piece])
            await writer.drain()
            if rate is not None and len(out) > piece:
                await asyncio.sleep(piece / rate)

    async def run(self, session, query_id, text):
        word, _, rest = text.partition(" ")
        if word == "AFTER":
            position, _, text = rest.partition(" ")
            word, _, rest = text.partition(" ")
            if not self.has(position):
                return [], "ERROR LAGGING -"
        if word == "STATUS":
            row = f"{self.role} {self.term} {self.position(len(self.log))} {self.held_term} 0 0 {self.connections}"
            return [row], "DONE -"
        if word in ("PAUSE", "STEPDOWN"):
            self.group.order(self, word, int(rest))
            row = f"{self.role} {self.term} {self.position(len(self.log))} {self.held_term} 0 0 {self.connections}"
            return [row], "DONE -"
        if word == "RESET":
            session["values"].clear()
            session["prepared"].clear()
            return [], "DONE -"
        if word == "SET":
            name, _, value = rest.partition(" ")
            session["values"][name] = value
            return [], "DONE -"
        if word == "PREPARE":
            name, access, shape = rest.split(" ", 2)
            session["prepared"][name] = (access, shape if self.group.keeps_shapes else "")
            return [], "DONE -"
        if word == "CLOSE":
            session["prepared"].pop(rest, None)
            return [], "DONE -"
        if word == "BEGIN":
            if session["state"] != "I":
                return [], "ERROR MALFORMED -"
            if rest != "READ" and self.role != "primary":
                return [], f"ERROR READONLY {self.id}"
            session.update(state="T", plain=rest != "READ", writes=[])
            return [], "DONE -"
        if word == "ROLLBACK":
            session.update(state="I", plain=False, writes=[])
            return [], "DONE -"
        if session["state"] == "E":
            return [], "ERROR MALFORMED -"
        if word == "EXEC":
            name, _, arguments = rest.partition(" ")
            if name not in session["prepared"]:
                return [], "ERROR NOSTMT -"
            word, rest = session["prepared"][name][0], arguments
        if session["plain"] and self.role != "primary":
            session["state"] = "E"
            return [], f"ERROR READONLY {self.id}"
        fault = self.group.fault(self, session, query_id, word)
        if fault is not None:
            return [], fault
        return await self.work(session, query_id, word, rest)

    async def work(self, session, query_id, word, rest):
        await asyncio.sleep(self.group.work_s(word))
        signature = f"DONE {self.id}.{query_id}"
        if word == "READ":
            self.group.note_read(self, query_id)
            return self.group.rows(rest), signature
        if word == "WRITE":
            if self.role != "primary":
                return [], f"ERROR READONLY {self.id}"
            if session["state"] == "T":
                session["writes"].append(query_id)
                return [], signature
            await self.group.commit(self, [query_id])
            return [], signature
        if word == "COMMIT":
            writes = session["writes"]
            session.update(state="I", plain=False, writes=[])
            if writes:
                if self.role != "primary":
                    return [], f"ERROR READONLY {self.id}"
                await self.group.commit(self, writes)
            return [], signature
        return [], "ERROR MALFORMED -"


class Group:
    """A service: one primary and its replicas."""

    def __init__(self, store, name, slots=8, sync_replicas=0, promote_s=0.3):
        self.store, self.name, self.slots = store, name, slots
        self.sync_replicas, self.promote_s = sync_replicas, promote_s
        self.members = []
        self.commits = []  # (time of the acknowledgement, number, statement ids)
        self.reads = []  # (statement id, member, applied, time)
        self.promotions = []  # (time, member id, log)
        self.fence = 0
        self.keeps_shapes = True
        self.link_bytes_per_s = None
        self.record = lambda text: None
        self.fault = lambda member, session, query_id, word: None
        self.work_s = lambda word: 0.002
        self.rows = lambda item: ["qhzkwmtrbelo"]

    async def add(self, name, zone, role, receive_s=0.001, apply_s=0.001):
        member = Member(self, name, zone, role, receive_s, apply_s)
        self.members.append(member)
        await member.start()
        return member

    def note_read(self, member, query_id):
        self.reads.append((query_id, member.id, member.applied, now()))

    def hear_again(self, replica):
        """Ends the silence of a replica, which receives what it has missed."""
        replica.is_deaf = False
        primary = next(member for member in self.members if member.role == "primary")
        self.receive(primary, replica, asyncio.get_running_loop().create_future())

    async def commit(self, primary, writes):
        number = len(primary.log) + 1
        entry = (primary.term, number, tuple(writes))
        primary.log.append(entry)
        primary.applied = number
        received = asyncio.get_running_loop().create_future()
        loop = asyncio.get_running_loop()
        for replica in self.members:
            if replica is not primary:
                loop.call_later(replica.receive_s, self.receive, primary, replica, received)
        if self.sync_replicas:
            await received
        self.commits.append((now(), number, tuple(writes)))

    def receive(self, primary, replica, received):
        if replica.role != "replica" or replica.held_term or replica.is_deaf or primary.role != "primary":
            return
        missing = primary.log[len(replica.log):]
        replica.log.extend(missing)
        loop = asyncio.get_running_loop()
        if missing:
            loop.call_later(replica.apply_s, self.apply, replica, len(replica.log))
        if not received.done():
            received.set_result(None)

    @staticmethod
    def apply(replica, number):
        replica.applied = max(replica.applied, min(number, len(replica.log)))

    def order(self, member, word, term):
        newest = max(other.term for other in self.members)
        if word == "PAUSE" and member.role == "replica" and term > newest:
            member.held_term = term
        if word == "STEPDOWN" and member.role == "primary" and term > member.term:
            member.role = "replica"
            member.report()

    async def promote(self, member_id, fence):
        if fence < self.fence:
            return 409
        self.fence = fence
        member = next((m for m in self.members if m.id == member_id), None)
        if member is None:
            return 409
        if member.role != "primary":
            asyncio.get_running_loop().call_later(self.promote_s, self.lead, member, fence)
        return 200

    def lead(self, member, fence):
        if fence < self.fence:
            return
        term = max(other.term for other in self.members) + 1
        self.promotions.append((now(), member.id, list(member.log)))
        self.record(f"promoted {member.id}, term {term}, log up to {len(member.log)}")
        for other in self.members:
            other.held_term = 0
            other.term = term
            other.role = "primary" if other is member else "replica"
            if other is not member:
                del other.log[len(member.log):]
                other.applied = min(other.applied, len(other.log))
            else:
                other.applied = len(other.log)
            other.report()


async def start_cloud(groups, record, is_down=lambda: False):
    async def handle(_method, path, _query, fields, body):
        if is_down():
            record(f"POST {path} {body} token {fields['fence-token']}: 503")
            return 503, {}
        if path != "/promote":
            return 404, {}
        group = groups.get(body["backend"])
        record(f"POST /promote {body} token {fields['fence-token']} holder {fields['holder']}")
        return (await group.promote(body["id"], int(fields["fence-token"])) if group else 409), {}

    return await serve_http(handle)


_vms = []


def end_all(*_):
    """Ends all processes that were started, also when the script itself is stopped."""
    for vm in _vms:
        vm.end()
    os._exit(2)


class Vm:
    """One process of lycheedoor, started with the run command of the deploy file."""

    def __init__(self, name, zone, store_port, cloud_port, folder, memory_mb=260):
        _vms.append(self)
        self.process = None
        self.name, self.folder = name, Path(folder)
        self.front = free_ports(4)
        self.peers = self.front + 2
        self.settings = self.folder / f"{name}.toml"
        self.settings.write_text(f'''nodeName = "{name}"
role = "vm"
class = "front"
serves = ["front"]
ip = "{HOST}"
zone = "{zone}"
region = "r"
portRange = [{self.peers},{self.peers + 1}]
seeds = []
bootstrap = true
beatMs = 1200
[zones]
{zone} = "r"
[listen]
front = "{HOST}:{self.front}"
ready = "{HOST}:{self.front + 1}"
[limits]
cpuShare = 0.25
cores = 1
memoryMb = {memory_mb}
maxFds = 4300
[bounds]
contactMs = 4000
drainMs = 7000
graceS = 6
lossSlackMs = 200
configMs = 3000
strictRevoke = false
revokeMs = 5000
quotaWindowS = 5
quotaOver = 0.1
quotaSlack = 20
enforceFencing = true
[platform]
addr = "{HOST}:{store_port}"
form = "objects"
writesPerS = 400
readsPerS = 2000
retentionS = 20
valueBytes = 1048576
[cloudApi]
addr = "{HOST}:{cloud_port}"
ratePerS = 50.0
duties = ["failover"]
dutyPerS = 50.0
''')

    def start(self):
        roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        command = roles["vm"]["run"].split()
        log = open(self.folder / f"{self.name}.log", "a")
        environment = {**os.environ, "LYCHEEDOOR_SETTINGS": str(self.settings)}
        self.process = subprocess.Popen(command, cwd=ROOT, env=environment, stdout=log, stderr=log)

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        if self.process is None:
            return
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(HOST, self.front + 1)
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200" in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, seconds=15):
        until = now() + seconds
        while not await self.is_ready():
            if now() > until:
                raise TimeoutError(f"{self.name} does not become ready")
            await asyncio.sleep(0.05)


class Machine:
    """Ends a process that exceeds the memory of its machine and starts it again, as the platform does."""

    restart_s = 1.0

    def __init__(self, vm, memory_mb, record):
        self.vm, self.memory_mb, self.record = vm, memory_mb, record
        self.limit_bytes = memory_mb * 1024 * 1024
        self.state = {"peak": 0, "kills": 0, "exits": 0, "done": 0}

    def resident_bytes(self):
        """Returns the resident memory of the process, or 0 if it has ended."""
        try:
            for line in Path(f"/proc/{self.vm.process.pid}/status").read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) * 1024
        except OSError:
            pass
        return 0

    def ends(self):
        return self.state["kills"] + self.state["exits"]

    def __str__(self):
        return f"{self.vm.name} {self.resident_bytes() / 1e6:.1f} MB"

    async def run(self):
        state, vm = self.state, self.vm
        while True:
            used = self.resident_bytes()
            state["peak"] = max(state["peak"], used)
            ended = vm.process.poll()
            if ended is not None:
                state["exits"] += 1
                self.record(f"{vm.name} has ended by itself with {ended}")
            elif used > self.limit_bytes:
                state["kills"] += 1
                self.record(f"{vm.name} uses {used / 1e6:.1f} MB of {self.memory_mb} MB and is killed; "
                            f"{state['done']} operations since its start")
                vm.end()
            else:
                await asyncio.sleep(0.05)
                continue
            await asyncio.sleep(self.restart_s)
            state["done"] = 0
            vm.start()


def memory_result(machines, wanted_ends, counts, record):
    """Writes the end of the record, prints the result and returns the exit code."""
    for machine in machines:
        state = machine.state
        record(f"{machine.vm.name}: {state['kills']} times over its memory, {state['exits']} other ends, "
               f"peak {state['peak'] / 1e6:.1f} MB")
    record(f"operations: {counts}")
    record.close()
    ends = [machine.ends() for machine in machines]
    peaks = ", ".join(f"{machine.state['peak'] / 1e6:.0f} MB" for machine in machines)
    print(f"ends by themselves: {ends}, peaks: {peaks}, operations: {counts}")
    if counts.get("DONE", 0) < 100:
        return 2
    return 1 if all(end >= wanted_ends for end in ends) else 0


class Caller:
    """A session of a client. `query` returns rows, result, state; raises if the connection ends."""

    ids = itertools.count(1)

    async def open(self, port, database, key):
        self.reader, self.writer = await asyncio.open_connection(HOST, port, limit=2 << 20)
        self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.writer.write(f"START {database} {key}\r\n".encode())
        line = (await self.reader.readuntil(b"\r\n")).decode().strip()
        if not line.startswith("READY"):
            raise ConnectionError(line)
        return self

    @classmethod
    def new_id(cls):
        return f"{next(cls.ids):016x}"

    async def query(self, text, query_id=None):
        query_id = query_id or self.new_id()
        self.writer.write(f"QUERY {query_id} {text}\r\n".encode())
        return await self.answer()

    async def query_ahead(self, texts):
        """Sends several statements at once and returns their results."""
        lines = (f"QUERY {self.new_id()} {text}\r\n" for text in texts)
        self.writer.write("".join(lines).encode())
        return [(await self.answer())[1] for _ in texts]

    async def answer(self):
        rows, result = [], None
        while True:
            line = (await self.reader.readuntil(b"\r\n")).decode()[:-2]
            word, _, rest = line.partition(" ")
            if word == "ROW":
                rows.append(rest)
            elif word in ("DONE", "ERROR"):
                result = line
            elif word == "READY":
                return rows, result, rest.split(" ")[0]

    def close(self):
        self.writer.close()


def configuration(version, routes, groups, tenants, tx_idle_ms=3000):
    """Returns the spec of config/main. routes: (database, type, group, timeout, stale)."""
    return {
        "version": version,
        "routes": [
            {"name": f"r-{database}", "host": database, "prefix": "/", "type": kind, "timeoutMs": timeout,
             "targetLatencyMs": 600, "prio": 2, "backend": group, "attempts": 2, "maxStaleMs": stale,
             "public": False}
            for database, kind, group, timeout, stale in routes
        ],
        "backends": [
            {"name": group.name, "healthPath": "/healthz", "maxConns": conns, "proto": "h1", "tls": False,
             "coldStartS": 0.0, "coldPerS": 0.0, "syncReplicas": group.sync_replicas}
            for group, conns in groups
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000, "txIdleMs": tx_idle_ms},
        "tenants": [
            {"name": name, "apiKeys": [key], "prio": 1, "ratePerS": rate, "burst": rate}
            for name, key, rate in tenants
        ],
    }


def temporary_folder():
    return tempfile.TemporaryDirectory(prefix="lycheedoor-review-")


def run(main):
    """Runs a case and exits with its result, without the noise of connections that are still open."""
    code = 2
    signal.signal(signal.SIGTERM, end_all)
    signal.signal(signal.SIGINT, end_all)
    try:
        code = asyncio.run(_guarded(main))
    finally:
        os._exit(code)


async def _guarded(main):
    try:
        code = await main()
    except Exception:
        traceback.print_exc()
        code = 2
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)
