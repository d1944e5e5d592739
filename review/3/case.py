"""Tasks run twice, and finished tasks run again, after an idle executor has started again under its id.

The executor crashes between two polls and is back in under a second. The planner doesn't notice, and has
it start the tasks of the next jobs. When it learns of the restart, it takes these runs for lost, although
the new life has begun them all, and starts the tasks elsewhere.
"""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin"))
from case import HEARTBEAT_S, main  # noqa: E402

QUEUE = "pufi791"
LONG_JOB, SHORT_JOB = "5c0e7a21d94b36f8", "5c0e7a21d94b36f9"
LONG_TASKS, LONG_MS = 6, 3000
SHORT_TASKS, SHORT_MS = 6, 400
# One executor of 12 is 0.083 of them; the site's largest share of executors that go down and up is 0.1.
EXECUTORS = 12
CPU_MILLI = 16000
# Half of the site's period `gap_s` of 1.4 s.
DOWN_S = 0.7
# An executor writes its entry about once in a heartbeat: this one first in the middle of it.
FIRST_BEAT_S = HEARTBEAT_S / 2


async def run(case):
    await case.start({QUEUE: 4})
    case.fleet.says_born = True
    for number in range(EXECUTORS):
        ident = f"i-7f3a91{number:02d}"
        await case.fleet.add(ident, f"{case.net}.{100 + number}", case.port, CPU_MILLI)
    executor = case.fleet.executors[0]
    await asyncio.sleep(4.0)
    # The moment after a poll of the idle executor has been answered; the next one follows seconds later.
    for _ in range(1000):
        if executor.idle_for() > 0.2:
            break
        await asyncio.sleep(0.01)
    if case.has_trouble:
        executor.crash()
        await asyncio.sleep(DOWN_S)
        ident, ip, port = executor.ident, executor.ip, executor.port
        await case.fleet.add(ident, ip, port, CPU_MILLI, FIRST_BEAT_S)
        await asyncio.sleep(0.1)

    twice = {}

    async def look():
        while True:
            for task, runs in case.fleet.tasks_that_run_twice().items():
                if task not in twice:
                    twice[task] = case.record.now()
                    case.record.add(f"TWO RUNS of {task} at the same time: {runs}")
            await asyncio.sleep(0.01)

    looking = asyncio.create_task(look())
    for job, count, work_ms in ((SHORT_JOB, SHORT_TASKS, SHORT_MS), (LONG_JOB, LONG_TASKS, LONG_MS)):
        step = {"count": count, "cpu": 1000, "memMb": 500, "estimatedMs": work_ms}
        await case.submit(QUEUE, job, {"ms": work_ms, "cpu": 1000}, step)
    states = [await case.state_at_end(QUEUE, job, 30) for job in (SHORT_JOB, LONG_JOB)]
    looking.cancel()

    again = case.fleet.starts_after_a_noted_end()
    for task, run, ident in again:
        case.record.add(f"AFTER ITS END as done was taken note of, {task} run {run} began on {ident}")
    case.record.add(f"the jobs are shown as {states}; tasks with two runs at once: {len(twice)}; "
                    f"starts after an end as done: {len(again)}")
    if twice or again:
        return (
            f"TWICE: {len(twice)} of {SHORT_TASKS + LONG_TASKS} tasks had two runs at the same time, "
            f"{len(again)} began again after they had ended as done"
        )
    if states != ["completed", "completed"]:
        return f"LOST: the jobs aren't completed in time: {states}"
    return ""


main(HERE, run)
