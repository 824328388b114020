import json, os, sys, time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand"))
from harness import Consumer, Executor, Operator, configuration, free_port, main, now, wait_for

# When the submission is handed in after the crash, and the spans of the rule.
SUBMITTED_AFTER_S = 2.5
CALM_S, IDLE_S = 4.0, 3.0


def play(cell, record, trouble):
    cell.start_all()
    Operator(cell, record).replace(configuration())
    history = []
    addresses = [f"{cell.worker_ip}:{free_port([cell.worker_ip])}" for _ in range(3)]
    lost = Executor(record, history, cell, "i-lost", addresses[0], cpu=4000)
    for number in (1, 2):
        Executor(record, history, cell, f"i-sound-{number}", addresses[number], cpu=16000)
    consumer = Consumer(cell, record)
    time.sleep(4)
    # Right after a status report, so that the executor seems sound for as long as possible.
    reported = lost.sequence
    wait_for(lambda: lost.sequence > reported, 5, "no status report")
    time.sleep(0.1)
    if trouble:
        lost.crash()
    crashed = now()
    time.sleep(SUBMITTED_AFTER_S)
    steps = [{"count": 1, "cpu": 1000, "mem_mb": 100, "estimate_ms": 300, "long_running": True}]
    name = consumer.submit({"spec": json.dumps({"last": True}), "steps": steps})
    accepted = now()
    wait_for(lambda: any(run.task.startswith(name) for run in history), 30, "the task never began")
    began = min(run.began for run in history if run.task.startswith(name))
    idle = began - max(accepted, crashed + CALM_S)
    record(f"accepted {accepted - crashed:.2f} s after the crash, first start {began - crashed:.2f} s after it: nothing ran for "
           f"{began - accepted:.2f} s, of which {max(0, idle):.2f} s more than {CALM_S} s after the crash")
    if idle >= IDLE_S:
        record(f"LOST: for {idle:.2f} s the submission had nothing running, with room for it on two sound and idle executors")
    return idle >= IDLE_S


main(os.path.dirname(os.path.abspath(__file__)), play)
