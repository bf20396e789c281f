"""Two jobs that can never be done take every executor that runs a task that lasts out of use
for good."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standin as s

HOST, KEY, OTHER_KEY = "jobs.example", "key-shops-1", "key-schools-1"
POISON = 2  # jobs; the site's poison is a share of 0.05 of 15.5 a second for 3 s
WIDTH = 35  # tasks each, and tasks that last; the widest jobs of the site have 36
FINISH_S = 14
WAIT_S = 30
OTHERS = 12


async def scenario(record, trouble, cells):
    cell = s.Cell(record)
    cells.append(cell)
    routes = [
        s.route("checks", "/checks/", "dispatch", attempts=2, priority=1),
        s.route("feeds", "/feeds/", "dispatch", attempts=3, priority=1),
        s.route("orders", "/orders/", "dispatch", attempts=2, priority=2),
    ]
    tenants = [s.tenant("shops", KEY), s.tenant("schools", OTHER_KEY)]
    await cell.start(s.config(3, routes, [s.service("dispatch")], tenants))
    if not await cell.wait_ready():
        return 2
    await asyncio.sleep(4)
    feed, bad = s.job_id(), set()

    def work(task, number):
        job = task.split(".")[0]
        return (None, "done") if job == feed else (0.3, "failed" if job in bad else "done")

    cell.fleet.work_of = work
    lasting = {"Count": WIDTH, "Cpu": 500, "MemMb": 500, "AntiAffinity": 1, "LongRunning": True, "EstimateMs": 500}
    if await cell.submit(f"/feeds/{feed}", HOST, {"Spec": "feed", "Pipeline": [lasting]}, KEY) is None:
        return 2
    await asyncio.sleep(3)
    record(f"tasks that last: {sum(len(e.running) for e in cell.fleet.executors)}, one an executor, of 0.5 cores each")
    batch = {"Count": WIDTH, "Cpu": 1000, "MemMb": 500, "AntiAffinity": 1, "EstimateMs": 300}
    for _ in range(POISON):
        job = s.job_id()
        if trouble:
            bad.add(job)
        await cell.submit(f"/checks/{job}", HOST, {"Spec": "batch", "Pipeline": [batch]}, KEY)
        await asyncio.sleep(2.5)
        await cell.client(cell.vms[0], "GET", f"/checks/{job}", HOST, None, KEY)
    await asyncio.sleep(3)
    small = {"Spec": "check", "Pipeline": [{"Count": 2, "Cpu": 1500, "MemMb": 4000, "EstimateMs": 500}]}
    jobs = []
    for _ in range(OTHERS):
        job = s.job_id()
        if await cell.submit(f"/orders/{job}", HOST, small, OTHER_KEY) is not None:
            jobs.append(job)
    record(f"traffic ends; {len(jobs)} small jobs of another tenant are accepted")
    await asyncio.sleep(max(WAIT_S, FINISH_S))
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
    used = sum(500 for e in cell.fleet.executors for t in e.running) / 1000
    record(f"cores in use: {used:.1f} of 560; no tenant has a Cap; each executor has at least 15 cores free")
    lost = [job for job, looks in waiting.items() if len(looks) == 2]
    for job in lost:
        record(f"LOST: {job}, accepted over {WAIT_S} s ago, has nothing running, and there is room for it")
    if len(jobs) < OTHERS:
        return 2
    return 1 if lost else 0


s.main(os.path.dirname(os.path.abspath(__file__)), scenario)
