"""A deregistration waits in a frozen replica while its executor ends and starts again under the same id."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lab3"))
from lab import *

DRAIN_S = 2.0
FREEZE_S = 4.0
FINISH_S = 14
LONG_MS = 8000


def leader(lab):
    """The address of the replica whose log tells last that it leads."""
    begun = {}
    for daemon in lab.daemons:
        with open(daemon.log, encoding="utf-8", errors="replace") as log:
            for line in log:
                if "event=leader_duties_started" in line:
                    begun[daemon.ip] = line.split(" ")[0]
    return max(begun, key=begun.get) if begun else None


async def case(lab):
    if not await lab.boot(configuration()):
        return finish(lab, 2, "no configuration was acknowledged")
    kinds = ["a"] * 7 + ["b"]
    executors = [Executor(lab, f"i-{number:08x}", {"cpu": 16000, "mem_mb": 32768, "gpu": 0}, [kind, f"r1-{number // 6}"]) for number, kind in enumerate(kinds)]
    await lab.add_executors(executors)
    await asyncio.sleep(4)
    subject = executors[-1]
    calm = identifier()
    await lab.submit("/main/", calm, [{"count": 2, "cpu": 1000, "mem_mb": 500, "estimate_ms": 500, "required_label": "b"}], 500)
    await asyncio.sleep(2.5)
    if not any(task.startswith(calm) for _, _, task, _ in lab.starts):
        return finish(lab, 2, "the calm submission did not begin")

    # A planned end of the executor: it drains, is empty, deregisters and ends.
    subject.state = "draining"
    if not await subject.beat():
        return finish(lab, 2, "no daemon acknowledged that the executor drains")
    lab.record("executor", subject.name, "born", subject.born, "drains; this is acknowledged")
    await asyncio.sleep(DRAIN_S + 0.3)
    frozen = next(daemon for daemon in lab.daemons if daemon.role == "replica" and daemon.ip != leader(lab))
    address = next(control for control in lab.controls if control.startswith(frozen.ip + ":"))
    if trouble():
        lab.record("TROUBLE: replica", frozen.ip, "freezes for", FREEZE_S, "s; the leader is", leader(lab))
        frozen.kill(signal.SIGSTOP)
    froze = time.monotonic()
    status, _ = await call(address, "POST", f"/Instances.Deregister/{subject.name}", timeout=1.0)
    lab.record("executor", subject.name, "deregisters at", address, "->", status or "no answer")
    for task in subject.tasks:
        task.cancel()
    subject.dark = True
    await asyncio.sleep(1.0 if status else 1.2)

    # It starts again under its id; other daemons acknowledge its reports.
    subject.dark = False
    subject.state = "ready"
    subject.live()
    subject.tasks = [asyncio.create_task(subject.report()), asyncio.create_task(subject.work())]
    lab.record("executor", subject.name, "starts again, born", subject.born)
    await asyncio.sleep(0.7)
    need = {"cpu": 2000, "mem_mb": 1000, "required_label": "b"}
    jobs = {}

    async def hand_in(what, duration, **step):
        name = identifier()
        if await lab.submit("/main/", name, [{"count": 1, "estimate_ms": duration or 0, **need, **step}], duration) == 200:
            jobs[name] = what

    await hand_in("a task of 8 s", LONG_MS)
    await hand_in("a task that lasts", None, long_running=True)
    await asyncio.sleep(max(0.0, froze + FREEZE_S - time.monotonic()))
    if trouble():
        frozen.kill(signal.SIGCONT)
        lab.record("replica", frozen.ip, "wakes again")
    await asyncio.sleep(1.5)
    await hand_in("a task of 8 s, handed in later", LONG_MS)
    if len(jobs) < 3:
        return finish(lab, 2, "a submission was not accepted")
    lab.record("the traffic has ended")
    await asyncio.sleep(FINISH_S)

    # From here on: has a submission nothing running for 3 s, with room for it many times over?
    idle = {name: 0.0 for name in jobs}
    worst = dict(idle)
    states = {}
    for _ in range(32):
        await asyncio.sleep(0.25)
        for name in jobs:
            busy = any(task.startswith(name) for executor in executors for task in executor.running)
            done = any(task.startswith(name) and how == "done" for _, _, task, _, how in lab.ends)
            idle[name] = 0.0 if busy or done else idle[name] + 0.25
            worst[name] = max(worst[name], idle[name])
    for name in jobs:
        status, answer = await lab.consumer("GET", "/main/" + name)
        states[jobs[name]] = answer.decode() if status == 200 else status
    lab.record("executor", subject.name, "is", subject.state, "runs", subject.running, "of", subject.capacity)
    starved = [jobs[name] for name in jobs if worst[name] >= 3]
    lab.record("states", states, "; nothing running for:", {jobs[name]: worst[name] for name in jobs})
    if starved:
        return finish(lab, 1, "LOST: nothing running for over 3 s, with an empty executor that reports ready:", starved)
    return finish(lab, 0, "all run or are complete:", states)


if __name__ == "__main__":
    main(case, os.path.dirname(os.path.abspath(__file__)))
