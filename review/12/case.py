"""Timed submissions of the usual shape, each with 1,000 times; TROUBLE=0 sends the same with 8 times."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lab3"))
from lab import *

FINISH_S = 14
TIMED = 80
TENANTS = [{"name": f"tenant-{number}", "api_keys": [f"key-of-tenant-{number}-00001"], "priority": 1, "weight": 9,
            "cap": {"cpu": 0, "mem_mb": 0, "gpu": 0}} for number in range(6)]


def memory(daemon):
    try:
        with open(f"/proc/{daemon.process.pid}/status", encoding="utf-8") as file:
            return next(int(line.split()[1]) // 1024 for line in file if line.startswith("VmRSS"))
    except (OSError, StopIteration):
        return 0


async def case(lab):
    if not await lab.boot(configuration(tenants=TENANTS)):
        return finish(lab, 2, "no configuration was acknowledged")
    await lab.add_executors([Executor(lab, f"i-{number:08x}", {"cpu": 64000, "mem_mb": 131072, "gpu": 0}, ["a", f"r1-{number // 6}"]) for number in range(8)])
    await asyncio.sleep(3)
    accepted = []

    async def send(name, body, key):
        for _ in range(5):
            status, _ = await lab.consumer("POST", "/main/" + name, body, key=key)
            if status != 0 and status < 500 and status != 429:
                if 200 <= status < 300:
                    accepted.append((name, key))
                return
            await asyncio.sleep(0.6)

    times = 1000 if trouble() else 8
    lab.record(TIMED, "timed submissions of 2 steps of 10 tasks each,", times, "times, the first in an hour")
    calls = []
    for number in range(TIMED):
        key = TENANTS[number % len(TENANTS)]["api_keys"][0]
        steps = [{"count": 10, "cpu": 2700, "mem_mb": 3900, "estimate_ms": 4800}, {"count": 10, "cpu": 2700, "mem_mb": 3900, "estimate_ms": 4800, "after": [0]}]
        body = {"spec": "nightly", "steps": steps, "repeat_count": times, "first_ms": int(time.time() * 1000) + 3_600_000, "interval_ms": 86_400_000}
        calls.append(asyncio.create_task(send(identifier(), body, key)))
        if number % 2 == 0:
            name = identifier()
            lab.durations[name] = 500
            calls.append(asyncio.create_task(send(name, {"spec": "quick", "steps": [{"count": 2, "cpu": 1300, "mem_mb": 1300, "estimate_ms": 500}]}, key)))
        if number % 10 == 9:
            lab.record("accepted so far:", len(accepted), "; resident MB:", [memory(daemon) for daemon in lab.daemons])
        await asyncio.sleep(0.4)
    await asyncio.gather(*calls)
    lab.record("the traffic has ended;", len(accepted), "accepted")
    await asyncio.sleep(FINISH_S)
    lab.record("resident MB:", [memory(daemon) for daemon in lab.daemons])
    unanswered = list(accepted)
    states = {}
    end = time.monotonic() + 20
    while unanswered and time.monotonic() < end:
        some = random.sample(unanswered, min(10, len(unanswered)))
        answers = await asyncio.gather(*(lab.consumer("GET", "/main/" + name, key=key) for name, key in some))
        for one, (status, answer) in zip(some, answers):
            if status == 200:
                unanswered.remove(one)
                state = json.loads(answer)["state"]
                states[state] = states.get(state, 0) + 1
            elif status == 410:
                return finish(lab, 1, "LOST: an accepted submission isn't known:", one[0])
    alive = sum(not daemon.down() for daemon in lab.daemons)
    ends = {daemon.ip: daemon.exits for daemon in lab.daemons if daemon.exits}
    lab.record("states", states, "; processes that run:", alive, "of", len(lab.daemons), "; ended by themselves:", ends)
    if unanswered:
        return finish(lab, 1, f"LOST: {len(unanswered)} of {len(accepted)} accepted submissions got no answer; ended by themselves:", ends)
    return finish(lab, 0, "all", len(accepted), "were answered:", states)


if __name__ == "__main__":
    main(case, os.path.dirname(os.path.abspath(__file__)))
