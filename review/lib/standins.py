"""Stand-ins for the platform's store, the platform's promotion call, database members and clients,
and a helper that starts the deployed program. Everything listens on loopback, on free ports.

They follow PROTOCOL.md; where it is silent they behave like a sound server, client or platform.
"""

import atexit
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections import deque
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "127.0.0.1"
WATCHDOG_S = 110


class Record:
    """The lines of record.txt, with the time since the start in seconds."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.started

    def line(self, text):
        with self.lock:
            if not self.file.closed:
                self.file.write(f"{self.now():9.4f}  {text}\n")
                self.file.flush()


def listen(backlog=512):
    server = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    server.bind((HOST, 0))
    server.listen(backlog)
    return server


def serve(server, handle):
    def accept():
        while True:
            try:
                connection, _ = server.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=guarded, args=(handle, connection), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    return "%s:%d" % server.getsockname()


def guarded(handle, connection):
    try:
        handle(connection)
    except (OSError, ValueError):
        pass
    finally:
        connection.close()


def read_http(reader):
    """Returns method, target, headers and body of the next request, or None at the end."""
    first = reader.readline()
    if not first:
        return None
    method, target, _ = first.decode("latin-1").split(" ", 2)
    headers = {}
    while (line := reader.readline()) not in (b"\r\n", b""):
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    body = reader.read(int(headers.get("content-length", "0")))
    return method, target, headers, body


def http_response(status, body):
    text = json.dumps(body).encode("ascii")
    head = f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {len(text)}\r\n\r\n"
    return head.encode("ascii") + text


class Store:
    """The platform's metadata store: objects with one revision counter, lists and watches."""

    def __init__(self, record):
        self.record = record
        self.changed = threading.Condition()
        self.revision = 100
        self.objects = {}
        self.events = []
        self.addr = serve(listen(), self.handle)

    def put(self, kind, name, spec):
        """A write of the operator or of a member; returns when the store has acknowledged it."""
        with self.changed:
            if spec is None:
                self._remove(kind, name)
            else:
                self._set(kind, name, spec)
        self.record.line(f"store acknowledges {kind}/{name} {json.dumps(spec)[:300]}")
        return time.monotonic()

    def _set(self, kind, name, spec):
        known = self.objects.get((kind, name))
        if known and known["spec"] == spec:
            return known
        self.revision += 1
        created = known["meta"]["created"] if known else self.revision
        meta = {"name": name, "rev": self.revision, "created": created, "finalizers": [], "terminating": False}
        item = {"meta": meta, "spec": spec, "status": None}
        self.objects[kind, name] = item
        self.events.append((self.revision, kind, item, False))
        self.changed.notify_all()
        return item

    def _remove(self, kind, name):
        item = self.objects.pop((kind, name), None)
        if item:
            self.revision += 1
            self.events.append((self.revision, kind, item, True))
            self.changed.notify_all()

    def handle(self, connection):
        reader = connection.makefile("rb")
        while request := read_http(reader):
            status, body = self.answer(*request)
            connection.sendall(http_response(status, body))

    def answer(self, method, target, _headers, body):
        url = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        parts = [unquote(part) for part in url.path.split("/")[2:]]
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        if method == "GET":
            return self.get(kind, name, query)
        body = json.loads(body) if body else {}
        with self.changed:
            if method == "POST":
                name = body["meta"]["name"]
                if (kind, name) in self.objects:
                    return 409, self.objects[kind, name]
                return 200, self._set(kind, name, body.get("spec"))
            known = self.objects.get((kind, name))
            if known is None:
                return 404, {"error": "no such object"}
            rev = query.get("rev") or body.get("meta", {}).get("rev")
            if rev is not None and int(rev) != known["meta"]["rev"]:
                return 409, known
            if method == "DELETE":
                self._remove(kind, name)
                return 200, known
            return 200, self._set(kind, name, body.get("spec"))

    def get(self, kind, name, query):
        with self.changed:
            if name is not None:
                item = self.objects.get((kind, name))
                return (200, item) if item else (404, {"error": "no such object"})
            if "watch" not in query:
                names = sorted(key[1] for key in self.objects if key[0] == kind)
                names = [entry for entry in names if entry > query.get("after", "")]
                items = [self.objects[kind, entry] for entry in names]
                return 200, {"items": items, "hasMore": False, "currentRev": self.revision}
            since = int(query["watch"])
            until = time.monotonic() + int(query.get("waitMs", "0")) / 1000
            while True:
                events = [event for event in self.events if event[0] > since and event[1] == kind]
                left = until - time.monotonic()
                if events or left <= 0:
                    break
                self.changed.wait(left)
            found = [{"deleted": deleted, "object": item} for _, _, item, deleted in events]
            return 200, {"events": found, "currentRev": self.revision}


