"""A job is handed in while the store does not answer, given up, and cancelled with a 410."""
import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from stand_ins.case import run
from stand_ins.deployment import CannotRun, Deployment, route

QUEUE = "roster"
JOB = "4e19c07ab35d8f62"
BODY = {"spec": json.dumps({"lasts": True}), "steps": [
    {"count": 2, "cpu": 1000, "memMb": 500, "estimateMs": 400, "longRunning": True}]}
SILENT_S = 4.5
# The calls without an answer are performed this long after the client got its last answer to the
# submission, so that none is performed later than 6 s after it was sent.
LATE_S = 3.4
OBSERVED_S = 16.0


def play(record, trouble):
    deployment = Deployment(record)
    try:
        deployment.start([route(QUEUE)])
        deployment.await_working(QUEUE)
        store = deployment.store
        began = time.monotonic()
        silent = trouble
        if silent:
            store.begin_silence()
        deployment.call(0, "POST", QUEUE, JOB, BODY)
        handed_in = time.monotonic()
        # The client gives the job up and cancels it, at another front after each failed attempt.
        cancelled = status = None
        turn = 0
        while cancelled is None and time.monotonic() < began + 20:
            if silent and time.monotonic() >= began + SILENT_S:
                store.end_silence()
                silent = False
            turn += 1
            status, _ = deployment.call(turn, "DELETE", QUEUE, JOB, timeout=0.5)
            if status in (200, 410):
                cancelled = record.now()
            else:
                time.sleep(0.05)
        if cancelled is None:
            raise CannotRun("the cancelling was not answered")
        if store.has_unanswered():
            time.sleep(max(0.0, handed_in + LATE_S - time.monotonic()))
            store.perform_unanswered()
        healed = record.now()
        time.sleep(OBSERVED_S)
        return judge(record, deployment, cancelled, status, healed)
    finally:
        deployment.stop()


def judge(record, deployment, cancelled, status, healed):
    bounds = deployment.bounds
    now = record.now()
    running = [task for task in deployment.running() if task.startswith(JOB)]
    state = deployment.state(QUEUE, JOB, quiet=False)
    gone_by = max(cancelled, healed + bounds["contactMs"] / 1000) + \
        (bounds["cancel_ms"] + bounds["stopTimeoutMs"]) / 1000
    if running and now > gone_by:
        return [f"UNASKED: job {JOB}, whose cancelling was answered {status} at {cancelled:.3f}, "
                f"has {len(running)} tasks running at {now:.3f} and is shown as {state}"]
    return []


run(FOLDER, play)
