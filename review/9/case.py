"""The store does not answer for some seconds, and does late what it was sent meanwhile.
The owner starts tasks without records, and is killed as the store comes back."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
sys.dont_write_bytecode = True
import standin2  # noqa: E402

OUTAGE_S = 4.5  # site file: platform_down for 4.5 s
LATE_S = 2.0  # kinds: platform_lost, how late: done 1 to 6 s later
KILL_AT_S = 4.4
RESTART_S = 0.2
FIRST_S = 5.0  # the first steps end from then on, one after the other
JOBS = 24


def job(number):
    step = {"Count": 1, "Cpu": 500, "MemMb": 128, "EstimateMs": 5_000}
    first = FIRST_S + 0.02 * number
    return {"Spec": f'{{"work_s":[{first},6.0]}}', "Pipeline": [
        {**step, "Affinity": "r1-0"}, {**step, "Affinity": "r1-5", "DependsOn": [0]}]}


async def case(trouble, holder):
    world = standin2.World(HERE, executors=12)
    holder["world"] = world
    # Half of the executors are in another zone, and answer within 6 ms.
    for server in world.servers[6:]:
        server.round_trip_s = 0.006
    await world.start()
    jobs = [standin2.new_id() for _ in range(JOBS)]
    for number, name in enumerate(jobs):
        if not await world.submit(name, job(number)):
            raise standin2.CannotRun("a job was not accepted")
    owner = world.owner()
    if owner is None:
        raise standin2.CannotRun("no owner was found")
    world.record.line(f"the owner is {owner.name}")
    # The first steps end from 3.85 s of the outage on.
    first_end = min(at for at, _, _, _ in world.starts) + FIRST_S
    await asyncio.sleep(max(0.0, first_end - 3.85 - world.record.now()))
    if trouble:
        world.record.line("store: silent")
        world.store.late_s = LATE_S
        world.store.silent = True
    await asyncio.sleep(KILL_AT_S)
    if trouble:
        owner.killed_by_test = True
        owner.kill("by the test")
    await asyncio.sleep(OUTAGE_S - KILL_AT_S)
    if trouble:
        world.record.line("store: answers again")
        world.store.silent = False
    await asyncio.sleep(max(0.0, RESTART_S - OUTAGE_S + KILL_AT_S))
    if trouble:
        owner.start()
        owner.killed_by_test = False
        world.record.line(f"{owner.name}: started again")
    await asyncio.sleep(16.0)
    for name in jobs:
        world.record.line(f"state of {name}: {await world.state(name)}")
    found = world.doubles()
    for text in found:
        world.record.line(text)
    return not found


if __name__ == "__main__":
    standin2.play(HERE, case)