class Cloud:
    """The platform's promotion call, which checks fencing tokens."""

    def __init__(self, record, groups):
        self.record = record
        self.groups = {group.name: group for group in groups}
        self.highest = {}
        self.lock = threading.Lock()
        self.addr = serve(listen(), self.handle)

    def handle(self, connection):
        reader = connection.makefile("rb")
        while request := read_http(reader):
            _, _, headers, body = request
            body = json.loads(body)
            name, member = body["backend"], body["id"]
            token, holder = int(headers["fence-token"]), headers["holder"]
            with self.lock:
                is_old = token < self.highest.get(name, 0)
                if not is_old:
                    self.highest[name] = token
            accepted = not is_old and self.groups[name].promote(member)
            status = 200 if accepted else 409
            self.record.line(f"promote {name} {member} by {holder} token {token}: {status}")
            connection.sendall(http_response(status, {}))


class Group:
    """A service: members with one log that the primary extends and the replicas apply later."""

    def __init__(self, name, record, store, lag_s=0.06, promote_s=0.3, sync_replicas=0):
        self.name, self.record, self.store = name, record, store
        self.lag_s, self.promote_s, self.sync_replicas = lag_s, promote_s, sync_replicas
        self.lock = threading.RLock()
        self.term = 3
        self.members = []
        self.promotions = []  # (when it took effect, member, its log)

    def primary(self):
        return next((member for member in self.members if member.role == "primary"), None)

    def commit(self, member, writes, request):
        """Appends the writes of one commit to the primary's log; replicas receive it after the lag."""
        with self.lock:
            if member.role != "primary":
                return False
            entry = (self.term, len(member.log) + 1, tuple(writes), request)
            member.append(entry)
            now = time.monotonic()
            others = [other for other in self.members if other is not member]
            for other in others:
                if not member.is_dark and not other.is_dark and not member.is_cut_off:
                    other.incoming.append((now + other.lag_s, entry))
        while self.sync_replicas and not any(entry in other.received() for other in others):
            if member.role != "primary":
                return False
            time.sleep(0.002)
        return True

    def promote(self, name):
        chosen = next((member for member in self.members if member.id == name and not member.is_dark), None)
        if chosen is None:
            return False
        if chosen.role != "primary":
            threading.Timer(self.promote_s, self._lead, [chosen]).start()
        return True

    def _lead(self, chosen):
        with self.lock:
            if chosen.role == "primary":
                return
            chosen.receive(time.monotonic())
            self.term += 1
            self.promotions.append((time.monotonic(), chosen, list(chosen.log)))
            for member in self.members:
                member.role = "primary" if member is chosen else "replica"
                if not member.is_dark:
                    member.follow(chosen)
        self.record.line(f"{chosen.id} leads term {self.term} of {self.name} with log {len(chosen.log)}")
        for member in self.members:
            if not member.is_dark:
                member.register()


