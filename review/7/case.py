"""The owner stands still as the answer to a write of its is on the way, while the store is
down. Both are back before another process takes over. The accepted job has to run."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
sys.dont_write_bytecode = True
import standin2  # noqa: E402

FREEZE_S = 2.0  # site file: node_freeze of the leader for 4 s
OUTAGE_S = 2.05  # site file: platform_down for 4.5 s
FINISH_S = 14.0  # finish_s: jobs are asked for from then on
STALL_S = 3.0  # rule LOST: for 3 s, a job has nothing running


def job():
    step = {"Count": 1, "Cpu": 1_000, "MemMb": 256, "EstimateMs": 500}
    return {"Spec": '{"work_s":[0.5]}', "Pipeline": [step]}


async def case(trouble, holder):
    world = standin2.World(HERE)
    holder["world"] = world
    await world.start()
    for _ in range(3):
        if not await world.submit(standin2.new_id(), job()):
            raise standin2.CannotRun("a first job was not accepted")
        await asyncio.sleep(1.0)
    owner, name = world.owner(), standin2.new_id()
    if owner is None:
        raise standin2.CannotRun("no owner was found")

    async def end_trouble():
        await asyncio.sleep(FREEZE_S)
        owner.process.send_signal(signal.SIGCONT)
        world.record.line(f"{owner.name}: continued")
        await asyncio.sleep(OUTAGE_S - FREEZE_S)
        world.store.silent = False
        world.record.line("store: answers again")

    def applied(call):
        """Begins the trouble with the first write of the job that is not its acceptance."""
        writes = {(write["Table"], write["Key"]) for write in call.get("Writes", [])}
        accepted = ("job", name) in writes
        if trouble and not world.store.silent and ("state", name) in writes and not accepted:
            world.store.applied = lambda _: None
            owner.process.send_signal(signal.SIGSTOP)
            world.store.silent = True
            world.record.line(f"{owner.name}: stopped; store: silent")
            standin2.spawn(end_trouble())

    world.store.applied = applied
    if not await world.submit(name, job()):
        raise standin2.CannotRun("the job was not accepted")
    await asyncio.sleep(5.0)
    later = [standin2.new_id() for _ in range(4)]
    for other in later:
        if not await world.submit(other, job()):
            raise standin2.CannotRun("a later job was not accepted")
    world.record.line("end of the traffic")
    await asyncio.sleep(FINISH_S + STALL_S)
    started = {task.split(".")[0] for _, _, task, _ in world.starts}
    for other in [name, *later]:
        text = "has started" if other in started else "has not started"
        world.record.line(f"state of {other}: {await world.state(other)}; it {text}")
    last = world.owner()
    world.record.line(f"the owner was {owner.name} and is {last.name}")
    return name in started


if __name__ == "__main__":
    standin2.play(HERE, case)
