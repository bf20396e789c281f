"""After the owner's restart, a helper's answer about one step is taken for another step.

The backend servers that may run that step then count as denied, and its job never runs.
"""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standin3 import HOST, Policy, Runs, config, free_ports, job, main

DECIDE_MS, EACH_MS, VALID_MS = 560, 8, 1500
SERVERS, MACHINES, JOBS = 6, 7, 14
ROUNDS = 7
# Time for which nothing is disturbed after the second kill of a round.
CALM_S = 6.0
FINISH_S = 14.0


async def case(world, trouble):
    record = world.record
    port = free_ports(1)[0]
    world.policy = f"{HOST}:{port}"

    def permitted(step):
        # Each step may run on one backend server.
        return {f"srv-{int(step.split('.')[0], 16) % SERVERS + 1}"}

    policy = Policy(port, record, permitted, DECIDE_MS / 1000, EACH_MS / 1000, VALID_MS / 1000)
    await policy.up()
    advice = {"DecideMs": DECIDE_MS, "EachMs": EACH_MS, "ValidMs": VALID_MS}
    await world.begin(SERVERS, MACHINES, config(advice=advice))
    runs = Runs(world.executors)
    for executor in world.executors:
        executor.policy = policy
    accepted, waiting = [], []
    for number in range(ROUNDS):
        # Two single kills of the owner, under a second apart, and jobs between them.
        if trouble:
            await world.kill_owner(0.05)
        await asyncio.sleep(0.5)
        first = 0x100 * (number + 1)
        idents = [f"{n:016x}" for n in range(first, first + JOBS)]
        posts = [world.request(n % MACHINES, "POST", i, job(1, 100, 500))
                 for n, i in enumerate(idents)]
        answers = await asyncio.gather(*posts)
        accepted += [i for i, (status, _) in zip(idents, answers) if status == 200]
        await asyncio.sleep(0.1)
        if trouble:
            await world.kill_owner(0.05)
        await asyncio.sleep(CALM_S)
        waiting = [i for i in accepted if i not in runs.first_start]
        record(f"round {number + 1}: accepted and not started: {waiting}")
        if waiting:
            break
    await asyncio.sleep(FINISH_S if waiting else 2.0)
    broken = []
    for ident in accepted:
        if ident not in runs.first_start:
            servers = permitted(f"{ident}.0.0")
            _, state = await world.request(0, "GET", ident)
            broken.append(f"LOST: {ident} was accepted, may run on {servers}, which is up and idle, "
                          f"and has not started {CALM_S + FINISH_S:.0f} s after the last kill: {state}")
    return broken


main(os.path.dirname(os.path.abspath(__file__)), case)
