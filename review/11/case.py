"""Nobody reads the standard output of the daemons any more; the submissions that were accepted before are asked for."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lab3"))
from lab import *

FINISH_S = 14


async def traffic(lab, accepted, seconds):
    """About eight small submissions a second, from several consumers."""
    end = time.monotonic() + seconds

    async def one():
        name = identifier()
        steps = [{"count": 2, "cpu": 500, "mem_mb": 256, "estimate_ms": 300}]
        lab.durations[name] = 300
        status, _ = await lab.consumer("POST", "/main/" + name, {"spec": "work", "steps": steps})
        if 200 <= status < 300:
            accepted.append(name)

    calls = []
    while time.monotonic() < end:
        calls.append(asyncio.create_task(one()))
        await asyncio.sleep(0.12)
    await asyncio.gather(*calls)


async def case(lab):
    if not await lab.boot(configuration()):
        return finish(lab, 2, "no configuration was acknowledged")
    await lab.add_executors([Executor(lab, f"i-{number:08x}", {"cpu": 16000, "mem_mb": 32768, "gpu": 0}, ["a", f"r1-{number // 6}"]) for number in range(12)])
    await asyncio.sleep(3)
    accepted = []
    await traffic(lab, accepted, 8)
    if len(accepted) < 30:
        return finish(lab, 2, "the calm traffic was not accepted:", len(accepted))
    if trouble():
        lab.record("TROUBLE: the collector of the logs reads nothing more")
        lab.collector_stalled = True
    await traffic(lab, accepted, 30)
    lab.record("the traffic has ended;", len(accepted), "accepted")
    await asyncio.sleep(FINISH_S)
    unanswered = list(accepted)
    states = {}
    end = time.monotonic() + 12
    while unanswered and time.monotonic() < end:
        names = random.sample(unanswered, min(20, len(unanswered)))
        answers = await asyncio.gather(*(lab.consumer("GET", "/main/" + name) for name in names))
        for name, (status, answer) in zip(names, answers):
            if status == 200:
                unanswered.remove(name)
                state = json.loads(answer)["state"]
                states[state] = states.get(state, 0) + 1
            elif status == 410:
                return finish(lab, 1, "an accepted submission isn't known:", name)
    alive = sum(not daemon.down() for daemon in lab.daemons)
    lab.record("states", states, "; processes that run:", alive, "of", len(lab.daemons))
    if unanswered:
        return finish(lab, 1, f"LOST: {len(unanswered)} of {len(accepted)} accepted submissions got no answer;", "processes that run:", alive)
    if set(states) - {"complete"}:
        return finish(lab, 1, "LOST: not complete:", states)
    return finish(lab, 0, "all", len(accepted), "are complete")


case.options = {"collects_logs": True}
if __name__ == "__main__":
    main(case, os.path.dirname(os.path.abspath(__file__)))
