"""Commits confirmed by one replica, which goes down with the primary; the processes of the system restart meanwhile."""
import signal
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "lib-2"))
from replicated import Member, Service
from standins import CannotRun, Client, Store, Vm, configuration, play

CASE = Path(__file__).resolve().parent
DEAF_S = 6.5  # replica_lag, `deaf crash` in the site file
DOWN_S = 7.0  # srv_crash in the site file
CRASH_AFTER_S = 1.0
EXPIRY_S = 3.6  # three intervals of beatMs 1,200
RESTART_S = 0.5
KILL_AFTER_S = 3.9  # from the crash


def run(folder, record, trouble, vms):
    store = Store()
    primary, confirming, other = Member("m1", "zone-a"), Member("m2", "zone-a"), Member("m3", "zone-b")
    service = Service("ledger", [primary, confirming, other], 1, record)
    store.promote = service.promote
    service.report = lambda member: store.put("servers", member.name, service.entry(member))
    for member in service.members:
        service.report(member)
    config = configuration(["ledger"])
    config["backends"][0]["syncReplicas"] = 1
    store.put("config", "main", config)
    for name, zone in (("front-a-1", "zone-a"), ("front-b-1", "zone-b")):
        vm = Vm(folder, name, zone, store, record)
        vms.append(vm)
        vm.start()
    for vm in vms:
        vm.wait_ready()
    time.sleep(2)
    acknowledged, end_at = [], time.monotonic() + 16

    def write_loop():
        client, number = None, 0
        while time.monotonic() < end_at:
            number += 1
            try:
                client = client or Client(vms[0], "db-ledger", "key-acme")
                lines = client.query("w%d" % number, "WRITE 1a4 data%d" % number)
                if lines[-1] is None:
                    client = None
                elif lines[0].startswith("DONE"):
                    acknowledged.append((time.monotonic(), "w%d" % number))
            except (OSError, CannotRun):
                client = None
            time.sleep(0.02)

    threading.Thread(target=write_loop, daemon=True).start()
    time.sleep(2)
    if trouble:
        other.is_deaf = True
        record.write("member m3 receives nothing for %.1f s" % DEAF_S)
        threading.Timer(DEAF_S, lambda: setattr(other, "is_deaf", False)).start()
        time.sleep(CRASH_AFTER_S)
        for member in (primary, confirming):
            service.set_up(member, False)
            threading.Timer(EXPIRY_S, store.remove, args=("servers", member.name)).start()

            def come_back(member=member):
                service.set_up(member, True)
                service.report(member)

            threading.Timer(DOWN_S, come_back).start()
        time.sleep(KILL_AFTER_S)
        for vm in vms:
            vm.send_signal(signal.SIGKILL)
            vm.process.wait()
        time.sleep(RESTART_S)
        for vm in vms:
            vm.start()
    while time.monotonic() < end_at:
        time.sleep(0.1)
    record.write("%d writes were acknowledged" % len(acknowledged))
    is_broken = False
    for promoted_at, name, log in service.promotions:
        # LOST, at the first promotion: the terms after it have other commits.
        before = [identifier for at, identifier in acknowledged if at < promoted_at]
        lost = [identifier for identifier in before if identifier not in log]
        record.write("member %s was promoted without %d of %d acknowledged commits: %s" % (
            name, len(lost), len(before), " ".join(lost[:10])))
        is_broken = bool(lost)
        break
    return is_broken


play(CASE, run)
