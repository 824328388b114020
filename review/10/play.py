import json, os, sys, threading, time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand"))
from harness import BOUNDS, CouldNotRun, Consumer, Executor, Operator, call, configuration, free_port, main, now

# How long the edge machine is cut off, and when the consumer leaves.
CUT_S = 0.9
LEAVES_S = 0.3
NAME = "5c0e7a21d94b36f8"


def play(cell, record, trouble):
    cut_off, other = cell.edge_ips
    links = cell.interpose(cut_off)
    cell.start_all()
    Operator(cell, record).replace(configuration())
    history = []
    for number in (0, 1):
        Executor(record, history, cell, f"i-{number}", f"{cell.worker_ip}:{free_port([cell.worker_ip])}")
    consumer = Consumer(cell, record)
    body = {"spec": json.dumps({"seconds": 1}), "steps": [{"count": 1, "cpu": 1000, "mem_mb": 100, "estimate_ms": 1000}]}
    for number, edge in enumerate(cell.edge_ips):
        end = now() + 15
        while consumer.request("POST", f"{number:016x}", body, edge)[0] != 200:
            if now() > end:
                raise CouldNotRun("an edge machine doesn't serve")
            time.sleep(0.2)
    time.sleep(3)

    def heal():
        time.sleep(CUT_S)
        for link in links:
            link.mode = "pass"
        record("the cut has healed")

    if trouble:
        record("cut: the edge machine", cut_off, "is cut off from the core for", CUT_S, "s")
        for link in links:
            link.mode = "silent"
        threading.Thread(target=heal, daemon=True).start()
    # The consumer gets no answer, leaves, and cancels so that the submission doesn't run.
    lasting = {"spec": json.dumps({"last": True}), "steps": [{"count": 1, "cpu": 1000, "mem_mb": 100, "estimate_ms": 300, "long_running": True}]}
    status, _ = call(f"{cut_off}:{cell.front_port}", "POST", f"/q1/{NAME}", lasting, consumer.HEADERS, timeout=LEAVES_S)
    record("consumer POST", NAME, "at", cut_off, "->", status or "no answer, the consumer leaves")
    status = 0
    while status not in (200, 410):
        status, _ = consumer.request("DELETE", NAME, None, other)
    # Late enough that the cancelling has been confirmed for cancel_ms and stop_ms, and the cut has been over for contact_ms.
    time.sleep(CUT_S + (BOUNDS["contact_ms"] + BOUNDS["cancel_ms"] + BOUNDS["stop_ms"]) / 1000 + 1)
    consumer.request("GET", NAME, None, other)
    late = [run for run in history if run.task.startswith(NAME) and run.ended is None]
    for run in late:
        record(f"UNASKED: {run.task} run {run.number} is at work, {now() - run.began:.1f} s after its start")
    return bool(late)


main(os.path.dirname(os.path.abspath(__file__)), play, edges=2)
