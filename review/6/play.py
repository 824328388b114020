import json, os, sys, threading, time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand"))
from harness import Consumer, Executor, Operator, Proxy, configuration, free_port, main, now, others, overlaps, wait_for

# How long the executor is down, and how long the cut lasts. The next life sends its first status report this long after a task has begun there, 1.5 s
# after its start at the latest.
DOWN_S, CUT_S, FIRST_REPORT_S, LATEST_REPORT_S = 0.3, 8.0, 0.4, 1.5


def play(cell, record, trouble):
    cell.start_all()
    Operator(cell, record).replace(configuration())
    history = []
    addresses = [f"{cell.worker_ip}:{free_port([cell.worker_ip])}" for _ in range(2)]
    proxy = Proxy(addresses[0], addresses[1])
    # It has been up for ten minutes by its own clock.
    earlier = Executor(record, history, cell, "i-again", addresses[0], listen=addresses[1], cpu=4000, clock_base=600_000)
    others(record, history, cell, cpu=16000)
    consumer = Consumer(cell, record)
    time.sleep(4)

    def submit(seconds):
        steps = [{"count": 1, "cpu": 1000, "mem_mb": 100, "estimate_ms": 1000 * seconds}]
        return consumer.submit({"spec": json.dumps({"seconds": seconds}), "steps": steps})

    reported = earlier.sequence
    wait_for(lambda: earlier.sequence > reported, 5, "no status report")
    executor = earlier
    if trouble:
        earlier.crash()
        time.sleep(DOWN_S)
        executor = Executor(record, history, cell, "i-again", addresses[0], listen=addresses[1], cpu=4000, clock_base=0, heartbeat=False)

        def report():
            latest = now() + LATEST_REPORT_S
            while not executor.running and now() < latest:
                time.sleep(0.01)
            time.sleep(FIRST_REPORT_S)
            executor.report_often()

        threading.Thread(target=report, daemon=True).start()
    submit(2)
    time.sleep(1.5)
    name = submit(12)
    wait_for(lambda: any(run.task.startswith(name) for run in history), 10, "the task didn't begin")
    time.sleep(0.5)
    if trouble:
        record("cut: i-again is cut off from the core and from control for", CUT_S, "s; its lease goes on for",
               f"{(executor.until - executor.clock()) / 1000:.1f} s")
        executor.control = []
        proxy.mode = "silent"
        time.sleep(CUT_S)
        proxy.mode = "pass"
        executor.control = list(cell.core_ips)
        record("the cut has healed")
    time.sleep(5)
    found = overlaps(history, now())
    for one, two, span in found:
        record(f"TWICE: {one.task}: run {one.number} on {one.executor} and run {two.number} on {two.executor} were both at work for {span:.3f} s")
    return bool(found)


main(os.path.dirname(os.path.abspath(__file__)), play)