class Member:
    """A database member. Reads, writes and commits occupy a slot for their work time."""

    def __init__(self, group, name, zone, role, work_s=0.02, slots=3, queue=24, max_conns=21):
        self.group, self.id, self.zone, self.role = group, name, zone, role
        self.work_s, self.max_conns, self.queue = work_s, max_conns, queue
        self.slots_count = slots
        self.slots = threading.Semaphore(slots)
        self.waiting = 0
        self.connections = 0
        self.log = []
        self.term = group.term
        self.lag_s = group.lag_s
        self.is_cut_off = False  # from the other members
        self.incoming = deque()
        self.lit = threading.Event()
        self.lit.set()
        self.state = "ready"
        self.cold_left_ms = 0
        self.born = int(time.time() * 1000)
        self.runs = []  # (arrived at, id, text, tenant, transaction number)
        self.keeps_logs_read = True
        self.logs_read = {}  # id of a read -> ids of the commits in the log that it ran on
        self.lock = threading.Lock()
        self.record = group.record
        self.counter = 0
        self.signed = {}  # signature -> id of the request
        group.members.append(self)
        self.addr = serve(listen(), self.handle)

    def register(self):
        """Writes the member's entry to the store; returns when it is acknowledged."""
        entry = {
            "backend": self.group.name, "addr": self.addr, "zone": self.zone, "version": "v1",
            "slots": self.slots_count, "state": self.state, "coldLeftMs": self.cold_left_ms,
            "dbRole": self.role, "seq": 1, "born": self.born,
        }
        return self.group.store.put("servers", self.id, entry)

    @property
    def is_dark(self):
        return not self.lit.is_set()

    def go_dark(self):
        """Loses power: what it has not sent is not sent, and what it gets is not answered."""
        self.record.line(f"{self.id} is dark, log {self.term}.{len(self.log)}")
        self.lit.clear()

    def come_back(self):
        """Starts again with its log; it follows another primary if one was promoted."""
        with self.group.lock:
            self.lit.set()
            primary = self.group.primary()
            if primary is not self and not primary.is_dark:
                self.follow(primary)
        self.born = int(time.time() * 1000)
        self.record.line(f"{self.id} is back as {self.role}")
        self.register()

    def follow(self, primary):
        self.incoming.clear()
        self.log, self.term = list(primary.log), self.group.term

    def received(self):
        self.receive(time.monotonic())
        return self.log[-64:]

    def append(self, entry):
        self.log.append(entry)

    def receive(self, now):
        with self.group.lock:
            while not self.is_dark and self.incoming and self.incoming[0][0] <= now:
                self.append(self.incoming.popleft()[1])

    def position(self):
        self.receive(time.monotonic())
        return (self.term, len(self.log))

    def handle(self, connection):
        self.lit.wait()
        reader = connection.makefile("rb")
        words = reader.readline().decode().rstrip("\r\n").split(" ")
        wrong = len(words) > 3 and words[3] != self.id
        if words[0] != "START" or words[1] != self.group.name or wrong:
            connection.sendall(f"ERROR MISROUTED {self.id}\r\n".encode())
            return
        with self.lock:
            is_full = self.connections >= self.max_conns
            self.connections += 0 if is_full else 1
        if is_full:
            connection.sendall(b"ERROR MAXCONN -\r\n")
            return
        try:
            time.sleep(0.012)
            connection.sendall(self.ready("I"))
            Session(self, connection, words[2]).run(reader)
        finally:
            with self.lock:
                self.connections -= 1

    def ready(self, state):
        term, number = self.position()
        return f"READY {state} {term}.{number}\r\n".encode()

    def signature(self, request):
        with self.lock:
            self.counter += 1
            signature = f"{self.id}.{self.counter}.{random.getrandbits(48):x}"
            self.signed[signature] = request
            return signature

    def take_slot(self):
        with self.lock:
            if self.waiting >= self.queue + self.slots_count:
                return False
            self.waiting += 1
        self.slots.acquire()
        return True

    def free_slot(self):
        self.slots.release()
        with self.lock:
            self.waiting -= 1


