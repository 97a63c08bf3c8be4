"""Configurations in quick succession, a store that is silent for 1 s, and later a key that moves to another tenant."""
import copy
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "lib-2"))
from standins import Client, Member, Store, Vm, configuration, play

CASE = Path(__file__).resolve().parent
CONTACT_S = 4  # contactMs
CONFIG_S = 3  # configMs
SILENCE_S = 1
CHANGES, GAP_S = 10, 0.25


def run(folder, record, trouble, vms):
    store = Store()
    member = Member("m1", record)
    store.put("servers", "m1", member.entry("ledger", "zone-a", "primary"))
    config = configuration(["ledger"], tenants=("acme", "bystander"))

    def publish(change):
        nonlocal config
        config = copy.deepcopy(config)
        config["version"] += 1
        change(config)
        store.put("config", "main", config)
        record.write("store acknowledges version %d" % config["version"])

    def change_timeout(config):
        config["routes"][0]["timeoutMs"] += 1

    def move_key(config):
        config["tenants"][0]["apiKeys"].remove("key-acme")
        config["tenants"][1]["apiKeys"].append("key-acme")

    publish(lambda config: None)
    vm = Vm(folder, "front-a-1", "zone-a", store, record)
    vms.append(vm)
    vm.start()
    vm.wait_ready()
    time.sleep(2)
    for _ in range(CHANGES):
        time.sleep(GAP_S)
        publish(change_timeout)
    if trouble:
        record.write("store is silent for %d s" % SILENCE_S)
        store.be_silent(SILENCE_S)
    time.sleep(SILENCE_S + CONTACT_S + 1)
    publish(move_key)
    acknowledged_at = time.monotonic()
    record.write("key-acme belongs to bystander from now on")
    time.sleep(CONFIG_S + 1)
    broken = False
    for number in range(12):
        identifier = "late-%d" % number
        lines = Client(vm, "db-ledger", "key-acme").query(identifier, "READ 1a4")
        age_s = time.monotonic() - acknowledged_at
        tenant = member.tenants.get(identifier)
        record.write("%.1f s later its caller gets %s, run for %s" % (age_s, lines, tenant))
        # CONFIG: run as only an older version allows.
        broken |= tenant == "acme"
        time.sleep(1)
    return broken


play(CASE, run)
