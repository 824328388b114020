import json, os, sys, threading, time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand"))
from harness import Consumer, Executor, Operator, configuration, free_port, main, now, others, wait_for

# How long the executor is down; its next life sends its first status report this long after a task has begun there, 1.5 s after its start at the latest.
DOWN_S, FIRST_REPORT_S, LATEST_REPORT_S = 0.3, 0.2, 1.5
ATTEMPTS = 2


def play(cell, record, trouble):
    cell.start_all()
    Operator(cell, record).replace(configuration(attempts=ATTEMPTS))
    history = []
    address = f"{cell.worker_ip}:{free_port([cell.worker_ip])}"
    earlier = Executor(record, history, cell, "i-again", address, cpu=4000, clock_base=600_000)
    executors = [earlier, *others(record, history, cell, cpu=16000)]
    consumer = Consumer(cell, record)
    time.sleep(1)
    # The submission that can't be done is one of 25.
    steps = [{"count": 1, "cpu": 1000, "mem_mb": 100, "estimate_ms": 400}]
    for _ in range(24):
        consumer.submit({"spec": json.dumps({"seconds": 0.2}), "steps": steps})
    wait_for(lambda: sum(run.how == "done" for run in history) >= 24, 20, "the other submissions weren't done")
    time.sleep(4)
    reported = earlier.sequence
    wait_for(lambda: earlier.sequence > reported, 5, "no status report")
    if trouble:
        earlier.crash()
        time.sleep(DOWN_S)
        later = Executor(record, history, cell, "i-again", address, cpu=4000, clock_base=0, heartbeat=False)
        executors.append(later)

        def report():
            latest = now() + LATEST_REPORT_S
            while not later.running and now() < latest:
                time.sleep(0.01)
            time.sleep(FIRST_REPORT_S)
            later.report_often()

        threading.Thread(target=report, daemon=True).start()
    # A task that fails each time.
    name = consumer.submit({"spec": json.dumps({"seconds": 0.4, "ends": "failed"}), "steps": steps})
    wait_for(lambda: consumer.state(name) == "failed", 30, "the submission isn't shown as failed")
    time.sleep(3)
    runs = [run for run in history if run.task.startswith(name)]
    noted = {(task, run) for executor in executors for task, run, how in executor.noted if how == "failed"}
    broken = False
    for run in runs:
        before = [each for each in runs if each.number < run.number and each.how == "failed" and (each.task, each.number) in noted]
        if len(before) >= ATTEMPTS:
            record(f"BUDGET: {run.task} run {run.number} began on {run.executor} after {len(before)} runs had ended failed, max_attempts {ATTEMPTS};",
                   "these ends were taken note of")
            broken = True
    return broken


main(os.path.dirname(os.path.abspath(__file__)), play)
