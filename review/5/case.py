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
SESSIONS = 48
PAUSE_S = 0.08
TENANTS = ["t-a", "t-b", "t-c", "t-d"]

fleet = Fleet(FOLDER)
old = fleet.group("ledger", work_s=0.004)
for member in old.members:
    member.log = [(old.term, number, (), "-") for number in range(1, 5001)]  # the older service has a longer log
    member.keeps_logs_read = False
new = fleet.group("ledger2", work_s=0.004, zones=("qld-c", "qld-a", "qld-a"), lag_s=0.2)
fleet.begin()
rule = {"timeoutMs": 1000, "maxStaleMs": 2500}
lookup = ("ledger2", "bounded", {"timeoutMs": 2000, "maxStaleMs": 1500})
services = {"ledger": {}, "ledger2": {}}
routes = {"reconcile": ("ledger", "session", rule), "lookup": lookup}
fleet.store.put("config", "main", config(7, routes, services, TENANTS))
other = fleet.vm("front-qld-a-1", "qld-a")
proxy = Proxy(fleet.store.addr)
front = fleet.vm("front-qld-b-1", "qld-b", proxy.addr)
fleet.start_all()
time.sleep(1.5)
is_over = threading.Event()
reads = []  # (sent at, id, rows, write that the session had acknowledged before, its data)


def look_up(number):
    """Reads of other clients, at the other VM."""
    client = Client(other.front, "lookup", f"key-{TENANTS[number % len(TENANTS)]}")
    while not is_over.is_set() and client.query(f"READ item{number}")[2]:
        time.sleep(0.03)


def use_session(number):
    """Writes an item, pauses, and reads it, again and again."""
    client = Client(front.front, "reconcile", f"key-{TENANTS[number % len(TENANTS)]}")
    serial = 0
    while not is_over.is_set():
        serial += 1
        write, read, data = f"w{number:02d}-{serial:05d}", f"r{number:02d}-{serial:05d}", f"v{serial}"
        _, result, ready = client.query(f"WRITE item{number} {data}", write)
        if ready is None:
            return
        is_written = result.startswith("DONE")
        time.sleep(PAUSE_S)
        sent = time.monotonic()
        rows, result, ready = client.query(f"READ item{number}", read)
        if ready is None:
            return
        if is_written and result.startswith("DONE"):
            reads.append((sent, read, rows, write, data))
        time.sleep(PAUSE_S)
    client.close()


for number in range(16):
    threading.Thread(target=look_up, args=(number,), daemon=True).start()
for number in range(SESSIONS):
    threading.Thread(target=use_session, args=(number,), daemon=True).start()
time.sleep(2)
if TROUBLE:
    proxy.cut()
    fleet.record.line(f"{front.name} is cut off from the store")
time.sleep(1)
if TROUBLE:
    routes["reconcile"] = ("ledger2", "session", rule)
else:
    routes["reconcile"] = ("ledger", "session", {**rule, "timeoutMs": 1100})
fleet.store.put("config", "main", config(9, routes, services, TENANTS))
time.sleep(CUT_S - 1)
if TROUBLE:
    proxy.heal()
    fleet.record.line(f"{front.name} reaches the store again")
time.sleep(3)
is_over.set()
time.sleep(1)

wrote, ran = {}, {}
for group in (old, new):
    for member in group.members:
        for _, request, text, *_ in member.runs:
            (wrote if "WRITE" in text else ran)[request] = group
logs = {read: held for group in (old, new) for member in group.members for read, held in member.logs_read.items()}
stale = []
for sent, read, rows, write, data in reads:
    if ran[read] is new and wrote[write] is new and write not in logs[read]:
        stale.append(read)
        fleet.record.line(f"STALE {read} returned {rows}; its session's write {write} of {data}, acknowledged "
                          f"before it was sent, is not in the log of {ran[read].name} that it ran on")
crossed = sum(1 for _, read, _, write, _ in reads if wrote[write] is not ran[read])
text = (f"{len(reads)} reads after a write, {len(stale)} at the service of the write without it, "
        f"{crossed} at another service than the write")
fleet.finish(1 if stale else 0 if reads else 2, text)
