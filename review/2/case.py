"""One job that can never be done stops the planning of all others, for good.

Its caller gives two cores and ten seconds in billionths instead of thousandths, so that the job asks for
two million cores. All other jobs are sound, and the executors have room for all of them.
"""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin"))
from case import BOUNDS, main  # noqa: E402

QUEUE = "pufi791"
EXECUTORS = 12
CPU_MILLI = 16000
# One hopeless job beside 30 sound ones is 0.032 of the jobs; the site's largest share is 0.05.
SOUND_BEFORE, SOUND_AFTER = 10, 20
HOPELESS_CPU = 2_000_000_000
HOPELESS_ESTIMATE_MS = 10_000_000_000
LASTING_TASKS = 4
# For so long a job may have nothing running once the time `finish_s` has passed.
IDLE_S = 3.0


def step(count, cpu, ms, **more):
    return {"count": count, "cpu": cpu, "memMb": 500, "estimatedMs": ms, **more}


async def run(case):
    await case.start({QUEUE: 4})
    for number in range(EXECUTORS):
        ident = f"i-7f3a91{number:02d}"
        await case.fleet.add(ident, f"{case.net}.{100 + number}", case.port, CPU_MILLI)
    await asyncio.sleep(2.0)
    sound = {}

    async def submit_sound(number):
        ident = f"{0x5C0E7A21D94B3600 + number:016x}"
        sound[ident] = 2
        await case.submit(QUEUE, ident, {"ms": 500, "cpu": 1000}, step(2, 1000, 500))

    watch = "5c0e7a21d94b3fff"
    sound[watch] = LASTING_TASKS
    lasting = step(LASTING_TASKS, 1000, 1000, longRunning=True)
    await case.submit(QUEUE, watch, {"ms": 0, "cpu": 1000}, lasting)
    for number in range(SOUND_BEFORE):
        await submit_sound(number)
        await asyncio.sleep(0.1)
    await asyncio.sleep(2.0)
    if case.has_trouble:
        case.record.add("the hopeless job is handed in")
        work = {"ms": 1000, "cpu": HOPELESS_CPU}
        await case.submit(QUEUE, "5c0e7a21d94bdead", work, step(1, HOPELESS_CPU, HOPELESS_ESTIMATE_MS))
    for number in range(SOUND_BEFORE, SOUND_BEFORE + SOUND_AFTER):
        await submit_sound(number)
        await asyncio.sleep(0.1)
    case.record.add(f"end of the traffic; the jobs have {BOUNDS['finish_s']} s")
    await asyncio.sleep(BOUNDS["finish_s"])

    idle = set(sound)
    most_used = 0
    for _ in range(int(IDLE_S / 0.1)):
        for executor in case.fleet.executors:
            idle -= {task.split(".")[0] for task, _ in executor.runs}
        runs = [run for executor in case.fleet.executors for run in executor.runs.values()]
        most_used = max(most_used, sum(run["cpu"] for run in runs))
        await asyncio.sleep(0.1)
    capacity = EXECUTORS * CPU_MILLI
    case.record.add(
        f"for {IDLE_S} s nothing ran of {len(idle)} jobs; most in use at once: {most_used} of {capacity}"
    )
    lost = []
    for ident in sorted(idle):
        state = await case.state(QUEUE, ident)
        if state != "completed":
            lost.append(ident)
    panics = sum(len(daemon.log_lines("planner_failed")) for daemon in case.daemons)
    alive = sum(daemon.process.poll() is None for daemon in case.daemons)
    case.record.add(f"planners that ended by a panic: {panics}; daemon processes alive: {alive}")
    # The rule asks for under half of the capacity in use; each job needs a small part of the rest.
    if not lost or most_used >= capacity / 2:
        return ""
    return (
        f"LOST: {len(lost)} of {len(sound)} accepted sound jobs have nothing running and aren't "
        f"completed {BOUNDS['finish_s']} s after the end of the traffic, with the executors free"
    )


main(HERE, run)
