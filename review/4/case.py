"""Clients give up jobs and cancel them while the writes that accept these jobs are still under way in the store."""
import asyncio
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import standins
from standins import CANCEL_S, CONTACT_S, TROUBLE

JOBS = 14
# `platform_lost`, how = "late": this share of the writes gets no answer and is done 1 to 6 s later. The site
# file has x = 0.35 for 4.5 s.
LOST_SHARE = 0.35
LOST_FOR_S = 1.8


async def case(site):
    await site.start(executors=8)
    body = site.job([{"count": 2, "cpu": 500, "memMb": 256, "workMs": 10000},
                     {"count": 2, "cpu": 500, "memMb": 256, "workMs": 600, "after": [0]}])
    ids = [site.new_id() for _ in range(JOBS)]
    lost_from_s = time.monotonic()
    # When the store was last disturbed: the end of the disturbance, or the last late write.
    disturbed_s = [0.0]

    def lose_answers(txn):
        now = time.monotonic()
        if now > lost_from_s + LOST_FOR_S or random.random() >= LOST_SHARE:
            return None
        late_s = random.uniform(1, 6)
        disturbed_s.append(now + late_s)
        return "late", late_s

    if TROUBLE:
        disturbed_s.append(lost_from_s + LOST_FOR_S)
        site.store.fault = lose_answers
    acks, unanswered = {}, 0

    async def client(identity, after_s):
        nonlocal unanswered
        await asyncio.sleep(after_s)
        status, _ = await site.request("POST", identity, body)
        unanswered += status != 200
        site.record.say(f"client: leaves {identity} after {status} and cancels it")
        until = time.monotonic() + 10
        while time.monotonic() < until:
            status, _ = await site.request("DELETE", identity)
            if status == 410 or status is not None and 200 <= status < 300:
                acks[identity] = (time.monotonic(), status)
                return
            await asyncio.sleep(0.3)

    await asyncio.gather(*(client(identity, 0.12 * n) for n, identity in enumerate(ids)))
    site.store.fault = lambda txn: None
    if TROUBLE and unanswered == 0:
        raise RuntimeError("the store lost no answer to a write that accepts a job")
    await asyncio.sleep(20)
    for identity in ids:
        await site.state(identity)
    calm_from_s = max(disturbed_s) + CONTACT_S
    site.record.say(f"the core is stable again from {calm_from_s - site.record.began:.3f} on")
    broken = []
    for at_s, executor, task, run in site.fleet.starts:
        ack_s, status = acks.get(task.split(".")[0], (None, None))
        if ack_s is not None and at_s > ack_s + CANCEL_S and at_s > calm_from_s:
            broken.append(f"{task} started {at_s - ack_s:.1f} s after its job's DELETE was answered {status}")
    if len(acks) < JOBS:
        raise RuntimeError("a cancelling was not acknowledged")
    for text in broken:
        site.record.say(f"judge: {text}")
    return f"{len(broken)} starts, the first: {broken[0]}" if broken else None


standins.run_case(os.path.dirname(os.path.abspath(__file__)), case)
