"""A job fails after fewer than `MaxAttempts` failed runs, since its route was removed
from the configuration for some seconds."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standin as s

HOST, KEY = "jobs.example", "key-shops-1"
ATTEMPTS = 4  # as the route of `coil-grade` on the site
WORK_S = 3.0
FAILURES = 2  # Runs of the task that end `failed`: fewer than MaxAttempts


async def scenario(record, trouble, cells):
    cell = s.Cell(record)
    cells.append(cell)
    tenants = [s.tenant("shops", KEY)]
    services = [s.service("dispatch")]
    both = [
        s.route("orders", "/orders/", "dispatch", attempts=ATTEMPTS),
        s.route("checks", "/checks/", "dispatch", attempts=ATTEMPTS),
    ]
    await cell.start(s.config(3, both, services, tenants))
    if not await cell.wait_ready():
        return 2
    await asyncio.sleep(4)
    job = s.job_id()
    cell.fleet.work_of = lambda task, number: (
        (WORK_S, "failed") if len([e for e in cell.fleet.ends if e[1] == task]) < FAILURES else (WORK_S, "done")
    )
    graph = {"Spec": "grade", "Pipeline": [{"Count": 1, "Cpu": 1000, "MemMb": 500, "EstimateMs": 3000}]}
    accepted = await cell.submit(f"/orders/{job}", HOST, graph, KEY)
    if accepted is None:
        return 2
    await asyncio.sleep(0.5)
    if trouble:
        await cell.store.put("op", "config", s.config(5, both[1:], services, tenants))
        record("operator: version 5, without the route 'orders', is acknowledged")
    # The route is away while the runs end.
    await asyncio.sleep(FAILURES * WORK_S + 2)
    if trouble:
        await cell.store.put("op", "config", s.config(8, both, services, tenants))
        record("operator: version 8, with the route 'orders' as it was, is acknowledged")
    await asyncio.sleep(12)
    status, value = await cell.client(cell.vms[3], "GET", f"/orders/{job}", HOST, None, KEY)
    state = (value or {}).get("State")
    failed = [x for x in cell.fleet.ends if x[1].startswith(job) and x[3] == "failed"]
    if status != 200 or len(failed) != FAILURES:
        record(f"unexpected: status {status}, {len(failed)} failed runs")
        return 2
    if state == "failed":
        record(f"LOST: the job is shown as failed after {len(failed)} failed runs of its task; MaxAttempts was {ATTEMPTS} in each version that held the route")
        return 1
    return 0 if state == "completed" else 2


s.main(os.path.dirname(os.path.abspath(__file__)), scenario)
