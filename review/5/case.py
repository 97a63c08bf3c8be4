"""A route moves to another service while the VM of the clients is cut off from the store."""

import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
sys.dont_write_bytecode = True

from standins import TROUBLE, Client, Fleet, Proxy, config  # noqa: E402

CUT_S = 5.0
ROLLBACK_SLACK_S = 0.25
SESSIONS = 12
TENANTS = ["t-a", "t-b", "t-c", "t-d"]

fleet = Fleet(FOLDER)
old = fleet.group("ledger", work_s=0.004)
new = fleet.group("ledger2", work_s=0.004, zones=("qld-c", "qld-a", "qld-a"), lag_s=0.06)
fleet.begin()
rule = {"timeoutMs": 1000, "maxStaleMs": 2500}
services = {"ledger": {}, "ledger2": {}}
fleet.store.put("config", "main", config(7, {"reconcile": ("ledger", "session", rule)}, services, TENANTS))
fleet.vm("front-qld-a-1", "qld-a")
proxy = Proxy(fleet.store.addr)
front = fleet.vm("front-qld-b-1", "qld-b", proxy.addr)
fleet.start_all()
time.sleep(1.5)
is_over = threading.Event()
reads = []  # (sent at, id, rows, write that the session had acknowledged before)


def use_session(number):
    """Writes an item and reads it, again and again."""
    client = Client(front.front, "reconcile", f"key-{TENANTS[number % 4]}")
    serial = 0
    while not is_over.is_set():
        serial += 1
        request, data = f"w{number:02d}-{serial:05d}", f"v{serial}"
        _, result, ready = client.query(f"WRITE item{number} {data}", request)
        if ready is None:
            return
        if not result.startswith("DONE"):
            time.sleep(0.05)
            continue
        sent, read = time.monotonic(), f"r{number:02d}-{serial:05d}"
        rows, result, ready = client.query(f"READ item{number}", read)
        if ready is None:
            return
        if result.startswith("DONE"):
            reads.append((sent, read, rows, request, data, ready))
        time.sleep(0.02)
    client.close()


for number in range(SESSIONS):
    threading.Thread(target=use_session, args=(number,), daemon=True).start()
time.sleep(2)
if TROUBLE:
    proxy.cut()
    fleet.record.line(f"{front.name} is cut off from the store")
time.sleep(1)
fleet.store.put("config", "main", config(9, {"reconcile": ("ledger2", "session", rule)}, services, TENANTS))
time.sleep(CUT_S - 1)
if TROUBLE:
    proxy.heal()
    fleet.record.line(f"{front.name} reaches the store again")
time.sleep(4)
is_over.set()
time.sleep(1)

services_of = {}  # id of a request -> (when it arrived at a member, the service that ran it)
for group in (old, new):
    for member in group.members:
        for arrived, request, *_ in member.runs:
            services_of[request] = (arrived, group)
seen_at = min((arrived for arrived, group in services_of.values() if group is new), default=None)
regressed, unread = [], 0
for sent, read, rows, write, data, ready in reads:
    if seen_at and sent > seen_at + ROLLBACK_SLACK_S and services_of[read][1] is old:
        regressed.append(read)
        is_unread = services_of[write][1] is new and rows != [data]
        unread += is_unread
        fleet.record.line(f"CONFIG {read} was sent {sent - seen_at:.3f} s after a member saw version 9, and run by "
                          f"{old.name}, the service of version 7; {write} before it, in the same session, was run by "
                          f"{services_of[write][1].name}; returned {rows}, written was {data}")
text = (f"{len(reads)} reads, {len(regressed)} run by the old service after a request of the same VM was run by the "
        f"new one; {unread} of them without the write that their session had been acknowledged before")
fleet.finish(1 if regressed else 0 if reads and seen_at else 2, text)
