"""Answers of the store are lost, and the write is done seconds later: an old row of the
roster replaces a newer one. Then the owner is killed. No task may run twice."""

import asyncio
import os
import sys
import zlib

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
sys.dont_write_bytecode = True
import standin2  # noqa: E402

LATE_S = 3.0  # kinds: platform_lost, how late: done 1 to 6 s later
RESTART_S = 0.3
TASKS = 40


def job():
    step = {"Count": 1, "Cpu": 2_000, "MemMb": 512, "EstimateMs": 20_000}
    return {"Spec": '{"work_s":[20.0]}', "Pipeline": [step]}


def joining():
    """Two ids that the roster keeps in one row (CRC-32 modulo 16)."""
    rows = {}
    for number in range(0x1000, 0x2000):
        name = f"i-{number:04x}"
        row = rows.setdefault(zlib.crc32(name.encode()) % 16, [])
        row.append(name)
        if len(row) == 2:
            return row
    raise standin2.CannotRun("no ids")


async def case(trouble, holder):
    world = standin2.World(HERE, executors=8)
    holder["world"] = world
    first, second = world.servers[6], world.servers[7]
    first.id, second.id = joining()
    first.absent = second.absent = True
    lost = []

    def loses_answer(body):
        """Loses the answer to the first write of the roster after each time it is armed."""
        tables = {write["Table"] for write in body.get("Writes", [])}
        if lost and "roster" in tables:
            world.record.line(
                f"store: the answer to a write of the roster is lost, done {lost[0]} s later"
            )
            return lost.pop()
        return None

    world.store.loses_answer = loses_answer
    await world.start()
    await asyncio.sleep(1.5)
    if trouble:
        lost.append(LATE_S)
    began = world.record.now()
    first.absent = False
    world.record.line(f"{first.id} joins")
    await asyncio.sleep(0.6)
    second.absent = False
    world.record.line(f"{second.id} joins")
    await asyncio.sleep(began + 1.9 - world.record.now())
    jobs = [standin2.new_id() for _ in range(TASKS)]
    for name in jobs:
        if not await world.submit(name, job()):
            raise standin2.CannotRun("a job was not accepted")
    used = sum(1 for _, server, _, _ in world.starts if server == second.id)
    world.record.line(f"{used} tasks run on {second.id}")
    owner = world.owner()
    await asyncio.sleep(max(0.0, began + LATE_S + 0.6 - world.record.now()))
    if trouble:
        lost.append(LATE_S)
        owner.killed_by_test = True
        owner.kill("by the test")
        await asyncio.sleep(RESTART_S)
        owner.start()
        owner.killed_by_test = False
        world.record.line(f"{owner.name}: started again")
    await asyncio.sleep(8.0)
    found = world.doubles()
    for text in found:
        world.record.line(text)
    return not found


if __name__ == "__main__":
    standin2.play(HERE, case)
