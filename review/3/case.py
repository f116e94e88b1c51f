"""One open channel to the store goes silent while a response to the cell's owner is under way."""
import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from stand_ins.case import run
from stand_ins.deployment import HOST, CannotRun, Deployment, free_ports, route
from stand_ins.link import Link

QUEUE = "drill"
WORK_MS = 800
# Jobs with a spec of the greatest length that the pages allow.
SPEC = json.dumps({"ms": WORK_MS, "text": ""})
BODY = {"spec": json.dumps({"ms": WORK_MS, "text": "x" * (4000 - len(SPEC))}), "steps": [
    {"count": 6, "cpu": 480, "memMb": 960, "estimateMs": WORK_MS}]}
FEED = b"GET /-/rows-feed?table=lav-job&"
PASSED_BYTES = 1400  # about one packet
TRAFFIC_S = 14.0
PAUSE_S = 1.0
# LOST: a job has nothing running for this long although its turn has come.
IDLE_S = 3.0


def play(record, trouble):
    links = {}

    def store_of(name, store):
        if not name.startswith("front"):
            return store.address
        host, port = store.address.split(":")
        links[name] = Link((HOST, free_ports(1)[0]), (host, int(port)), record, name)
        return links[name].address

    deployment = Deployment(record, store_of=store_of)
    try:
        deployment.start([route(QUEUE)])
        deployment.await_working(QUEUE)
        owner = next((name for name in links
                      if deployment.owner()["owner"].startswith(name + "-")), None)
        if owner is None:
            raise CannotRun("the cell has no owner among the fronts")
        record.add("owner of the cell", name=owner)
        if trouble:
            links[owner].arm(FEED, PASSED_BYTES)
        accepted = {}
        until = time.monotonic() + TRAFFIC_S
        while time.monotonic() < until:
            job = f"{0x9c00000000000000 + len(accepted):016x}"
            accepted[job] = deployment.submit(QUEUE, job, BODY, front=len(accepted))
            time.sleep(PAUSE_S)
        if trouble and not links[owner].silent.is_set():
            raise CannotRun("no response of the feed was long enough")
        time.sleep(deployment.bounds["finish_s"])
        breaks = judge(record, deployment, accepted)
        observe_recovery(record, deployment, accepted)
        return breaks
    finally:
        deployment.stop()
        for link in links.values():
            link.stop()


def judge(record, deployment, accepted):
    """finish_s after the end of the traffic; calm time counts from contactMs after the channel went
    silent."""
    silent = [event["at"] for event in record.of("an open channel went silent")]
    calm = (silent[0] if silent else 0.0) + deployment.bounds["contactMs"] / 1000
    now = record.now()
    started = {event["task"].split(".")[0] for event in record.of("run started")}
    breaks = []
    for job, when in accepted.items():
        idle = now - max(when, calm)
        if job in started or idle < IDLE_S:
            continue
        breaks.append(f"LOST: job {job}, accepted at {when:.3f}, has had nothing running for "
                      f"{idle:.1f} calm s; {len(deployment.running())} tasks run on all minions; "
                      f"it is shown as {deployment.state(QUEUE, job)}")
    return breaks


def observe_recovery(record, deployment, accepted):
    """Not judged: how long the work stood still."""
    last = list(accepted)[-1]
    deployment.await_state(QUEUE, last, "done", 45.0)
    record.add("last job is shown as", state=deployment.state(QUEUE, last))


run(FOLDER, play)
