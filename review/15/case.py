"""A backend server that failed for some seconds, three times, gets no work long after that."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standin3 import Runs, config, job, main

SERVERS = 12
# `srv_grey`, `errors`: the runs of one backend server of twelve fail, for 6.5 s each time.
WINDOWS = [(1.0, 7.5), (15.0, 21.5), (34.0, 40.5)]
TRAFFIC_S, FINISH_S = 42.0, 14.0


async def case(world, trouble):
    # Only this backend server has the label of the jobs.
    await world.begin(SERVERS, 3, config(), labels={"srv-1": ["b", "r1"]})
    record, runs, server = world.record, Runs(world.executors), world.executors[0]
    began = record.now()

    def is_grey():
        return trouble and any(a <= record.now() - began < b for a, b in WINDOWS)

    def on_start(task, run, before=server.on_start):
        before(task, run)
        if is_grey():
            asyncio.get_event_loop().call_later(0.1, fail, task, run)

    def fail(task, run):
        if server.running.get(task, [None])[0] == run:
            server.end(task, "failed")

    server.on_start = on_start
    idents, number = [], 0
    while record.now() < began + TRAFFIC_S:
        number += 1
        ident = f"{number:016x}"
        body = job(1, 1000, 700, Requirements="b")
        status, _ = await world.request(number % 3, "POST", ident, body)
        if status == 200:
            idents.append(ident)
        await asyncio.sleep(1.0)
    await asyncio.sleep(FINISH_S)
    waiting = []
    for ident in idents:
        _, state = await world.request(0, "GET", ident)
        if state and state.get("State") in ("queued", "running"):
            waiting.append(ident)
    record(f"not ended {FINISH_S:.0f} s after the last job was handed in: {waiting}")
    starts = len(runs.starts)
    await asyncio.sleep(3.0)
    if not waiting or len(runs.starts) > starts or server.running:
        return []
    sound_s = record.now() - began - WINDOWS[-1][1]
    return [f"LOST: {len(waiting)} accepted jobs, {waiting[0]} the first, have nothing running for "
            f"3 s; {server.id}, which they need, is up and idle, and sound since {sound_s:.0f} s"]


main(os.path.dirname(os.path.abspath(__file__)), case)
