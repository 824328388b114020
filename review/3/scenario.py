"""A configuration sends a queue to another service: does a submission fail whose remaining work fits there?"""
import asyncio
import json
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from standins import Consumer, Executor, Fleet, configuration, main, until  # noqa: E402

HOST, PREFIX = "ficu95.example", "/pufi791/"
DONE_FIRST, AT_WORK = "5c0e7a21d94b36f8", "5c0e7a21d94b36f9"


def change(version, service):
    document = configuration(version, HOST, PREFIX)
    document["services"].append({**document["services"][0], "name": "pool2"})
    document["routes"][0]["service"] = service
    document["routes"].append({**document["routes"][0], "name": "r-2", "host": "nony24.example", "path_prefix": "/lohu930/", "service": "pool2"})
    return document


async def scenario(record, system, trouble):
    fleet = Fleet(record)
    system.start()
    await system.until_ready()
    await system.configure(change(7, "pool1"))

    def duration(task, body):
        # The first step of one submission takes 1 s; all else 25 s.
        return 1000 if task.startswith(f"{DONE_FIRST}.0.0.") else 25000

    executors = [Executor(fleet, f"i-{number:08x}", f"127.0.{system.network}.200:{system.others + number}", "pool1" if number <= 4 else "pool2",
                          f"zone-{number % 4}", ["a", f"r1-{number // 6}"], 64000 if number <= 4 else 16000, system.controls(), duration)
                 for number in range(1, 9)]
    for executor in executors:
        await executor.start()
    await until(lambda: all(executor.beats_acknowledged for executor in executors), 15, "every executor is known")
    consumer = Consumer(system, HOST, PREFIX)
    assert await consumer.submit(DONE_FIRST, [{"count": 2, "cpu": 33000, "mem_mb": 256, "estimate_ms": 1000},
                                              {"count": 2, "cpu": 2000, "mem_mb": 256, "estimate_ms": 25000, "after": [0]}])
    assert await consumer.submit(AT_WORK, [{"count": 2, "cpu": 33000, "mem_mb": 256, "estimate_ms": 25000}])

    def begun(prefix):
        return sum(run.task.startswith(prefix) for run in fleet.runs)

    await until(lambda: begun(f"{DONE_FIRST}.0.1.") == 2 and begun(AT_WORK) == 2, 20, "the last steps are at work")
    await asyncio.sleep(2)
    if trouble:
        await system.configure(change(8, "pool2"))
    states = {}
    for _ in range(70):
        for identifier in (DONE_FIRST, AT_WORK):
            if states.get(identifier) in ("complete", "failed", "cancelled"):
                continue
            answer = await consumer.ask("GET", identifier)
            if answer is not None and answer[0] == 200:
                states[identifier] = json.loads(answer[2])["state"]
            elif answer is not None and answer[0] == 410:
                states[identifier] = "410"
        if len(states) == 2 and all(state in ("complete", "failed", "cancelled") for state in states.values()):
            break
        await asyncio.sleep(0.5)
    for run in fleet.runs:
        record(repr(run))
    failures = [run for run in fleet.runs if run.how == "failed"]
    return [f"LOST: accepted submission {identifier} is shown as {state}; runs that ended failed: {len(failures)}"
            for identifier, state in states.items() if state in ("failed", "cancelled", "410")]


main(FOLDER, 44, scenario)
