"""All core processes are killed and come back after a tenant's cap was lowered: does its running work fail?"""
import asyncio
import json
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from standins import CannotRun, Consumer, Executor, Fleet, configuration, main, until  # noqa: E402

EXECUTORS = 6
ROUTES = 350           # the site's big_config adds 350 routes
MOST_CHANGES = 200     # "A day may be long and may contain hundreds of changes."
HOST, PREFIX, KEY = "ficu95.example", "/pufi791/", "6x73d3zji9n73hh2b9wu"
FEED, BATCH = "5c0e7a21d94b36f8", "5c0e7a21d94b36f9"


def change(version, cap, routes=0):
    document = configuration(version, HOST, PREFIX)
    document["routes"][0]["public"] = False
    document["tenants"][0]["cap"] = {"cpu": cap, "mem_mb": 0, "gpu": 0}
    for number in range(routes):
        document["routes"].append({**document["routes"][0], "name": f"r-x{number}", "host": f"host{number}.example", "path_prefix": f"/p{number}/",
                                   "advice": {"decide_ms": 614.2857142857143, "each_ms": 6.1, "valid_ms": 2500}})
    return document


async def scenario(record, system, trouble):
    fleet = Fleet(record)
    system.start()
    await system.until_ready()
    await system.configure(change(7, 200000))
    executors = [Executor(fleet, f"i-{number:08x}", f"127.0.{system.network}.200:{system.others + number}", "pool1", f"zone-{number % 4}",
                          ["a", f"r1-{number // 6}"], 16000, system.controls(), lambda task, body: None) for number in range(1, EXECUTORS + 1)]
    for executor in executors:
        await executor.start()
    await until(lambda: all(executor.beats_acknowledged for executor in executors), 15, "every executor is known")
    consumer = Consumer(system, HOST, PREFIX, KEY)
    assert await consumer.submit(FEED, [{"count": 2, "cpu": 10000, "mem_mb": 256, "long_running": True}])
    assert await consumer.submit(BATCH, [{"count": 2, "cpu": 10000, "mem_mb": 256, "estimate_ms": 60000}])
    await until(lambda: sum(len(executor.running) for executor in executors) == 4, 15, "every task is at work")

    def has_snapshot():
        return all(list(daemon.data.glob("snapshot-*")) for daemon in system.replicas)

    version = 8
    while not has_snapshot():
        if version > MOST_CHANGES:
            raise CannotRun("no snapshot was taken")
        await system.configure(change(version, 5000, ROUTES))
        version += 1
        await asyncio.sleep(0.08)  # the gap of a config_storm on a day of lsbca-ops
    await asyncio.sleep(1)
    record(f"configuration {version - 1} is in force: the cap is 5 cores, the tasks at work have 10 each")
    if trouble:
        for daemon in system.replicas:
            daemon.kill()
        for daemon in system.replicas:
            daemon.process.wait()
        await asyncio.sleep(0.5)
        for daemon in system.replicas:
            daemon.start()
    await asyncio.sleep(15)
    broken = []
    for identifier in (FEED, BATCH):
        answer = None
        for _ in range(10):
            answer = await consumer.ask("GET", identifier)
            if answer is not None and answer[0] in (200, 410):
                break
            await asyncio.sleep(0.5)
        state = json.loads(answer[2]).get("state") if answer is not None and answer[0] == 200 else None
        if answer is not None and (answer[0] == 410 or state in ("failed", "cancelled")):
            failures = [run for run in fleet.runs if run.task.startswith(identifier) and run.how == "failed"]
            broken.append(f"LOST: accepted submission {identifier} is shown as {state or answer[0]}; runs that ended failed: {len(failures)}")
    for run in fleet.runs:
        record(repr(run))
    return broken


main(FOLDER, 42, scenario)
