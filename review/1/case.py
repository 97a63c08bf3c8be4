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

ROUNDS = 16
SESSIONS = 16
RESTART_DELAY_S = 0.3
TENANTS = ["t-a", "t-b", "t-c", "t-d"]

main = Fleet(FOLDER)  # the record, and the limit of time
answers = []  # (id, result)
members = []


def write(number, client, request):
    sent = time.monotonic()
    _, result, ready = client.query(f"WRITE item{number} {request}", request)
    main.record.line(f"client {number} sent {request}, after {time.monotonic() - sent:.3f} s: {result} / {ready}")
    if ready:
        answers.append((request, result))


def send_wave(front, wave):
    """Clients open their sessions, and each sends one write, both in any order."""
    clients = {}
    for number in random.sample(range(SESSIONS), SESSIONS):
        clients[number] = Client(front.front, "issue", f"key-{TENANTS[number % 4]}")
    threads = []
    for number in random.sample(range(SESSIONS), SESSIONS):
        arguments = (number, clients[number], f"{wave}-{number:02d}")
        threads.append(threading.Thread(target=write, args=arguments, daemon=True))
        threads[-1].start()
        time.sleep(0.002)
    return threads


def play_round(name):
    """A new deployment, in which one process is killed and one is frozen, once each."""
    fleet = Fleet(FOLDER, record=main.record)
    ledger = fleet.group("ledger", work_s=0.06, slots=4)
    members.extend(ledger.members)
    fleet.begin()
    routes = {"issue": ("ledger", "primary", {"timeoutMs": 2000})}
    fleet.store.put("config", "main", config(7, routes, {"ledger": {}}, TENANTS))
    home = fleet.vm("front-qld-a-1", "qld-a")  # in the zone of the primary
    front = fleet.vm("front-qld-b-1", "qld-b")
    fleet.start_all()
    time.sleep(1.0)
    threads = send_wave(front, f"{name}a")
    time.sleep(0.02)
    if TROUBLE:
        home.signal(signal.SIGSTOP)
        frozen_at = time.monotonic()
        front.signal(signal.SIGKILL)
        front.process.wait()
        time.sleep(RESTART_DELAY_S)
        front.start()
        if not front.wait_ready(5):
            main.finish(2, "the VM did not start again")
    threads += send_wave(front, f"{name}b")
    time.sleep(0.05)
    if TROUBLE:
        home.signal(signal.SIGCONT)
        main.record.line(f"{home.name} was frozen for {time.monotonic() - frozen_at:.3f} s")
    for thread in threads:
        thread.join(4)
    fleet.end()


for number in range(ROUNDS):
    play_round(f"round{number:02d}")

signed = {signature: request for member in members for signature, request in member.signed.items()}
mixed = []
for request, result in answers:
    if result.startswith("DONE ") and signed.get(result[5:]) != request:
        mixed.append(request)
        main.record.line(f"MIXED {request}: its client got success with the signature of {signed.get(result[5:])}")
text = f"{len(answers)} writes answered, {len(mixed)} of them with the success of another client's write"
main.finish(1 if mixed else 0 if answers else 2, text)
