"""The store is silent for 0.3 s. A job is cancelled after that, and the cancel acknowledged.
No task of it may start later than `cancel_ms` after the acknowledgement."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
sys.dont_write_bytecode = True
import standin2  # noqa: E402

OUTAGE_S = 0.3  # site file: platform_down for 4.5 s
CONTACT_S = 3.0  # ContactMs
CANCEL_S = 3.0  # cancel_ms
WORK_S = 5.2  # of the first step; the second follows it


def job():
    step = {"Count": 1, "Cpu": 1_000, "MemMb": 256, "EstimateMs": 5_000}
    return {
        "Spec": f'{{"work_s":[{WORK_S},5.0]}}',
        "Pipeline": [step, {**step, "Count": 4, "DependsOn": [0]}],
    }


async def case(trouble, holder):
    world = standin2.World(HERE)
    holder["world"] = world
    await world.start()
    await asyncio.sleep(2.0)
    name = standin2.new_id()
    if not await world.submit(name, job()):
        raise standin2.CannotRun("the job was not accepted")
    await asyncio.sleep(0.3)
    if trouble:
        await world.store.be_down(OUTAGE_S)
    in_touch = world.record.now() + CONTACT_S
    await asyncio.sleep(0.4)
    for _ in range(8):
        status, _ = await world.client("DELETE", name)
        world.record.line(f"client: DELETE {name}: {status}")
        if status in (200, 202, 204):
            break
        await asyncio.sleep(0.25)
    else:
        raise standin2.CannotRun("the cancelling was not acknowledged")
    acknowledged = world.record.now()
    await asyncio.sleep(10.0)
    late = [
        row
        for row in world.starts
        if row[2].startswith(name) and row[0] > max(acknowledged + CANCEL_S, in_touch)
    ]
    for at, server, task, _ in late:
        world.record.line(
            f"{task} was started on {server} {at - acknowledged:.2f} s after the"
            f" acknowledgement, {at - in_touch + CONTACT_S:.2f} s after the outage"
        )
    return not late


if __name__ == "__main__":
    standin2.play(HERE, case)
