"""Registry entries of another writer keep a new owner from ever starting a tenant's jobs."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standin3 import HOST, Runs, config, free_ports, job, main

SERVERS = 6
FOREIGN = int(os.environ.get("FOREIGN", "7"))
FINISH_S = 14.0


async def case(world, trouble):
    await world.begin(SERVERS, 3, config(cap={"Cpu": 64000}))
    runs = Runs(world.executors)
    if trouble:
        for number, port in enumerate(free_ports(FOREIGN)):
            entry = {"Service": "elsewhere", "Address": f"{HOST}:{port}", "Zone": "z1",
                     "Version": "1", "Slots": 8, "State": "ready", "ColdLeftMs": 0, "Sequence": 1,
                     "Capacity": {"Cpu": 16000, "MemMb": 65536}, "Labels": ["a", "r9"],
                     "born": int(time.time() * 1000)}
            world.store.put("servers", f"other-{number}", entry)
        world.record(f"another writer has put {FOREIGN} entries of a service that is not named")
    idents = ["00000000000000b0"]
    status, _ = await world.request(0, "POST", idents[0], job(2, 1000, 1000))
    if status != 200:
        raise RuntimeError("the job was not accepted")
    await asyncio.sleep(4.0)
    if trouble:
        await world.kill_owner(0.5)
    await asyncio.sleep(3.0)
    for n in range(1, 4):
        ident = f"00000000000000b{n}"
        status, _ = await world.request(0, "POST", ident, job(2, 1000, 1000))
        if status == 200:
            idents.append(ident)
    await asyncio.sleep(FINISH_S + 6.0)
    broken = []
    for ident in idents:
        _, state = await world.request(0, "GET", ident)
        if ident not in runs.first_start:
            broken.append(f"LOST: {ident} was accepted, all {SERVERS} backend servers are up and "
                          f"idle, and it has not started after {FINISH_S + 6.0:.0f} s: {state}")
    return broken


main(os.path.dirname(os.path.abspath(__file__)), case)
