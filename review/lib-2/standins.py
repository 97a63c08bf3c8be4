"""Stand-ins for the platform's store and promotion interface, for database members and for clients.

They follow PROTOCOL.md and run in the process of the script that uses them, on loopback only.
"""
import json
import os
import signal
import socket
import subprocess
import tempfile
import threading
import time
import urllib.parse
import urllib.request
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
PROGRAM = ROOT / "target/release/lycheedoor-vm"  # as in deploy/system.toml
LOOPBACK = "127.0.0.1"


def free_ports(count):
    """Returns ports that are free now, below the range of the kernel's own choices."""
    found, port = [], 12_000 + os.getpid() % 9_000
    while len(found) < count:
        port += 1
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                continue
        found.append(port)
    return found


def serve(handle):
    """Accepts connections in the background, each handled in a thread; returns the address."""
    listener = socket.socket()
    listener.bind((LOOPBACK, 0))
    listener.listen(256)

    def accept():
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=run, args=(connection,), daemon=True).start()

    def run(connection):
        try:
            handle(connection)
        except OSError:
            pass
        finally:
            connection.close()

    threading.Thread(target=accept, daemon=True).start()
    return "%s:%d" % listener.getsockname()


class Record:
    """The file record.txt of a case: what was sent, answered and run, with the time in seconds."""

    def __init__(self, case):
        self.file = open(Path(case) / "record.txt", "w", encoding="utf-8")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def write(self, text):
        with self.lock:
            self.file.write("%8.3f  %s\n" % (time.monotonic() - self.start, text))
            self.file.flush()


