"""A late entry of an executor's former life makes the next planner start the tasks of the live one again.

An executor crashes behind a cut and is back at its address under a new id. The planner's daemon is stopped
in a planned way. Then a heartbeat of the former life, held up by the cut, reaches the store.
"""

import asyncio
import base64
import json
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin"))
from case import HEARTBEAT_S, main  # noqa: E402

QUEUE = "pufi791"
LASTING_JOB, SHORT_JOB, BATCH_JOB = "5c0e7a21d94b3fff", "5c0e7a21d94b36f7", "5c0e7a21d94b36f8"
LASTING_TASKS = 150
# Fills what the lasting tasks leave of the other executors, for a while.
SHORT_TASKS, SHORT_MS = 26, 4000
BATCH_TASKS, BATCH_MS = 12, 15000
# One executor of 12 is 0.083 of them; the largest share that may be cut off is 0.2.
EXECUTORS = 12
CPU_MILLI = 16000
DOWN_S = 1.0
# The cut parts the executor from the store, not from the daemons. Its new life registers when it heals.
CUT_S = 5.0
# The former entry has been removed by then, after three heartbeats of silence. What the cut held up arrives
# when the short job has ended, a second or two after the cut.
PLANNED_STOP_AFTER_S = 6.0


def planner(case):
    item = case.store.items.get("own/planner")
    if item is None:
        return None
    name = json.loads(base64.b64decode(item["value"]))["instance"]
    return next(daemon for daemon in case.daemons if daemon.name == name)


async def run(case):
    await case.start({QUEUE: 4})
    for number in range(EXECUTORS):
        ident = f"i-7f3a91{number:02d}"
        await case.fleet.add(ident, f"{case.net}.{100 + number}", case.port, CPU_MILLI)
    await asyncio.sleep(2.0)
    step = {"cpu": 1000, "memMb": 100}
    lasting = dict(step, count=LASTING_TASKS, estimatedMs=1000, longRunning=True)
    await case.submit(QUEUE, LASTING_JOB, {"ms": 0, "cpu": 1000}, lasting)
    await asyncio.sleep(3.0)

    former = case.fleet.executors[0]
    key = f"servers/{former.ident}"
    entry = json.loads(base64.b64decode(case.store.items[key]["value"]))
    former.crash()
    crashed_s = case.record.now()
    await asyncio.sleep(DOWN_S)
    await case.fleet.add("i-b4e1c0d2", former.ip, former.port, CPU_MILLI, CUT_S - DOWN_S)
    await asyncio.sleep(2.0)
    short = dict(step, count=SHORT_TASKS, estimatedMs=SHORT_MS)
    await case.submit(QUEUE, SHORT_JOB, {"ms": SHORT_MS, "cpu": 1000}, short)
    await asyncio.sleep(max(0.0, crashed_s + CUT_S + 0.3 - case.record.now()))
    batch = dict(step, count=BATCH_TASKS, estimatedMs=BATCH_MS)
    await case.submit(QUEUE, BATCH_JOB, {"ms": BATCH_MS, "cpu": 1000}, batch)
    await asyncio.sleep(max(0.0, crashed_s + PLANNED_STOP_AFTER_S - case.record.now()))

    first = planner(case)
    case.record.add(f"daemon {first.name} plans; it gets SIGTERM")
    first.process.send_signal(signal.SIGTERM)
    for _ in range(200):
        await asyncio.sleep(0.05)
        if planner(case) not in (None, first):
            break
    case.record.add(f"daemon {planner(case).name} plans")
    await asyncio.sleep(1.0)
    await case.state_at_end(QUEUE, SHORT_JOB, 20)
    twice = {}

    async def look():
        while True:
            for task, runs in case.fleet.tasks_that_run_twice().items():
                if task not in twice:
                    twice[task] = case.record.now()
                    case.record.add(f"TWO RUNS of {task} at the same time: {runs}")
            await asyncio.sleep(0.01)

    looking = asyncio.create_task(look())
    if case.has_trouble:
        case.record.add(f"a heartbeat of {former.ident}, held up by the cut, reaches the store")
        await case.store.beat(key, dict(entry, sequence=entry["sequence"] + 1), HEARTBEAT_S)
    state = await case.state_at_end(QUEUE, BATCH_JOB, 30)
    looking.cancel()
    case.record.add(f"the batch job is shown as {state}; tasks with two runs at once: {len(twice)}")
    if twice:
        return f"TWICE: {len(twice)} tasks had two runs at the same time"
    if state != "completed":
        return f"LOST: the batch job isn't completed in time: {state}"
    return ""


main(HERE, run)
