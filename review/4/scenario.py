"""A leaving executor deregisters while nothing reaches it: are its tasks started elsewhere before it has ended?"""
import asyncio
import json
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import standins  # noqa: E402
from standins import Consumer, Executor, Fleet, Relay, configuration, main, read_message, until  # noqa: E402

EXECUTORS = 16
# One of 16 executors leaves; the site's scale_in has share = 0.065.
CUT_SECONDS = 5.5      # the site's one-way cut has for_s = 5.5 and share = 0.17
DRAIN_MS = 2000
ENDS_ANYWAY_S = 3.0    # "If it receives no confirmation, it ends anyway, some seconds later."
HOST, PREFIX = "ficu95.example", "/pufi791/"
standins.HOLD_MAX_MS = 6000
standins.STOP_MS = 900


class LeavingExecutor(Executor):
    """Calls the control daemons over relays; keeps the channel on which its last report was acknowledged."""

    channel = None
    state = "ready"
    draining_acknowledged = None

    async def report(self, state):
        self.seq += 1
        body = {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": 8, "state": self.state,
                "cold_left_ms": 0, "capacity": {"cpu": self.cpu, "mem_mb": 32768, "gpu": 0}, "labels": self.labels, "clock_ms": self.clock(),
                "seq": self.seq, "born": self.born}
        sent_state = self.state
        if await self.tell("Heartbeat", body):
            self.beats_acknowledged += 1
            if sent_state == "draining" and self.draining_acknowledged is None:
                self.draining_acknowledged = asyncio.get_running_loop().time()
                self.log("draining is acknowledged")

    def use(self, controls):
        self.controls, self.next_control = controls, 0
        if self.channel is not None:
            self.channel[1].close()
            self.channel = None

    async def tell(self, what, body):
        """Sends to a daemon on the open channel, or on a new one to the next daemon; one second for each."""
        for _ in range(len(self.controls)):
            try:
                if self.channel is None:
                    self.next_control += 1
                    host, port = self.controls[self.next_control % len(self.controls)].rsplit(":", 1)
                    self.channel = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
                reader, writer = self.channel
                data = json.dumps(body).encode()
                writer.write(f"POST /Instances.{what}/{self.name} HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                answer = await asyncio.wait_for(read_message(reader), 1)
                if answer is not None and answer[0].split()[1].startswith("2"):
                    return True
                self.log(f"{what}: {'the channel ended' if answer is None else answer[0]}")
            except (OSError, asyncio.TimeoutError) as failure:
                self.log(f"{what}: no answer from {self.controls[self.next_control % len(self.controls)]} ({type(failure).__name__})")
            if self.channel is not None:
                self.channel[1].close()
                self.channel = None
        return False

    async def leave(self, record):
        """Drains, deregisters and ends; without a confirmation it ends some seconds later."""
        self.state = "draining"
        await self.report("draining")
        while self.draining_acknowledged is None:
            await asyncio.sleep(0.1)
        await asyncio.sleep(DRAIN_MS / 1000 + 0.5)
        self.beat_task.cancel()
        self.log(f"deregisters with {len(self.running)} runs at work")
        telling = asyncio.ensure_future(self.tell("Deregister", {"born": self.born}))
        done, _ = await asyncio.wait({telling}, timeout=ENDS_ANYWAY_S)
        confirmed = bool(done) and telling.result()
        if not confirmed and done:
            await asyncio.sleep(0.1)
        telling.cancel()
        self.log("deregistering is confirmed; ends" if confirmed else "no confirmation; ends anyway")
        self.crash()


async def scenario(record, system, trouble):
    fleet = Fleet(record)
    system.start()
    await system.until_ready()
    await system.configure(configuration(7, HOST, PREFIX))
    relays = []
    for number, control in enumerate(system.controls()):
        relay = Relay(f"127.0.{system.network}.210:{system.others + 50 + number}", control)
        await relay.start()
        relays.append(relay)
    executors = [LeavingExecutor(fleet, f"i-{number:08x}", f"127.0.{system.network}.200:{system.others + number}", "pool1", f"zone-{number % 4}",
                                 ["a", f"r1-{number // 6}"], 16000, system.controls(), lambda task, body: None)
                 for number in range(1, EXECUTORS + 1)]
    for executor in executors:
        await executor.start()
    await until(lambda: all(executor.beats_acknowledged for executor in executors), 15, "every executor is known")
    consumer = Consumer(system, HOST, PREFIX)
    assert await consumer.submit("5c0e7a21d94b36f8", [{"count": EXECUTORS - 1, "cpu": 7000, "mem_mb": 256, "long_running": True, "anti_affinity": 1}])
    await until(lambda: sum(len(executor.running) for executor in executors) == EXECUTORS - 1, 15, "every task is at work")
    await asyncio.sleep(3)
    leaver = next(executor for executor in executors if executor.running)
    leaver.use([relay.listen for relay in relays])
    leaving = asyncio.ensure_future(leaver.leave(record))
    await until(lambda: leaver.draining_acknowledged is not None, 10, "draining is acknowledged")
    await asyncio.sleep(DRAIN_MS / 1000 - 0.5)
    if trouble:
        record(f"nothing from the system reaches {leaver.name} any more")
        leaver.relay.cut_requests()
        for relay in relays:
            relay.cut_answers()
        await asyncio.sleep(CUT_SECONDS)
        leaver.relay.join()
        for relay in relays:
            relay.join()
        record("joined again")
    await leaving
    await asyncio.sleep(6)
    for run in fleet.runs:
        record(repr(run))
    return [f"TWICE: {first}; {second}: both at work for {overlap:.0f} ms" for first, second, overlap in fleet.overlaps()]


main(FOLDER, 43, scenario)
