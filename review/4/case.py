"""A job that its client has cancelled, by a DELETE that was answered, runs."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standin as s

HOST, KEY = "jobs.example", "key-shops-1"
LATE_S = 5.5  # platform_lost, how = "late": done 1 to 6 s later
STEP_S = 5.0


async def scenario(record, trouble, cells):
    cell = s.Cell(record)
    cells.append(cell)
    tenants = [s.tenant("shops", KEY)]
    await cell.start(s.config(3, [s.route("orders", "/orders/", "dispatch")], [s.service("dispatch")], tenants))
    if not await cell.wait_ready():
        return 2
    await asyncio.sleep(4)
    cell.fleet.work_of = lambda task, number: (STEP_S, "done")
    graph = {
        "Spec": "reorder",
        "Pipeline": [
            {"Count": 3, "Cpu": 1000, "MemMb": 500, "EstimateMs": 5000},
            {"Count": 3, "Cpu": 1000, "MemMb": 500, "EstimateMs": 5000, "DependsOn": [0]},
        ],
    }

    # A job that is left alone shows that the cell works.
    other = s.job_id()
    if await cell.submit(f"/orders/{other}", HOST, graph, KEY) is None:
        return 2

    job = s.job_id()
    lost = []

    def hook(transaction):
        """Loses the answers to the writes of the job, a small share of all writes."""
        keys = {row["Key"] for row in transaction.get("Writes") or []}
        if job in keys and len(lost) < 2:
            lost.append(cell.record.now())
            record(f"store: the answer to the write of {job} is lost, done {LATE_S} s later")
            return LATE_S
        return None

    writes_before, at_before = cell.store.writes, record.now()
    if trouble:
        cell.store.hook = hook
    await cell.client(cell.vms[0], "POST", f"/orders/{job}", HOST, graph, KEY, timeout=3.0)
    cell.store.hook = None
    record(f"writes in the {record.now() - at_before:.1f} s: {cell.store.writes - writes_before}, {len(lost)} of them lost")

    # The client gives the job up and cancels it, at nodes in turn until it has an answer.
    acknowledged = None
    for vm in cell.vms[1:]:
        status, _ = await cell.client(vm, "DELETE", f"/orders/{job}", HOST, None, KEY)
        if 200 <= status < 300 or status == 410:
            acknowledged = record.now()
            break
        await asyncio.sleep(0.2)
    if acknowledged is None:
        return 2
    record("the cancelling is acknowledged")
    await asyncio.sleep(25)
    await cell.client(cell.vms[2], "GET", f"/orders/{job}", HOST, None, KEY)
    await cell.client(cell.vms[2], "GET", f"/orders/{other}", HOST, None, KEY)

    # The store has been stable for ContactMs before a start that counts.
    stable = (lost[-1] + LATE_S if lost else 0) + s.CONTACT_MS / 1000
    limit = max(acknowledged + s.CANCEL_MS / 1000, stable)
    late = [x for x in cell.fleet.starts if x[1].startswith(job) and x[0] > limit]
    done = [x for x in cell.fleet.ends if x[1].startswith(other) and x[3] == "done"]
    if len(done) != 6:
        record(f"the other job has {len(done)} of 6 tasks done")
        return 2
    for at, task, number, executor in late:
        record(f"UNASKED: {task} run {number} starts on {executor} {at - acknowledged:.3f} s after the cancelling was acknowledged (cancel_ms {s.CANCEL_MS}), the store stable for over {s.CONTACT_MS} ms")
    return 1 if late else 0


s.main(os.path.dirname(os.path.abspath(__file__)), scenario)
