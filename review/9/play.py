import json, os, sys, time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand"))
from harness import BOUNDS, Consumer, Executor, Operator, Proxy, configuration, free_port, main, now, overlaps, wait_for

# How long the cut has lasted when the executor deregisters.
CUT_BEFORE_S = 1.0


def play(cell, record, trouble):
    cell.start_all()
    Operator(cell, record).replace(configuration())
    history = []
    addresses = [f"{cell.worker_ip}:{free_port([cell.worker_ip])}" for _ in range(3)]
    proxy = Proxy(addresses[0], addresses[1])
    leaving = Executor(record, history, cell, "i-leaving", addresses[0], listen=addresses[1])
    consumer = Consumer(cell, record)
    time.sleep(1)
    steps = [{"count": 1, "cpu": 1000, "mem_mb": 100, "estimate_ms": 8000}]
    name = consumer.submit({"spec": json.dumps({"seconds": 8}), "steps": steps})
    wait_for(lambda: leaving.running, 10, "the task didn't begin")
    Executor(record, history, cell, "i-other", addresses[2])
    time.sleep(1.5)
    leaving.state = "draining"
    wait_for(lambda: leaving.report(quiet=False), 5, "no confirmation of the draining")
    time.sleep(BOUNDS["drain_ms"] / 1000 + 0.3)
    if trouble:
        leader = cell.leader()
        record("cut: the leader", leader, "loses the path to the executor, its calls are refused; the other machines keep theirs")
        proxy.refuse()
        leaving.control = [ip for ip in leaving.control if ip != leader]
        time.sleep(CUT_BEFORE_S)
    # It ends at the confirmation, or some seconds later without one.
    if not leaving.deregister():
        time.sleep(3)
    leaving.crash()
    wait_for(lambda: any(run.how == "done" for run in history), 30, "no run was done")
    found = overlaps(history, now())
    for one, two, span in found:
        record(f"TWICE: {one.task}: run {one.number} on {one.executor} and run {two.number} on {two.executor} were both at work for {span:.3f} s")
    return bool(found)


main(os.path.dirname(os.path.abspath(__file__)), play)