class Session:
    """One connection at a member."""

    numbers = iter(range(1, 1 << 30))

    def __init__(self, member, connection, tenant):
        self.member, self.connection, self.tenant = member, connection, tenant
        self.transaction = None  # None, or {"plain", "writes", "failed", "number", "wrote"}
        self.values, self.prepared = {}, {}

    def run(self, reader):
        while line := reader.readline():
            line = line.decode().rstrip("\r\n")
            if line == "BYE":
                return
            if self.member.is_dark:
                return self.hang()
            _, request, text = line.split(" ", 2)
            rows, result = self.answer(request, text)
            if self.member.is_dark:
                return self.hang()
            out = b"".join(f"ROW {row}\r\n".encode() for row in rows)
            self.connection.sendall(out + f"{result}\r\n".encode() + self.member.ready(self.state()))

    def hang(self):
        """A connection from before a loss of power: silent, and reset once power is back."""
        self.member.lit.wait()

    def state(self):
        if self.transaction is None:
            return "I"
        return "E" if self.transaction["failed"] else "T"

    def error(self, code):
        if self.transaction is not None:
            self.transaction["failed"] = True
        return [], f"ERROR {code} {self.member.id}"

    def answer(self, request, text):
        member, done = self.member, ([], "DONE -")
        required = None
        if text.startswith("AFTER "):
            _, position, text = text.split(" ", 2)
            required = tuple(int(part) for part in position.split("."))
        word, _, rest = text.partition(" ")
        if word == "STATUS":
            term, number = member.position()
            return [f"{member.role} {term} {term}.{number} 0 0 0 {member.connections}"], "DONE -"
        if word in ("PAUSE", "RESUME", "STEPDOWN"):
            if word == "STEPDOWN" and member.role == "primary" and int(rest) > member.term:
                with member.group.lock:
                    member.role = "replica"
                member.record.line(f"{member.id} steps down")
                threading.Thread(target=member.register, daemon=True).start()
            term, number = member.position()
            return [f"{member.role} {term} {term}.{number} 0 0 0 {member.connections}"], "DONE -"
        if word == "RESET":
            self.values, self.prepared = {}, {}
            return done
        if self.transaction and self.transaction["failed"] and word not in ("ROLLBACK", "COMMIT"):
            return [], "ERROR MALFORMED -"
        if word == "SET":
            name, _, value = rest.partition(" ")
            self.values[name] = value
            return done
        if word == "PREPARE":
            name, _, shape = rest.partition(" ")
            self.prepared[name] = shape
            return done
        if word == "CLOSE":
            self.prepared.pop(rest, None)
            return done
        if required is not None and member.position() < required:
            return self.error("LAGGING")
        if word == "BEGIN":
            plain = rest != "READ"
            if plain and member.role != "primary":
                return self.error("READONLY")
            number = next(self.numbers)
            self.transaction = {"plain": plain, "writes": [], "failed": False, "number": number}
            return done
        if word == "ROLLBACK":
            self.transaction = None
            return done
        if word == "COMMIT" and (self.transaction is None or self.transaction["failed"]):
            self.transaction = None
            return [], "ERROR ABORTED -"
        access, item, data = word, *((rest.split(" ", 1) + [""])[:2])
        if word == "EXEC":
            if item not in self.prepared:
                return self.error("NOSTMT")
            access = self.prepared[item].split(" ")[0]
            item, _, data = data.partition(" ")
        return self.work(request, text, access, item, data)

    def work(self, request, text, access, item, data):
        member, open_one = self.member, self.transaction
        arrived = time.monotonic()
        member.runs.append((arrived, request, text, self.tenant, open_one and open_one["number"]))
        if not member.take_slot():
            return self.error("BUSY")
        try:
            lost_lead = open_one and open_one["plain"] and member.role != "primary"
            is_empty_commit = access == "COMMIT" and not open_one["writes"]
            if (access == "WRITE" or lost_lead) and member.role != "primary" and not is_empty_commit:
                return self.error("READONLY")
            member.receive(time.monotonic())
            time.sleep(member.work_s)
            if access == "READ":
                row, number = self.read(item, request)
                member.record.line(f"{member.id} runs {request} {text}: '{row}' of log {member.term}.{number}")
                return [row], f"DONE {member.signature(request)}"
            if access == "WRITE" and open_one:
                open_one["writes"].append((item, data))
                return [], f"DONE {member.signature(request)}"
            writes = open_one["writes"] if open_one else [(item, data)]
            self.transaction = None
            if writes and not member.group.commit(member, writes, request):
                return [], f"ERROR READONLY {member.id}"
            member.record.line(f"{member.id} runs {request} {text}: log {member.term}.{len(member.log)}")
            return [], f"DONE {member.signature(request)}"
        finally:
            member.free_slot()

    def read(self, item, request):
        with self.member.group.lock:
            log = self.member.log
            if self.member.keeps_logs_read:
                self.member.logs_read[request] = {entry[3] for entry in log}
            for _, _, writes, _ in reversed(log):
                for name, data in writes:
                    if name == item:
                        return data, len(log)
            return "", len(log)


class Proxy:
    """Forwards connections to an address; while it is cut, bytes and new connections go nowhere."""

    def __init__(self, target):
        self.target = target
        self.is_cut = threading.Event()
        self.is_open = threading.Event()
        self.is_open.set()
        self.addr = serve(listen(), self.handle)

    def cut(self):
        self.is_open.clear()

    def heal(self):
        self.is_open.set()

    def handle(self, connection):
        self.is_open.wait()
        host, port = self.target.rsplit(":", 1)
        onward = socket.create_connection((host, int(port)))
        onward.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        back = threading.Thread(target=guarded, args=(lambda _: self.copy(onward, connection), onward), daemon=True)
        back.start()
        self.copy(connection, onward)
        back.join()

    def copy(self, source, sink):
        try:
            while data := source.recv(65536):
                self.is_open.wait()
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            for end in (source, sink):
                try:
                    end.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass


