"""Some executors fail all that they start. Gangs run on them."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import standins
from standins import TROUBLE

EXECUTORS = 24
# `srv_grey`, how = "errors": 2 of 24 executors (0.083; the site file has a share of 0.085 for 6.5 s).
FAULTY = 2
FAULTY_FOR_S = 6.5
GANGS = 1
WIDTH = 24
MAX_ATTEMPTS = 4


async def case(site):
    await site.start(executors=EXECUTORS, attempts=MAX_ATTEMPTS)
    faulty_until_s = time.monotonic() + FAULTY_FOR_S
    faulty = site.fleet.executors[:FAULTY]
    if TROUBLE:
        site.fleet.fails = lambda executor, task: executor in faulty and time.monotonic() < faulty_until_s
    ids = [site.new_id() for _ in range(GANGS)]
    body = site.job([{"count": WIDTH, "cpu": 1000, "memMb": 512, "workMs": 600, "gang": True, "maxPerServer": 1}])
    for identity in ids:
        if not await site.submit(identity, body):
            raise RuntimeError("a job was not accepted")
    states, until = {}, time.monotonic() + 45
    while time.monotonic() < until:
        for identity in ids:
            if states.get(identity) not in ("completed", "failed"):
                states[identity] = await site.state(identity)
        if all(state in ("completed", "failed") for state in states.values()):
            break
        await asyncio.sleep(0.5)
    broken = []
    for identity in ids:
        # The runs of the gang of which a member ended failed.
        runs = {run for _, _, task, run, how in site.fleet.ends if task.startswith(identity) and how == "failed"}
        site.record.say(f"judge: {identity} is shown as {states[identity]}; runs of the gang that failed: {sorted(runs)}")
        if states[identity] == "failed" and len(runs) < MAX_ATTEMPTS:
            broken.append(f"{identity} is shown as failed after {len(runs)} failed runs, and {MAX_ATTEMPTS} are allowed")
    return f"{len(broken)} of {GANGS} jobs, the first: {broken[0]}" if broken else None


standins.run_case(os.path.dirname(os.path.abspath(__file__)), case)
