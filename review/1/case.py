"""A VM is killed and starts again while the VM that runs its clients' statements is frozen."""

import random
import signal
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
sys.dont_write_bytecode = True

from standins import TROUBLE, Client, Fleet, config  # noqa: E402

ROUNDS = 12
SESSIONS = 16
RESTART_DELAY_S = 0.3
TENANTS = ["t-a", "t-b", "t-c", "t-d"]

fleet = Fleet(FOLDER)
ledger = fleet.group("ledger", work_s=0.06, slots=4)
fleet.begin()
routes = {"issue": ("ledger", "primary", {"timeoutMs": 2000})}
fleet.store.put("config", "main", config(7, routes, {"ledger": {}}, TENANTS))
home = fleet.vm("front-qld-a-1", "qld-a")  # in the zone of the primary
front = fleet.vm("front-qld-b-1", "qld-b")
fleet.start_all()
time.sleep(1.0)
answers = []  # (id, result)


def connect():
    """The sessions that clients open, in any order, once the VM is ready."""
    clients = {}
    for number in random.sample(range(SESSIONS), SESSIONS):
        clients[number] = Client(front.front, "issue", f"key-{TENANTS[number % 4]}")
    return clients


def write(number, client, request):
    sent = time.monotonic()
    _, result, ready = client.query(f"WRITE item{number} {request}", request)
    fleet.record.line(f"client {number} sent {request}, after {time.monotonic() - sent:.3f} s: {result} / {ready}")
    if ready:
        answers.append((request, result))


def send_wave(clients, wave):
    """Each session sends one write, in any order."""
    threads = []
    for number in random.sample(sorted(clients), len(clients)):
        arguments = (number, clients[number], f"{wave}-{number:02d}")
        threads.append(threading.Thread(target=write, args=arguments, daemon=True))
        threads[-1].start()
        time.sleep(0.002)
    return threads


def restart_front():
    front.signal(signal.SIGKILL)
    front.process.wait()
    time.sleep(RESTART_DELAY_S)
    front.start()
    if not front.wait_ready(5):
        fleet.finish(2, "the VM did not start again")


for number in range(ROUNDS):
    if TROUBLE:
        restart_front()
    time.sleep(1.0)
    first = send_wave(connect(), f"round{number}a")
    time.sleep(0.02)
    frozen_at = time.monotonic()
    if TROUBLE:
        home.signal(signal.SIGSTOP)
        restart_front()
    second = send_wave(connect(), f"round{number}b")
    time.sleep(0.05)
    if TROUBLE:
        home.signal(signal.SIGCONT)
        fleet.record.line(f"{home.name} was frozen for {time.monotonic() - frozen_at:.3f} s")
    for thread in first + second:
        thread.join(4)
    time.sleep(0.5)

signed = {signature: request for member in ledger.members for signature, request in member.signed.items()}
mixed = []
for request, result in answers:
    if result.startswith("DONE ") and signed.get(result[5:]) != request:
        mixed.append(request)
        fleet.record.line(f"MIXED {request}: its client got success with the signature of {signed.get(result[5:])}")
text = f"{len(answers)} writes answered, {len(mixed)} of them with the success of another client's write"
fleet.finish(1 if mixed else 0 if answers else 2, text)
