"""Executors crash behind a cut and start again under their ids: is work that they then end taken note of and run again?"""
import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from standins import HEARTBEAT_MS, Consumer, Executor, Fleet, configuration, main, now_ms, until  # noqa: E402

EXECUTORS = 32         # as on the site
CUT_OFF = 5            # 5 of 32 are 0.156; the site's share is 0.17
CUT_SECONDS = 2.8      # the site's cut has for_s = 5.5
HOST, PREFIX = "ficu95.example", "/pufi791/"
FEED = "5c0e7a21d94b36f8"


class ReturningExecutor(Executor):
    """Notes which ends are taken note of, and reports without a pause between daemons while it has no acknowledgement."""

    noted = {}

    async def beat(self):
        while True:
            if not self.relay.is_open():
                # The call is lost in the cut; after a second the next daemon is called.
                await asyncio.sleep(1)
                continue
            await self.report("ready")
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def hold(self, body):
        acked = int(body.get("acked_upto", 0))
        for number, task, run, how, _ in self.ended:
            if number <= acked and how == "done":
                lapsed = self.clock() >= self.lease
                self.noted.setdefault(task, (now_ms(), run, lapsed))
                if number <= acked and acked > self.end_number:
                    self.log(f"acked_upto {acked} although this life has had {self.end_number} ends: end {number} ({task} run {run} done) is forgotten")
        return await super().hold(body)


async def scenario(record, system, trouble):
    fleet = Fleet(record)
    system.start()
    await system.until_ready()
    await system.configure(configuration(7, HOST, PREFIX))

    def duration(task, body):
        return None if task.startswith(FEED) else 320

    executors = [ReturningExecutor(fleet, f"i-{number:08x}", f"127.0.{system.network}.{200 + number // 12}:{system.others + number}", "pool1",
                                   f"zone-{number % 4}", ["a", f"r1-{number // 6}"], 16000, system.controls(), duration)
                 for number in range(1, EXECUTORS + 1)]
    for executor in executors:
        await executor.start()
    await until(lambda: all(executor.beats_acknowledged for executor in executors), 15, "every executor is known")
    consumer = Consumer(system, HOST, PREFIX)
    # Work before the cut, so that every executor has ended runs.
    for number in range(4):
        assert await consumer.submit(f"00000000000000a{number}", [{"count": 2 * EXECUTORS, "cpu": 4000, "mem_mb": 256, "anti_affinity": 2}])
    await until(lambda: all(executor.end_number >= 4 for executor in executors), 20, "every executor has ended runs")
    assert await consumer.submit(FEED, [{"count": EXECUTORS, "cpu": 2000, "mem_mb": 256, "long_running": True, "anti_affinity": 1}])
    await until(lambda: sum(len(executor.running) for executor in executors) >= EXECUTORS, 15, "the feed is at work")
    await asyncio.sleep(3)
    cut = executors[:CUT_OFF]
    if trouble:
        record(f"cut off: {', '.join(executor.name for executor in cut)}")
        for executor in cut:
            executor.relay.cut()
    submissions = [f"00000000000000b{number}" for number in range(3)]
    for identifier in submissions:
        assert await consumer.submit(identifier, [{"count": 2 * EXECUTORS, "cpu": 2000, "mem_mb": 256, "anti_affinity": 2}])
    await asyncio.sleep(0.7)
    # A consumer cancels the feed.
    for _ in range(5):
        answer = await consumer.ask("DELETE", FEED)
        if answer is not None and answer[0] in (200, 410):
            break
    if trouble:
        for executor in cut:
            executor.crash()
        await asyncio.sleep(0.53)
        for executor in cut:
            await executor.start()
        await asyncio.sleep(max(0.0, CUT_SECONDS - 1.73))
        for executor in cut:
            executor.relay.join()
        record("joined again")
    await asyncio.sleep(12)
    broken = []
    for task, (at, number, lapsed) in ReturningExecutor.noted.items():
        for run in fleet.runs:
            if run.task == task and run.begun > at and not lapsed:
                broken.append(f"TWICE: {run} began after run {number} had ended done and that was taken note of at {at / 1000:.3f}")
    broken += [f"TWICE: {first}; {second}: both at work for {overlap:.0f} ms" for first, second, overlap in fleet.overlaps()]
    for run in fleet.runs:
        record(repr(run))
    return broken


main(FOLDER, 45, scenario)
