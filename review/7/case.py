"""A wide job comes, then small jobs of the same team. The small jobs have to run."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
sys.dont_write_bytecode = True
import standin2  # noqa: E402

FINISH_S = 14.0  # finish_s: jobs are asked for from then on
STALL_S = 3.0  # rule LOST: for 3 s, a job has nothing running


def wide(count):
    step = {"Count": count, "Cpu": 3, "MemMb": 4, "EstimateMs": 2000}
    return {"Spec": '{"work_s":[2.0]}', "Pipeline": [step]}


def small():
    step = {"Count": 1, "Cpu": 1000, "MemMb": 256, "EstimateMs": 500}
    return {"Spec": '{"work_s":[0.5]}', "Pipeline": [step]}


async def case(trouble, holder):
    world = standin2.World(HERE)
    holder["world"] = world
    await world.start()
    first = standin2.new_id()
    if not await world.submit(first, small()):
        raise standin2.CannotRun("a first job was not accepted")
    for _ in range(100):
        if await world.state(first) == "completed":
            break
        await asyncio.sleep(0.1)
    else:
        raise standin2.CannotRun("a first job did not complete")
    large = standin2.new_id()
    if not await world.submit(large, wide(15_000 if trouble else 2_000)):
        raise standin2.CannotRun("the wide job was not accepted")
    await asyncio.sleep(1.0)
    jobs = [standin2.new_id() for _ in range(12)]
    for job in jobs:
        if not await world.submit(job, small()):
            raise standin2.CannotRun("a small job was not accepted")
    world.record.line("end of the traffic")
    await asyncio.sleep(FINISH_S)
    idle_since = {job: world.record.now() for job in jobs}
    broken = set()
    while world.record.now() < 60.0 and not broken:
        await asyncio.sleep(0.2)
        used = sum(
            world.jobs[run.task.split(".")[0]]["Pipeline"][0]["Cpu"]
            for server in world.servers
            for run in server.running.values()
        )
        total = sum(server.capacity["Cpu"] for server in world.servers)
        started = {task.split(".")[0] for _, _, task, _ in world.starts}
        for job in jobs:
            if job in started or used * 2 >= total:
                idle_since[job] = world.record.now()
            elif world.record.now() - idle_since[job] >= STALL_S:
                broken.add(job)
        if all(job in started for job in jobs):
            break
    for job in [large, *jobs]:
        world.record.line(f"state of {job}: {await world.state(job)}")
    started = {task.split(".")[0] for _, _, task, _ in world.starts}
    world.record.line(f"{len(world.starts)} starts; of {len(jobs)} small jobs,"
                      f" {len(started & set(jobs))} have started")
    for key, count in world.store.rejected.items():
        world.record.line(f"store: {count} writes of {key} rejected as too large")
    return not broken


if __name__ == "__main__":
    standin2.play(HERE, case)
