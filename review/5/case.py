"""The executors of one rack are replaced. A job of a queue with advice needs the label of this rack."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import standins
from standins import TROUBLE

EXECUTORS, RACK = 48, 8
LABEL = "r1-0"
# `release`: 8 of 48 executors (0.17; the site file has a share of 0.45), one at a time, one each second. The
# new one starts first. An old one serves for `drainMs` (2 s) and a little longer after its report.
GAP_S = 1.0
DRAIN_S = 2.5
# After the release: the span in which the rule looks, and time for its calm spans of 3 s and 4 s.
OBSERVED_S = 30


async def case(site):
    await site.start(executors=EXECUTORS, advice={"decide_ms": 20, "per_item_ms": 2, "valid_ms": 3000})
    watch, price = site.new_id(), site.new_id()
    needs = {"cpu": 1000, "memMb": 512, "requiredLabel": LABEL}
    if not await site.submit(watch, site.job([{**needs, "count": 4, "longRunning": True}])):
        raise RuntimeError("the job was not accepted")
    await asyncio.sleep(4)
    if not any(run.task.startswith(watch) for _, run in site.fleet.running()):
        raise RuntimeError("the lasting job did not start before the release")
    if TROUBLE:
        leaving = []
        for old in [e for e in site.fleet.executors if e.rack == LABEL]:
            new = await site.fleet.add(old.host, old.cpu, old.mem_mb, LABEL)
            site.record.say(f"executor {new.identity}: starts in {LABEL} in place of {old.identity}")
            await asyncio.sleep(0.3)
            leaving.append(asyncio.create_task(old.leave(DRAIN_S)))
            await asyncio.sleep(GAP_S - 0.3)
        await asyncio.gather(*leaving)
    site.record.say("calm from here on")
    calm_s = time.monotonic()
    if not await site.submit(price, site.job([{**needs, "count": 2, "workMs": 640}])):
        raise RuntimeError("the job was not accepted")
    idle_since = {f"{watch}.0.0.{n}": calm_s for n in range(4)} | {price: calm_s}
    longest, states, next_look_s = dict.fromkeys(idle_since, 0.0), {}, 0.0
    while time.monotonic() < calm_s + OBSERVED_S:
        await asyncio.sleep(0.1)
        now, running = time.monotonic(), {run.task for _, run in site.fleet.running()}
        if now > next_look_s:
            next_look_s = now + 4
            states = {identity: await site.state(identity) for identity in (watch, price)}
        for name, since in idle_since.items():
            if name in running or name == price and (
                    states[price] == "completed" or any(task.startswith(price) for task in running)):
                idle_since[name] = now
            longest[name] = max(longest[name], now - idle_since[name])
    # Tasks that last: 6 s without a run, then 3 s, after 4 s of calm. The other job: nothing runs for 3 s.
    starved = [name for name, idle_s in longest.items() if idle_s > (6.0 if name == price else 13.0)]
    rack = [e for e in site.fleet.executors if e.is_up and e.rack == LABEL]
    free = sum(e.cpu - e.used()[0] for e in rack)
    used = sum(e.used()[0] for e in site.fleet.executors if e.is_up)
    site.record.say(f"judge: {len(rack)} executors with the label, {free} thousandths of a core free there; {used} of "
                    f"{EXECUTORS * 16_000} in use; states {states}; without a run: "
                    + ", ".join(f"{name} {longest[name]:.1f} s" for name in starved))
    if not starved:
        return None
    return f"{len(starved)} without a run although {free // 1000} cores with the label are free, one for {longest[starved[0]]:.1f} s"


standins.run_case(os.path.dirname(os.path.abspath(__file__)), case)