class Client:
    """A client session: one request at a time, the next one after READY."""

    def __init__(self, addr, database, key, timeout_s=20):
        host, port = addr.rsplit(":", 1)
        self.socket = socket.create_connection((host, int(port)), timeout=timeout_s)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.reader = self.socket.makefile("rb")
        self.socket.sendall(f"START {database} {key}\r\n".encode())
        first = self.reader.readline().decode().rstrip("\r\n")
        if not first.startswith("READY"):
            raise ConnectionError(first or "closed")

    def query(self, text, request=None):
        """Returns the rows, the result line and the READY line; the last is None after a close."""
        request = request or f"{random.getrandbits(64):016x}"
        rows, result = [], None
        try:
            self.socket.sendall(f"QUERY {request} {text}\r\n".encode())
            while line := self.reader.readline():
                line = line.decode().rstrip("\r\n")
                if line.startswith("ROW "):
                    rows.append(line[4:])
                elif line.startswith("READY "):
                    return rows, result, line
                else:
                    result = line
        except OSError:
            pass
        return rows, result, None

    def close(self):
        try:
            self.socket.sendall(b"BYE\r\n")
        except OSError:
            pass
        self.socket.close()


def free_ports(count):
    held = [listen() for _ in range(count)]
    ports = [server.getsockname()[1] for server in held]
    for server in held:
        server.close()
    return ports


def free_port_pair():
    for _ in range(500):
        first = random.randrange(14000, 30000, 2)
        held = []
        try:
            for port in (first, first + 1):
                server = socket.socket()
                server.bind((HOST, port))
                held.append(server)
            return first
        except OSError:
            continue
        finally:
            for server in held:
                server.close()
    raise OSError("no free pair of ports")


class Vm:
    """A process of the system, started with the command of the deploy file."""

    def __init__(self, fleet, name, zone, store_addr=None):
        self.fleet, self.name, self.zone = fleet, name, zone
        self.front, self.ready_port = (f"{HOST}:{port}" for port in free_ports(2))
        peers = free_port_pair()
        self.settings = fleet.folder / f"{name}.toml"
        zones = "\n".join(f'{zone} = "qld"' for zone in fleet.zones)
        self.settings.write_text(SETTINGS.format(
            name=name, zone=zone, first=peers, last=peers + 1, zones=zones, front=self.front,
            ready=self.ready_port, store=store_addr or fleet.store.addr, cloud=fleet.cloud.addr, ip=HOST))
        self.log = fleet.folder / f"{name}.log"
        self.process = None

    def start(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["vm"]["run"].split(" ")
        command[0] = str(ROOT / command[0])
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["LYCHEEDOOR_SETTINGS"] = str(self.settings)
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, env=environment, stdout=log, stderr=log)
        self.fleet.record.line(f"{self.name} starts, process {self.process.pid}")
        return self

    def signal(self, number):
        self.fleet.record.line(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)
        return time.monotonic()

    def is_ready(self):
        host, port = self.ready_port.rsplit(":", 1)
        try:
            with socket.create_connection((host, int(port)), timeout=0.5) as probe:
                probe.sendall(b"GET /readyz HTTP/1.1\r\nHost: vm\r\n\r\n")
                return b" 200 " in probe.recv(256)
        except OSError:
            return False

    def wait_ready(self, limit_s=15):
        until = time.monotonic() + limit_s
        while not self.is_ready():
            if time.monotonic() > until:
                return False
            time.sleep(0.02)
        self.fleet.record.line(f"{self.name} is ready")
        return True

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Fleet:
    """A small deployment: store, promotion call, services and VMs."""

    deployments = []  # all that this program has started

    def __init__(self, folder, zones=("qld-a", "qld-b", "qld-c"), record=None):
        self.deployments.append(self)
        self.is_first = record is None
        self.record = record or Record(folder)
        self.zones = zones
        self.temporary = tempfile.TemporaryDirectory(prefix="lycheedoor-review-")
        self.folder = Path(self.temporary.name)
        self.store = Store(self.record)
        self.groups, self.vms = [], []
        self.cloud = None
        if self.is_first:
            self.record.line(f"TROUBLE={int(TROUBLE)}")
            atexit.register(self.end_all)
            signal.signal(signal.SIGTERM, lambda *_: self.finish(2, "ended by SIGTERM"))
            watchdog = threading.Timer(WATCHDOG_S, self.give_up)
            watchdog.daemon = True
            watchdog.start()

    def group(self, name, work_s=0.02, lag_s=0.06, sync_replicas=0, zones=None, **options):
        group = Group(name, self.record, self.store, lag_s, sync_replicas=sync_replicas)
        for index, zone in enumerate(zones or self.zones):
            role = "primary" if index == 0 else "replica"
            Member(group, f"i-{name}-{index}", zone, role, work_s, **options)
        self.groups.append(group)
        return group

    def begin(self):
        self.cloud = Cloud(self.record, self.groups)
        for group in self.groups:
            for member in group.members:
                member.register()

    def vm(self, name, zone, store_addr=None):
        vm = Vm(self, name, zone, store_addr)
        self.vms.append(vm)
        return vm

    def start_all(self):
        for vm in self.vms:
            vm.start()
        if not all(vm.wait_ready() for vm in self.vms):
            self.finish(2, "a VM did not become ready")

    def end(self):
        """Ends the processes of this deployment."""
        keep = os.environ.get("KEEP_LOGS")
        for vm in self.vms:
            vm.end()
            if keep and vm.log.exists():
                (Path(keep) / vm.log.name).write_bytes(vm.log.read_bytes())
        self.temporary.cleanup()

    def end_all(self):
        for fleet in self.deployments:
            fleet.end()

    def finish(self, code, text):
        self.record.line(text)
        self.end_all()
        self.record.line(f"exit {code}")
        print(text, flush=True)
        os._exit(code)

    def give_up(self):
        self.finish(2, "the case took too long")


