"""A primary with a confirming replica is down for two seconds while no member can be promoted."""

import asyncio
import os
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-3"))
import standin
from standin import now

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CALLERS = 6
DEADLINE_S = 3.0
PRIMARY_DOWN_S = 2.0
CLOUD_DOWN_S = 3.0
FINAL_DOWN_S = 1.0
RECOVER_S = 12.0
MEASURED_S = 10.0


async def caller(vm, requests):
    """Sends single writes, one after the other. An operation may take until its deadline."""
    while True:
        sent = now()
        request = {"sent": sent, "served": False}
        requests.append(request)
        session = None
        try:
            session = await asyncio.wait_for(standin.Caller().open(vm.front, "numbers", "key-1"), 2)
            while True:
                _, result, _ = await asyncio.wait_for(session.query("WRITE 1a4 xkqpwnzd"), DEADLINE_S)
                request["result"] = " ".join(result.split(" ")[:2 if result.startswith("ERROR") else 1])
                request["served"] = result.startswith("DONE")
                await asyncio.sleep(0.05)
                request = {"sent": now(), "served": False}
                requests.append(request)
        except (ConnectionError, asyncio.IncompleteReadError, OSError, asyncio.TimeoutError) as error:
            request["result"] = type(error).__name__
        if session:
            session.close()
        await asyncio.sleep(0.2)


def served(requests, begin, end, record, name):
    chosen = [request for request in requests if begin <= request["sent"] < end]
    results = {}
    for request in chosen:
        result = request.get("result", "no answer")
        results[result] = results.get(result, 0) + 1
    count = sum(request["served"] for request in chosen)
    record(f"{name}: {len(chosen)} requests sent, {count} served; {results}")
    return count / max(len(chosen), 1), len(chosen)


async def main():
    record = standin.Record(FOLDER)
    with standin.temporary_folder() as folder:
        store = standin.Store()
        await store.start()
        group = standin.Group(store, "ledger1", slots=5, sync_replicas=1)
        group.record = record
        primary = await group.add("i-a", "z1", "primary")
        await group.add("i-b", "z1", "replica")
        await group.add("i-c", "z1", "replica")
        outage = {"until": 0.0}
        cloud = await standin.start_cloud({group.name: group}, record, lambda: now() < outage["until"])

        def configure(version):
            store.put("config", "main", standin.configuration(
                version, [("numbers", "primary", group.name, 1000, 0)], [(group, 21)], [("tenant1", "key-1", 1000)]))

        configure(7)
        vms = [standin.Vm(f"front-{n}", "z1", store.port, cloud, folder) for n in (1, 2)]
        for vm in vms:
            vm.start()
        requests = []
        try:
            for vm in vms:
                await vm.wait_ready()
            await asyncio.sleep(3)
            begin = now()
            for number in range(CALLERS):
                standin.start(caller(vms[number % len(vms)], requests))
            await asyncio.sleep(8)
            trouble = now()
            if TROUBLE:
                outage["until"] = now() + CLOUD_DOWN_S
                record(f"{primary.id}, the primary, crashes; promotions are answered with 503 for {CLOUD_DOWN_S} s")
                primary.crash()
                await asyncio.sleep(PRIMARY_DOWN_S)
                await primary.come_back()
                record(f"{primary.id} is back with its log, as {primary.role}")
                await asyncio.sleep(CLOUD_DOWN_S - PRIMARY_DOWN_S)
                record("promotions are possible again")
            await asyncio.sleep(6)
            final = now()
            configure(8)
            record("version 8 is acknowledged; all processes are killed")
            for vm in vms:
                vm.signal(signal.SIGKILL)
                vm.process.wait()
            await asyncio.sleep(FINAL_DOWN_S)
            for vm in vms:
                vm.start()
            for vm in vms:
                await vm.wait_ready()
            back = now()
            record("all processes are ready again")
            await asyncio.sleep(RECOVER_S + MEASURED_S + DEADLINE_S)
        finally:
            for vm in vms:
                vm.end()
    before, sent_before = served(requests, begin, trouble, record, "before the trouble")
    served(requests, trouble, final, record, "from the trouble to the final fault")
    after, sent_after = served(requests, back + RECOVER_S, back + RECOVER_S + MEASURED_S, record, "after recoverS")
    for member in group.members:
        record(f"{member.id}: {member.role}, term {member.term}, held {member.held_term}, log up to {len(member.log)}")
    record(f"{len(group.promotions)} promotions, {len(group.commits)} commits acknowledged")
    record.close()
    print(f"served before: {before:.1%} of {sent_before}, served later than recoverS after the machines are back: "
          f"{after:.1%} of {sent_after}")
    if sent_before < 100 or before < 0.25 or not sent_after:
        return 2
    return 1 if after < 0.25 else 0


if __name__ == "__main__":
    standin.run(main)