class Store:
    """The platform's store: objects by kind and name, conditional writes, lists and watches."""

    def __init__(self):
        self.changed = threading.Condition()
        self.revision = 100
        self.objects = {}
        self.history = []
        self.promote = lambda holder, token, body: 200
        self.silent_until = 0.0
        self.address = serve(self.handle)

    def be_silent(self, length_s):
        """Answers no call that arrives or would be answered from now on; its connection stays as it is."""
        self.silent_until = time.monotonic() + length_s

    def is_silent(self):
        return time.monotonic() < self.silent_until

    def put(self, kind, name, spec):
        """Writes an object without a condition, as the operator and the members do."""
        with self.changed:
            return self.store(kind, name, spec)

    def remove(self, kind, name):
        with self.changed:
            self.delete(kind, name)

    def store(self, kind, name, spec):
        known = self.objects.get((kind, name))
        if known is not None and known["spec"] == spec:
            return known
        self.revision += 1
        meta = {"name": name, "rev": self.revision, "created": 1, "finalizers": [], "terminating": False}
        item = {"meta": meta, "spec": spec, "status": {}}
        self.objects[(kind, name)] = item
        self.history.append((self.revision, kind, item, False))
        self.changed.notify_all()
        return item

    def delete(self, kind, name):
        item = self.objects.pop((kind, name), None)
        if item is not None:
            self.revision += 1
            gone = {**item, "meta": {**item["meta"], "rev": self.revision}}
            self.history.append((self.revision, kind, gone, True))
            self.changed.notify_all()

    def handle(self, connection):
        reader = connection.makefile("rb")
        while True:
            first = reader.readline().decode()
            if not first:
                return
            headers = {}
            while (line := reader.readline().decode().strip()):
                key, _, value = line.partition(":")
                headers[key.strip().lower()] = value.strip()
            length = int(headers.get("content-length", 0))
            body = json.loads(reader.read(length)) if length else {}
            method, target, _ = first.split(" ")
            # A connection on which a response is lost returns nothing further.
            is_lost = self.is_silent()
            if not is_lost:
                status, answer = self.call(method, target, headers, body)
                is_lost = self.is_silent()
            if is_lost:
                while reader.read(4096):
                    pass
                return
            text = json.dumps(answer).encode()
            head = "HTTP/1.1 %d -\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
            connection.sendall((head % (status, len(text))).encode() + text)

    def call(self, method, target, headers, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = [urllib.parse.unquote(part) for part in url.path.strip("/").split("/")]
        if url.path == "/promote":
            return self.promote(headers.get("holder"), int(headers.get("fence-token", 0)), body), {}
        kind, name = parts[1], parts[2] if len(parts) > 2 else None
        with self.changed:
            if method == "GET" and "watch" in query:
                return self.watch(kind, int(query["watch"]), int(query.get("waitMs", 0)))
            if method == "GET" and name is None:
                items = [item for key, item in sorted(self.objects.items()) if key[0] == kind]
                return 200, {"items": items, "hasMore": False, "currentRev": self.revision}
            name = name or body["meta"]["name"]
            known = self.objects.get((kind, name))
            if method == "GET":
                return (200, known) if known else (404, {})
            if method == "POST":
                return (409, known) if known else (200, self.store(kind, name, body["spec"]))
            if known is None:
                return 404, {}
            expected = body.get("meta", {}).get("rev") or query.get("rev")
            if expected is not None and int(expected) != known["meta"]["rev"]:
                return 409, known
            if method == "DELETE":
                self.delete(kind, name)
                return 200, known
            return 200, self.store(kind, name, body["spec"])

    def watch(self, kind, since, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while True:
            news = [(item, gone) for rev, of, item, gone in self.history if of == kind and rev > since]
            left = end - time.monotonic()
            if news or left <= 0:
                events = [{"object": item, "deleted": gone} for item, gone in news]
                return 200, {"events": events, "currentRev": self.revision}
            self.changed.wait(left)


class Member:
    """A member of a database service: commits get numbers in one log that all its members share."""

    def __init__(self, name, record, rows=None):
        self.name, self.record, self.rows = name, record, rows or (lambda item: "row" + item)
        self.lock = threading.Lock()
        self.number = 0
        self.tenants = {}
        self.address = serve(self.handle)

    def handle(self, connection):
        reader = connection.makefile("r", encoding="utf-8", newline="\r\n")
        state, prepared, wrote, tenant = "I", {}, False, None
        for line in reader:
            words = line.rstrip("\r\n").split(" ")
            answer = ""
            if words[0] == "BYE":
                return
            if words[0] == "START":
                tenant = words[2]
            if words[0] == "QUERY":
                identifier, words = words[1], words[2:]
                if words[0] == "AFTER":
                    words = words[2:]
                text = " ".join(words)
                if words[0] == "EXEC" and words[1] not in prepared:
                    answer = "ERROR NOSTMT %s\r\n" % words[1]
                else:
                    kind = prepared[words[1]] if words[0] == "EXEC" else words[0]
                    answer = "DONE %s\r\n" % ("-" if identifier == "-" else "sig-" + identifier)
                    if words[0] == "BEGIN":
                        state, wrote = "T", False
                    elif words[0] in ("COMMIT", "ROLLBACK"):
                        with self.lock:
                            self.number += words[0] == "COMMIT" and wrote
                        state, wrote = "I", False
                    elif words[0] == "PREPARE":
                        prepared[words[1]] = words[2]
                    elif words[0] == "RESET":
                        prepared.clear()
                    elif words[0] == "STATUS":
                        answer = "ROW primary 1 1.%d 1 0 0 1\r\n" % self.number + answer
                    elif kind == "READ":
                        answer = "ROW %s\r\n" % self.rows(words[1]) + answer
                    elif kind == "WRITE":
                        wrote = True
                        with self.lock:
                            self.number += state == "I"
                    if identifier != "-":
                        self.tenants[identifier] = tenant
                        self.record.write("member %s ran %s %.60s for %s" % (self.name, identifier, text, tenant))
            connection.sendall((answer + "READY %s 1.%d\r\n" % (state, self.number)).encode())

    def entry(self, service, zone, role):
        return {"backend": service, "addr": self.address, "zone": zone, "version": "1", "slots": 3,
                "state": "ready", "coldLeftMs": 0, "seq": 1, "born": 1, "dbRole": role}


class Vm:
    """One machine of the system: a process with its settings file, restarted as the platform does."""

    def __init__(self, folder, name, zone, store, record, memory_mb=260):
        self.name, self.record, self.memory_mb = name, record, memory_mb
        self.front, self.ready, self.first, self.last = free_ports_of_vm()
        self.settings = Path(folder) / (name + ".toml")
        self.settings.write_text(f"""\
nodeName = "{name}"
role = "vm"
class = "front"
serves = ["front"]
ip = "{LOOPBACK}"
zone = "{zone}"
region = "region"
portRange = [{self.first},{self.last}]
seeds = []
bootstrap = true
[listen]
front = "{LOOPBACK}:{self.front}"
ready = "{LOOPBACK}:{self.ready}"
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
quotaWindowS = 5
quotaOver = 0.1
quotaSlack = 20
enforceFencing = true
[platform]
addr = "{store.address}"
form = "objects"
[cloudApi]
addr = "{store.address}"
duties = ["failover"]
""")
        self.process = None

    def start(self):
        log = open(self.settings.with_suffix(".log"), "ab")
        self.process = subprocess.Popen(
            [PROGRAM, "--settings", str(self.settings)], cwd=ROOT, stdout=log, stderr=log)
        log.close()
        self.record.write("%s started, process %d" % (self.name, self.process.pid))

    def is_ready(self):
        try:
            with urllib.request.urlopen(f"http://{LOOPBACK}:{self.ready}/readyz", timeout=1) as answer:
                return answer.status == 200
        except OSError:
            return False

    def wait_ready(self, timeout_s=20):
        end = time.monotonic() + timeout_s
        while not self.is_ready():
            if time.monotonic() > end:
                raise CannotRun("%s did not become ready" % self.name)
            time.sleep(0.05)

    def send_signal(self, number):
        self.record.write("%s gets %s" % (self.name, signal.Signals(number).name))
        self.process.send_signal(number)

    def resident_mb(self):
        """Returns the memory of the process as the kernel counts it, in megabytes of 10^6 bytes."""
        status = Path("/proc/%d/status" % self.process.pid).read_text()
        kb = [line.split()[1] for line in status.splitlines() if line.startswith("VmRSS:")]
        return int(kb[0]) * 1024 / 1e6 if kb else 0.0

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


PORTS = []


def free_ports_of_vm():
    global PORTS
    if len(PORTS) < 4:
        PORTS = free_ports(64)
    taken, PORTS = PORTS[:4], PORTS[4:]
    while taken[3] != taken[2] + 1:
        if not PORTS:
            PORTS = free_ports(64)
        taken = [*taken[:2], taken[3], PORTS.pop(0)]
    return taken


class CannotRun(Exception):
    """The case could not be played."""


class Client:
    """A client's session. `read_rate` limits how many bytes a second arrive over its link."""

    def __init__(self, vm, database, key, read_rate=None):
        self.socket = socket.socket()
        if read_rate is not None:
            # The segments and window of a client behind a slow link, instead of loopback's.
            self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1400)
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.socket.connect((LOOPBACK, vm.front))
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket.settimeout(20)
        self.read_rate, self.buffer = read_rate, b""
        self.socket.sendall(f"START {database} {key}\r\n".encode())
        line = self.read_line()
        if not line.startswith("READY"):
            raise CannotRun("START was answered with %r" % line)

    def read_line(self):
        """Returns the next line, or None if the connection has ended."""
        while b"\r\n" not in self.buffer:
            limit = 65536 if self.read_rate is None else max(1, int(self.read_rate / 200))
            try:
                data = self.socket.recv(limit)
            except ConnectionError:
                data = b""
            if not data:
                return None
            if self.read_rate is not None:
                time.sleep(len(data) / self.read_rate)
            self.buffer += data
        line, _, self.buffer = self.buffer.partition(b"\r\n")
        return line.decode()

    def query(self, identifier, text):
        """Sends a statement and returns its lines up to READY; None at the end if the connection ended."""
        self.socket.sendall(f"QUERY {identifier} {text}\r\n".encode())
        lines = []
        while True:
            lines.append(self.read_line())
            if lines[-1] is None or lines[-1].startswith("READY"):
                return lines


def configuration(services, timeout_ms=2000, rate_per_s=2000, tenants=("acme",)):
    """A configuration with one `primary` route for each service, named db-SERVICE."""
    routes = [{"host": "db-" + service, "type": "primary", "timeoutMs": timeout_ms,
               "targetLatencyMs": 600, "prio": 1, "backend": service, "maxStaleMs": 1500} for service in services]
    backends = [{"name": service, "maxConns": 21, "syncReplicas": 0} for service in services]
    rules = [{"name": name, "apiKeys": ["key-" + name], "ratePerS": rate_per_s, "burst": rate_per_s}
             for name in tenants]
    return {"version": 3, "routes": routes, "backends": backends, "limits": {"txIdleMs": 3000}, "tenants": rules}


def play(case, run):
    """Runs a case in a temporary folder; exits with 1 if the rule was broken, 0 if it held, 2 if neither."""
    record = Record(case)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write("TROUBLE=%d" % trouble)
    if not PROGRAM.is_file():
        record.write("cannot run: %s is missing" % PROGRAM.name)
        raise SystemExit(2)
    vms = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            broken = run(folder, record, trouble, vms)
        except (CannotRun, OSError) as error:
            record.write("cannot run: %s" % error)
            raise SystemExit(2)
        finally:
            for vm in vms:
                vm.end()
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                for log in Path(folder).glob("*.log"):
                    (Path(keep) / log.name).write_bytes(log.read_bytes())
    record.write("rule broken" if broken else "rule held")
    raise SystemExit(1 if broken else 0)
