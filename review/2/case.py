"""Jobs are accepted and cancelled while the store's feeds are silent; then its history is lost."""
import json
import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from stand_ins.case import run
from stand_ins.deployment import CannotRun, Deployment, route

QUEUE = "roster"
QUIET_S = 1.0
# Time after the loss of the history in which nothing else happens.
OBSERVED_S = 20.0
# One job for each first digit of an id; the other digits are drawn once and kept.
JOBS = [f"{first:x}4b7a90c51de38f6" for first in range(16)]
BODY = {"spec": json.dumps({"lasts": True}), "steps": [
    {"count": 2, "cpu": 1000, "memMb": 500, "estimateMs": 400, "longRunning": True}]}


def hand_in_and_cancel(deployment, index, cancelled, errors):
    try:
        deployment.submit(QUEUE, JOBS[index], BODY, front=index)
        cancelled[JOBS[index]] = deployment.cancel(QUEUE, JOBS[index], front=index + 1)
    except CannotRun as error:
        errors.append(error)


def play(record, trouble):
    deployment = Deployment(record)
    try:
        deployment.start([route(QUEUE)])
        deployment.await_working(QUEUE)
        cancelled, errors = {}, []
        began = time.monotonic()
        if trouble:
            deployment.store.begin_quiet()
        threads = [threading.Thread(target=hand_in_and_cancel,
                                    args=(deployment, index, cancelled, errors))
                   for index in range(len(JOBS))]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        if errors:
            raise errors[0]
        time.sleep(max(0.0, began + QUIET_S - time.monotonic()))
        if trouble:
            deployment.store.drop_history()
        healed = record.now()
        time.sleep(OBSERVED_S)
        return judge(record, deployment, cancelled, healed)
    finally:
        deployment.stop()


def judge(record, deployment, cancelled, healed):
    bounds = deployment.bounds
    now = record.now()
    breaks = []
    still = deployment.running()
    for job in JOBS:
        state = deployment.state(QUEUE, job, quiet=False)
        gone_by = max(cancelled[job] + bounds["cancel_ms"] / 1000 + bounds["stopTimeoutMs"] / 1000,
                      healed + (bounds["contactMs"] + bounds["cancel_ms"] +
                                bounds["stopTimeoutMs"]) / 1000)
        running = [task for task in still if task.startswith(job)]
        if running and now > gone_by:
            breaks.append(f"UNASKED: job {job}, cancelled at {cancelled[job]:.3f}, has "
                          f"{len(running)} tasks running at {now:.3f} and is shown as {state}")
    return breaks


run(FOLDER, play)