def config(version, routes, groups, tenants, **limits):
    """A configuration as in the pages. `routes`: host -> (service, type, fields)."""
    return {
        "version": version,
        "routes": [{
            "name": f"r-{host}", "host": host, "prefix": "/", "type": kind, "timeoutMs": 1000,
            "targetLatencyMs": 400, "prio": 1, "backend": service, "attempts": 2, "public": False, **fields,
        } for host, (service, kind, fields) in routes.items()],
        "backends": [{
            "name": name, "healthPath": "/healthz", "maxConns": 21, "proto": "h1", "tls": False,
            "coldStartS": 0.0, "coldPerS": 0.0, "syncReplicas": 0, **fields,
        } for name, fields in groups.items()],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000, "txIdleMs": 3000, **limits},
        "tenants": [{"name": name, "apiKeys": [f"key-{name}"], "prio": 1, "ratePerS": 134, "burst": 134}
                    for name in tenants],
    }


SETTINGS = """nodeName = "{name}"
role = "vm"
class = "front"
serves = ["front"]
ip = "{ip}"
zone = "{zone}"
region = "qld"
portRange = [{first},{last}]
seeds = []
bootstrap = true
lossCounts = false
discovery = "platform"
entry = "vip"
beatMs = 1200
contracts = ["base","drain","config","cost","recover","sql","tenants","quota","places","platform"]
[zones]
{zones}
[listen]
front = "{front}"
ready = "{ready}"
[limits]
cpuShare = 0.25
cores = 1
memoryMb = 260
maxFds = 4300
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seedLagS = 3
addrReuseS = 2
contactMs = 4000
ackMs = 5000
catchUpS = 4
drainMs = 7000
graceS = 6
lossSlackMs = 200
configMs = 3000
rollbackSlackMs = 250
maxSkewMs = 12000
strictRevoke = false
revokeMs = 5000
quotaWindowS = 5
quotaOver = 0.1
quotaSlack = 20
coldOver = 1.5
coldSlack = 5
evacMs = 5000
recoverS = 12
enforceFencing = true
thawMs = 300
[platform]
addr = "{store}"
form = "objects"
writesPerS = 400
readsPerS = 2000
retentionS = 20
valueBytes = 1048576
ttlMinMs = 1000
[cloudApi]
addr = "{cloud}"
ratePerS = 50.0
duties = ["failover"]
dutyPerS = 50.0
"""
