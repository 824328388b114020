"""An executor crashes and a new one starts at its address: does work whose start reached the new one ever run?"""
import asyncio
import json
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from standins import Consumer, Executor, Fleet, configuration, main, until  # noqa: E402

EXECUTORS = 8          # one of 8 crashes, a share of 0.125; the site's is 0.14
DOWN_SECONDS = 2.1     # the site's crash has for_s = 4.5, and reuse_after_s is 2
FINISH_SECONDS = 14    # `finish_s`
HOST, PREFIX = "ficu95.example", "/pufi791/"
BEFORE, AFTER = "5c0e7a21d94b36f8", "5c0e7a21d94b36f9"


async def scenario(record, system, trouble):
    fleet = Fleet(record)
    system.start()
    await system.until_ready()
    await system.configure(configuration(7, HOST, PREFIX))
    executors = [Executor(fleet, f"i-{number:08x}", f"127.0.{system.network}.200:{system.others + number}", "pool1", f"zone-{number % 4}",
                          ["a", f"r1-{number // 6}"], 16000, system.controls(), lambda task, body: 640) for number in range(1, EXECUTORS + 1)]
    for executor in executors:
        await executor.start()
    await until(lambda: all(executor.beats_acknowledged for executor in executors), 15, "every executor is known")
    consumer = Consumer(system, HOST, PREFIX)

    async def state(identifier):
        answer = await consumer.ask("GET", identifier)
        return json.loads(answer[2])["state"] if answer is not None and answer[0] == 200 else None

    steps = [{"count": 3 * EXECUTORS, "cpu": 2000, "mem_mb": 256, "anti_affinity": 3, "estimate_ms": 640}]
    assert await consumer.submit(BEFORE, steps)
    for _ in range(20):
        await asyncio.sleep(0.5)
        if await state(BEFORE) == "complete":
            break
    await asyncio.sleep(2)
    if trouble:
        first = executors[0]
        seen = first.beats_acknowledged
        await until(lambda: first.beats_acknowledged > seen, 5, "a report")
        first.crash()
        await asyncio.sleep(DOWN_SECONDS)
        first.name = f"i-{EXECUTORS + 1:08x}"
        await first.start()
        seen = first.beats_acknowledged
        await until(lambda: first.beats_acknowledged > seen, 5, "the new executor is known")
    assert await consumer.submit(AFTER, steps)
    shown = None
    idle_since = None
    for _ in range(2 * (FINISH_SECONDS + 8)):
        await asyncio.sleep(0.5)
        shown = await state(AFTER)
        at_work = any(run.task.startswith(AFTER) and run.ended is None for run in fleet.runs)
        clock = asyncio.get_running_loop().time()
        idle_since = None if at_work or shown == "complete" else idle_since or clock
        if shown == "complete":
            break
    for run in fleet.runs:
        record(repr(run))
    if shown == "complete":
        return []
    done = {run.task for run in fleet.runs if run.task.startswith(AFTER) and run.how == "done"}
    busy = sum(len(executor.running) for executor in executors)
    idle = 0 if idle_since is None else asyncio.get_running_loop().time() - idle_since
    if idle < 3 or busy:
        return []
    return [f"LOST: submission {AFTER} is shown as {shown} {FINISH_SECONDS + 8} s after it was accepted; {len(done)} of {3 * EXECUTORS} tasks are done, "
            f"nothing of it has run for {idle:.0f} s, and all executors are idle"]


main(FOLDER, 46, scenario)
