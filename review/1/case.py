"""A scheduled job stops every other job whose rows are in the same part of the store: its
state row grows with each time that has run until it is beyond `RowBytes`, and the owner
repeats the rejected transaction for good."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standin as s

HOST, KEY, OTHER_KEY = "jobs.example", "key-shops-1", "key-schools-1"
TIMES, EVERY_MS = 6000, 1000  # once a second for 100 minutes, all due when it is handed in
FINISH_S = 14
OTHERS = 24
RUN_S = 70


async def scenario(record, trouble, cells):
    cell = s.Cell(record)
    cells.append(cell)
    tenants = [s.tenant("shops", KEY), s.tenant("schools", OTHER_KEY)]
    await cell.start(s.config(3, [s.route("orders", "/orders/", "dispatch", priority=2)], [s.service("dispatch")], tenants))
    if not await cell.wait_ready():
        return 2
    await asyncio.sleep(4)
    timed = s.job_id()
    cell.fleet.work_of = lambda task, number: (0.1, "done") if task.startswith(timed) else (0.5, "done")
    cell.fleet.quiet = lambda task: task.startswith(timed)
    times = TIMES if trouble else TIMES // 10
    graph = {
        "Spec": "sync",
        "Pipeline": [
            {"Count": 1, "Cpu": 200, "MemMb": 100, "EstimateMs": 100},
            {"Count": 1, "Cpu": 200, "MemMb": 100, "EstimateMs": 100, "DependsOn": [0]},
        ],
        "RepeatCount": times,
        "FirstMs": int(time.time() * 1000) - TIMES * EVERY_MS,
        "IntervalMs": EVERY_MS,
    }
    record(f"the scheduled job: RepeatCount {times}, IntervalMs {EVERY_MS}, FirstMs 100 minutes ago, 2 steps of 1 task")
    if await cell.submit(f"/orders/{timed}", HOST, graph, KEY) is None:
        return 2
    until = record.now() + RUN_S
    while record.now() < until and not cell.store.rejected:
        await asyncio.sleep(0.5)
        ends = len([x for x in cell.fleet.ends if x[1].startswith(timed) and x[3] == "done"])
        if ends == 2 * times:
            break
    record(f"{ends} tasks of the scheduled job are done")
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
    used = sum(200 for e in cell.fleet.executors for t in e.running) / 1000
    record(f"cores in use: {used:.0f} of 560; no tenant has a Cap; transactions rejected by the store: {cell.store.rejected}")
    lost = [job for job, looks in waiting.items() if len(looks) == 2]
    for job in lost:
        record(f"LOST: {job}, accepted over {FINISH_S} s ago, has nothing running, and there is room for it")
    if len(jobs) < OTHERS // 2 and not lost:
        return 2
    return 1 if lost else 0


s.main(os.path.dirname(os.path.abspath(__file__)), scenario)
