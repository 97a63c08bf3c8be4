"""Planned stop of a VM while client sessions send one statement after the other."""

import signal
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
sys.dont_write_bytecode = True

from standins import TROUBLE, Client, Fleet, config  # noqa: E402

GRACE_S = 6.0
TIMEOUT_S = 1.0
SESSIONS = 12
STOP_AT_S = 4.0

fleet = Fleet(FOLDER)
ledger = fleet.group("ledger", work_s=0.06)
fleet.begin()
routes = {"issue": ("ledger", "primary", {"timeoutMs": int(TIMEOUT_S * 1000)})}
fleet.store.put("config", "main", config(7, routes, {"ledger": {}}, ["t-a", "t-b", "t-c", "t-d"]))
stopped = fleet.vm("front-qld-a-1", "qld-a")
fleet.vm("front-qld-b-1", "qld-b")
fleet.start_all()
time.sleep(1.5)

requests = []  # (sent at, ended at, id, answer)
lock = threading.Lock()
is_over = threading.Event()


def use_session(number):
    """One session: each operation is a single write, sent when the answer to the last has arrived."""
    client = Client(stopped.front, "issue", f"key-t-{'abcd'[number % 4]}")
    serial = 0
    while not is_over.is_set():
        serial += 1
        request = f"s{number:02d}-{serial:05d}"
        sent = time.monotonic()
        _, result, ready = client.query(f"WRITE item{number} v{serial}", request)
        ended = time.monotonic()
        with lock:
            requests.append((sent, ended, request, result, ready))
        fleet.record.line(f"client {number} sent {request}, after {ended - sent:.3f} s: {result} / {ready}")
        if ready is None or not ready.startswith("READY I"):
            return
    client.close()


threads = [threading.Thread(target=use_session, args=(number,), daemon=True) for number in range(SESSIONS)]
for thread in threads:
    thread.start()
time.sleep(STOP_AT_S)
stop_at = time.monotonic()
if TROUBLE:
    stop_at = stopped.signal(signal.SIGTERM)
time.sleep(GRACE_S + 1.2)
is_over.set()
for thread in threads:
    thread.join(3)

arrived = {run[1] for member in ledger.members for run in member.runs}
lost = []
for sent, ended, request, _, ready in requests:
    since_stop = sent - stop_at
    is_planned = 0 <= ended - stop_at <= GRACE_S + 1
    may_be_cut = since_stop <= 3.0 or ended - sent >= TIMEOUT_S
    if ready is None and request in arrived and is_planned and not may_be_cut:
        lost.append(request)
        fleet.record.line(f"LOST {request}: sent {since_stop:.3f} s after SIGTERM, passed on to a member, "
                          f"connection ended {ended - stop_at:.3f} s after SIGTERM without an answer")
answered = sum(1 for entry in requests if entry[4])
text = f"{len(requests)} requests, {answered} answered, {len(lost)} lost around the stop"
fleet.finish(1 if lost else 0, text)
