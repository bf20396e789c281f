"""Nodes in touch give as `Pending` what was true six seconds ago: a late heartbeat of the owner
replaces a newer one."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standin as s

HOST, KEY = "jobs.example", "key-shops-1"
LATE_S = 5.9  # platform_lost, how = "late": done 1 to 6 s later
JOBS = 10
VISIBLE_MS = 3000


async def scenario(record, trouble, cells):
    cell = s.Cell(record)
    cells.append(cell)
    await cell.start(s.config(3, [s.route("orders", "/orders/", "dispatch")], [s.service("dispatch")], [s.tenant("shops", KEY)]))
    if not await cell.wait_ready():
        return 2
    await asyncio.sleep(4)
    lost = []

    def hook(transaction):
        keys = {row["Key"] for row in transaction.get("Writes") or []}
        if "beat" in keys and not lost:
            lost.append(record.now())
            record(f"store: the answer to the write of {sorted(keys)} is lost, done {LATE_S} s later")
            return LATE_S
        return None

    if trouble:
        cell.store.hook = hook
        while not lost:
            await asyncio.sleep(0.005)
        cell.store.hook = None
    graph = {"Spec": "x", "Pipeline": [{"Count": 1, "Cpu": 1000, "MemMb": 500, "EstimateMs": 1000, "Requirements": "none-such"}]}
    accepted = await asyncio.gather(*[cell.submit(f"/orders/{s.job_id()}", HOST, graph, KEY, quiet=True) for _ in range(JOBS)])
    if None in accepted:
        return 2
    record(f"{JOBS} jobs are accepted by {max(accepted):.3f}; none can begin")
    old = max(accepted) + (VISIBLE_MS + 2000) / 1000
    wrong = []

    async def ask(vm):
        while record.now() < old + 3:
            status, value = await cell.client(vm, "GET", "/orders/", HOST, None, KEY, quiet=True)
            at = record.now()
            if at > old and status == 200 and value["Pending"] < JOBS / 2:
                wrong.append(vm.name)
                record(f"client: GET /orders/ at {vm.name} -> 200 {value}; {JOBS} jobs were accepted over {at - max(accepted):.3f} s before")
            await asyncio.sleep(0.05)

    await asyncio.gather(*[ask(vm) for vm in cell.vms])
    if cell.fleet.starts:
        return 2
    if wrong:
        record(f"MIXED: {len(wrong)} answers of {len(set(wrong))} nodes gave under half of the waiting jobs as Pending")
        return 1
    return 0


s.main(os.path.dirname(os.path.abspath(__file__)), scenario)
