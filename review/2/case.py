"""Some large urgent jobs that do not fit beside what is running keep every other job of the
service from starting, though there is room for it on each executor."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standin as s

HOST, KEY, OTHER_KEY = "jobs.example", "key-shops-1", "key-schools-1"
CORES = 16000  # of each executor of `dispatch`
LARGE = 40
FINISH_S = 14
OTHERS = 12


async def scenario(record, trouble, cells):
    cell = s.Cell(record)
    cells.append(cell)
    routes = [
        s.route("checks", "/checks/", "dispatch", priority=0),
        s.route("feeds", "/feeds/", "dispatch", priority=1),
        s.route("orders", "/orders/", "dispatch", priority=2),
    ]
    tenants = [s.tenant("shops", KEY), s.tenant("schools", OTHER_KEY)]
    await cell.start(s.config(3, routes, [s.service("dispatch")], tenants))
    if not await cell.wait_ready():
        return 2
    await asyncio.sleep(4)
    feed = s.job_id()
    cell.fleet.work_of = lambda task, number: (None, "done") if task.startswith(feed) else (0.5, "done")
    lasting = {"Count": 35, "Cpu": 500, "MemMb": 500, "AntiAffinity": 1, "LongRunning": True, "EstimateMs": 500}
    if await cell.submit(f"/feeds/{feed}", HOST, {"Spec": "feed", "Pipeline": [lasting]}, KEY) is None:
        return 2
    await asyncio.sleep(3)
    record(f"tasks that last: {sum(len(e.running) for e in cell.fleet.executors)}, one an executor, of 0.5 cores each")
    large = {"Spec": "batch", "Pipeline": [{"Count": 1, "Cpu": CORES, "MemMb": 4000, "EstimateMs": 30000}]}
    if trouble:
        for _ in range(LARGE):
            await cell.submit(f"/checks/{s.job_id()}", HOST, large, KEY, quiet=True)
        record(f"{LARGE} urgent jobs of one task that needs a whole executor ({CORES / 1000:.0f} cores) are accepted")
    await asyncio.sleep(2)
    small = {"Spec": "check", "Pipeline": [{"Count": 2, "Cpu": 1500, "MemMb": 4000, "EstimateMs": 500}]}
    jobs = []
    for _ in range(OTHERS):
        job = s.job_id()
        if await cell.submit(f"/orders/{job}", HOST, small, OTHER_KEY) is not None:
            jobs.append(job)
    record(f"traffic ends; {len(jobs)} small jobs of another tenant are accepted")
    await asyncio.sleep(FINISH_S)
    waiting = {}
    for look in range(2):  # 3 s apart, with nothing running all the while
        for job in jobs:
            status, value = await cell.client(cell.vms[look], "GET", f"/orders/{job}", HOST, None, OTHER_KEY, quiet=True)
            done = len([x for x in cell.fleet.ends if x[1].startswith(job) and x[3] == "done"])
            begun = any(x[1].startswith(job) for x in cell.fleet.starts)
            if status != 200 or (value or {}).get("State") != "completed":
                record(f"GET {job} -> {status} {value}; tasks done: {done} of 2; begun: {begun}")
                if not begun:
                    waiting.setdefault(job, []).append(record.now())
        if look == 0:
            await asyncio.sleep(3.2)
    used = sum(500 if t.startswith(feed) else 1500 for e in cell.fleet.executors for t in e.running) / 1000
    record(f"cores in use: {used:.1f} of 560; no tenant has a Cap; each executor has 15.5 cores free")
    lost = [job for job, looks in waiting.items() if len(looks) == 2]
    for job in lost:
        record(f"LOST: {job}, accepted over {FINISH_S} s ago, has nothing running, and there is room for it")
    if len(jobs) < OTHERS:
        return 2
    return 1 if lost else 0


s.main(os.path.dirname(os.path.abspath(__file__)), scenario)
