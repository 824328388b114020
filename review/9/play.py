import json, os, socket, sys, time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand"))
from harness import BOUNDS, Consumer, Executor, Operator, Proxy, configuration, free_port, main, now, others, overlaps, wait_for

# How long the cut has lasted when the executor deregisters, and when it ends without a confirmation.
CUT_BEFORE_S, ENDS_AFTER_S = 1.0, 3.0


def post(channel, path, body):
    """Sends a call on an open channel and doesn't wait for its answer."""
    data = json.dumps(body).encode()
    channel.sendall(f"POST {path} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data)


def play(cell, record, trouble):
    cell.start_all()
    Operator(cell, record).replace(configuration())
    history = []
    addresses = [f"{cell.worker_ip}:{free_port([cell.worker_ip])}" for _ in range(2)]
    proxy = Proxy(addresses[0], addresses[1])
    leaving = Executor(record, history, cell, "i-leaving", addresses[0], listen=addresses[1])
    consumer = Consumer(cell, record)
    time.sleep(1)
    steps = [{"count": 1, "cpu": 1000, "mem_mb": 100, "estimate_ms": 8000}]
    name = consumer.submit({"spec": json.dumps({"seconds": 8}), "steps": steps})
    wait_for(lambda: leaving.running, 10, "the task didn't begin")
    others(record, history, cell, cpu=4000)
    time.sleep(1.5)
    leaving.state = "draining"
    wait_for(lambda: leaving.report(quiet=False), 5, "no confirmation of the draining")
    # The executor has a channel to a core machine that stays open.
    channel = socket.create_connection((cell.core_ips[0], cell.control_port))
    time.sleep(BOUNDS["drain_ms"] / 1000 + 0.3)
    if trouble:
        record("cut: i-leaving is cut off one way; calls to it are refused, answers to it are lost, what it sends on open channels arrives")
        proxy.refuse()
        leaving.control = []
        time.sleep(CUT_BEFORE_S)
        record("executor i-leaving deregisters at", cell.core_ips[0], "on the open channel")
        post(channel, f"/Instances.Deregister/{leaving.name}", {"born": leaving.born})
        # Without a confirmation it ends some seconds later.
        time.sleep(ENDS_AFTER_S)
    elif not leaving.deregister():
        time.sleep(ENDS_AFTER_S)
    leaving.crash()
    wait_for(lambda: any(run.how == "done" for run in history), 30, "no run was done")
    found = overlaps(history, now())
    for one, two, span in found:
        record(f"TWICE: {one.task}: run {one.number} on {one.executor} and run {two.number} on {two.executor} were both at work for {span:.3f} s")
    return bool(found)


main(os.path.dirname(os.path.abspath(__file__)), play)
