"""Workers that run a gang are cut off and run on. The gang ends `done` behind the cut, and
is started again elsewhere. After the cut its job is cancelled, and has to be gone."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
sys.dont_write_bytecode = True
import standin2  # noqa: E402

CUT_S = 5.5  # site file: node_cut, how servers, share 0.17, for 5.5 s
WORK_S = 25.0
LEFT_S = 2.5  # work that is left when the workers are cut off
CALM_S = 4.0  # ContactMs is 3 s
CANCEL_S = 3.0  # cancel_ms
STOP_S = 0.4  # StopMs


def job():
    gang = {"Count": 2, "Cpu": 10_000, "MemMb": 1024, "EstimateMs": 20_000, "Gang": True}
    other = {"Count": 1, "Cpu": 1_000, "MemMb": 256, "EstimateMs": 90_000}
    return {"Spec": f'{{"work_s":[{WORK_S},90.0]}}', "Pipeline": [gang, other]}


async def case(trouble, holder):
    world = standin2.World(HERE, executors=12)
    holder["world"] = world
    await world.start()
    name = standin2.new_id()
    if not await world.submit(name, job()):
        raise standin2.CannotRun("the job was not accepted")

    def gang():
        rows = world.running(name)
        return [row for row in rows if row[1].startswith(name + ".0.0.")]

    for _ in range(100):
        if len(gang()) == 2:
            break
        await asyncio.sleep(0.05)
    else:
        raise standin2.CannotRun("the gang did not start")
    await asyncio.sleep(WORK_S - LEFT_S)
    workers = [server for server, _, _ in gang()]
    # Two of twelve workers: a share of 0.17.
    for server in workers if trouble else []:
        server.set_cut(True)
    await asyncio.sleep(CUT_S)
    for server in workers if trouble else []:
        server.set_cut(False)
    await asyncio.sleep(CALM_S)
    world.record.line(f"state of {name}: {await world.state(name)}")
    for _ in range(5):
        status, _ = await world.client("DELETE", name)
        world.record.line(f"client: DELETE {name}: {status}")
        if status in (200, 202, 204, 410):
            break
        await asyncio.sleep(0.5)
    else:
        raise standin2.CannotRun("the cancelling was not acknowledged")
    acknowledged = world.record.now()
    await asyncio.sleep(CANCEL_S + STOP_S + 0.1)
    late = world.running(name)
    for server, task, number in late:
        over = world.record.now() - acknowledged
        world.record.line(f"{server.id}: {task} run {number} runs {over:.1f} s after"
                          " the cancelling was acknowledged")
    await asyncio.sleep(5.0)
    for server, task, number in world.running(name):
        over = world.record.now() - acknowledged
        world.record.line(f"{server.id}: {task} run {number} still runs, {over:.1f} s after")
    return not late


if __name__ == "__main__":
    standin2.play(HERE, case)
