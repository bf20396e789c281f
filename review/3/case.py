"""A gang whose executors are cut off from the entry VMs several times, and never crash, is
given up: its job is shown as failed, though no run of it has ended `failed`."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standin as s

HOST, KEY = "jobs.example", "key-shops-1"
WIDTH = 9  # the widest gang of the site's `coil-grade`
WORK_S = 70.0
CUT_S, SHARE = 5.5, 0.17  # node_cut, how = "servers"
GAP_S = 9.0
CUTS = 9


async def scenario(record, trouble, cells):
    cell = s.Cell(record, executors=((13, "inspect", 32000, 65536, 8),))
    cells.append(cell)
    fleet = cell.fleet
    tenants = [s.tenant("shops", KEY)]
    await cell.start(s.config(3, [s.route("grade", "/grade/", "inspect", attempts=4)], [s.service("inspect")], tenants))
    if not await cell.wait_ready():
        return 2
    await asyncio.sleep(4)
    job = s.job_id()
    fleet.work_of = lambda task, number: (WORK_S, "done")
    fleet.saves_of = lambda task: True
    fleet.gang_of = lambda task: WIDTH
    graph = {
        "Spec": "grade",
        "Pipeline": [{"Count": WIDTH, "Cpu": 15000, "MemMb": 23000, "Gpu": 8, "EstimateMs": 70000, "Gang": True, "Checkpointing": True}],
    }
    accepted = await cell.submit(f"/grade/{job}", HOST, graph, KEY)
    if accepted is None:
        return 2
    await asyncio.sleep(1.5)
    state = None
    for cut in range(CUTS):
        chosen = random.sample(fleet.executors, round(SHARE * len(fleet.executors)))
        if trouble:
            for executor in chosen:
                executor.cut = True
            record(f"cut {cut + 1}: {[e.id for e in chosen]} are cut off from all entry VMs for {CUT_S} s and run on")
        await asyncio.sleep(CUT_S)
        for executor in chosen:
            executor.cut = False
        await asyncio.sleep(GAP_S - CUT_S)
        status, value = await cell.client(cell.vms[cut % 7], "GET", f"/grade/{job}", HOST, None, KEY)
        state = (value or {}).get("State")
        if state in ("failed", "completed"):
            break
    if not trouble:
        status, value = await cell.client(cell.vms[0], "GET", f"/grade/{job}", HOST, None, KEY)
        state = (value or {}).get("State")
    hows = [x[3] for x in fleet.ends]
    record(f"ends of its runs: { {how: hows.count(how) for how in sorted(set(hows))} }; crashes of executors: 0")
    if state == "failed" and "failed" not in hows:
        record("LOST: the job is shown as failed without cause: no run has ended failed, and no executor has crashed")
        return 1
    return 0 if state in ("running", "completed") else 2


s.main(os.path.dirname(os.path.abspath(__file__)), scenario)
