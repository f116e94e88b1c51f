#!/usr/bin/env python3
"""Demo of a local deployment: requests and jobs while a data centre is taken out and brought back.

Prints a report and exits 1 if a check fails.
"""
import argparse
import json
import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "..", "testsuite"))

from history import check_deadlines, check_outcomes  # noqa: E402
from load import Load  # noqa: E402
from local_deployment import SITES, Deployment, request, wait_until  # noqa: E402

CUSTOMERS = {"poolside": ("marking", "drill-check"), "dala": ("print-batches", "proof")}
REQUEST_TIME_S = 25
JOBS = 200
TASKS_PER_JOB = 3


def percentile(samples, share):
    if not samples:
        return 0.0
    ordered = sorted(samples)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


class TimedLoad(Load):
    """Load that also records response times in milliseconds."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.times = []

    def _request(self, request_id, rng):
        started = time.monotonic()
        super()._request(request_id, rng)
        with self.lock:
            self.times.append((time.monotonic() - started) * 1000)


def submit_jobs(deployment, customer, accepted):
    """Submits jobs. A rejected submission is retried at the other entry with the same key."""
    for index in range(JOBS):
        body = {"key": f"demo-{index}", "customer": customer, "kind": "batch",
                "workClass": customer, "tasks": TASKS_PER_JOB, "durationMs": 1000,
                "resources": {"milliCores": 2000, "memoryMib": 2048}, "checkpointable": True,
                "voucherCost": 1}
        for attempt in range(10):
            port = deployment.entry_ports[(index + attempt) % len(deployment.entry_ports)]
            response = request(port, "POST", "/v1/jobs", json.dumps(body).encode())
            if response.status == 200:
                accepted.append(body["key"])
                break
            time.sleep(0.2)


def duplicate_tasks(runs):
    """Tasks with overlapping runs or more than one completed run."""
    by_task = {}
    for run in runs:
        by_task.setdefault(run["task"], []).append(run)
    duplicates = set()
    for task, task_runs in by_task.items():
        task_runs.sort(key=lambda run: run["startedAt"])
        for earlier, later in zip(task_runs, task_runs[1:]):
            if not earlier["endedAt"] or earlier["endedAt"] > later["startedAt"]:
                duplicates.add(task)
        if sum(run["end"] == "done" for run in task_runs) > 1:
            duplicates.add(task)
    return duplicates


def print_progress(text):
    print(f"  {text}", flush=True)


def run(deployment, site):
    customer, service_class = CUSTOMERS[site]
    port = deployment.entry_ports[0]
    operator = {"Lavender-Operator": "demo", "Lavender-Cause": "demonstration"}
    deployment.apply_manifest()
    deployment.wait_ready()
    wait_until(lambda: len([head for head in request(port, "GET", "/v1/cells").json()
                            if head["workers"] > 0]) == 3, 20, "cells")
    request(port, "POST", "/v1/vouchers",
            json.dumps({"customer": customer, "units": 10000}).encode(), operator)
    service = {"key": "replicas", "customer": customer, "kind": "service", "tasks": 3,
               "workClass": service_class, "resources": {"milliCores": 2000, "memoryMib": 2048}}
    request(port, "POST", "/v1/jobs", json.dumps(service).encode())
    print_progress("manifest active, endpoints and cells ready")
    accepted = []
    quick = TimedLoad(deployment, threads=12, path="/check?ms=3", timeout_ms=2000).start()
    keyed = TimedLoad(deployment, threads=4, path="/pass?ms=5", seed=2, timeout_ms=2000,
                      with_keys=True, key_retries=2).start()
    submitter = threading.Thread(target=submit_jobs, args=(deployment, customer, accepted))
    submitter.start()
    centre = SITES[site]["data_centres"][1][0]
    started = time.monotonic()
    out_at_ms = 0.0
    for second in range(REQUEST_TIME_S):
        time.sleep(1)
        if second == 7:
            out = request(port, "POST", f"/v1/datacentres/{centre}/out", b"", operator)
            out_at_ms = time.time() * 1000
            print_progress(f"data centre {centre} taken out: {out.status}")
        if second == 16:
            back = request(port, "POST", f"/v1/datacentres/{centre}/back", b"", operator)
            print_progress(f"data centre {centre} brought back: {back.status}")
        if second % 5 == 4:
            print_progress(f"{len(quick.times) + len(keyed.times)} requests, "
                           f"{len(accepted)} jobs accepted")
    quick.stop()
    keyed.stop()
    submitter.join()
    print_progress("waiting for the jobs to finish")

    def unfinished():
        jobs = request(port, "GET", "/v1/jobs").json()
        return [job for job in jobs if job["kind"] == "batch" and job["state"] != "done"]

    end = time.monotonic() + 60
    while time.monotonic() < end and unfinished():
        time.sleep(0.5)
    return report(deployment, quick, keyed, accepted, unfinished(), out_at_ms, centre,
                  time.monotonic() - started)


def report(deployment, quick, keyed, accepted, lost_jobs, out_at_ms, centre, elapsed):
    executions = deployment.executions()
    failed_checks = []
    for check, arguments in ((check_outcomes, (executions, quick.outcomes)),
                             (check_deadlines, (executions,))):
        try:
            check(*arguments)
        except AssertionError as error:
            failed_checks.append(str(error))
    keys = {}
    for execution in executions:
        if execution["key"]:
            keys[execution["key"]] = keys.get(execution["key"], 0) + 1
    duplicate_keys = [key for key, count in keys.items() if count > 1]
    lost = [key for key, outcome in keyed.outcomes.items()
            if outcome == "answered" and key not in keys]
    runs = deployment.control("runs").json()
    duplicates = duplicate_tasks(runs)
    late_starts = [run for run in runs
                   if run["dataCentre"] == centre and out_at_ms + 2000 < run["startedAt"]
                   and run["startedAt"] < out_at_ms + 8000]
    counters = deployment.control("counters").json()
    over = counters["workers"]["overCapacity"] + sum(minion["overSlots"]
                                                     for minion in counters["minions"])
    outcomes = list(quick.outcomes.values()) + list(keyed.outcomes.values())
    times = quick.times + keyed.times
    evictions = sum(1 for run in runs if run["end"] == "stopped")
    rows = [("seconds", f"{elapsed:.0f}"), ("requests", len(outcomes)),
            ("  answered", outcomes.count("answered")),
            ("  rejected, not run", outcomes.count("not-run")),
            ("  outcome unknown", outcomes.count("unknown")),
            ("p50 / p99 / p999 ms", " / ".join(f"{percentile(times, share):.1f}"
                                               for share in (0.5, 0.99, 0.999))),
            ("jobs accepted / done", f"{len(accepted)} / {len(accepted) - len(lost_jobs)}"),
            ("task runs / stopped early", f"{len(runs)} / {evictions}"),
            ("duplicate executions", len(duplicate_keys) + len(duplicates)),
            ("lost", len(lost) + len(lost_jobs)),
            ("starts in the data centre while out", len(late_starts)),
            ("executions beyond slots or capacity", over),
            ("wrong responses", quick.wrong_responses + keyed.wrong_responses)]
    print()
    for name, value in rows:
        print(f"{name:40} {value}")
    for text in failed_checks:
        print(f"failed check: {text}")
    failed = failed_checks or duplicate_keys or duplicates or lost or lost_jobs or late_starts \
        or over or quick.wrong_responses or keyed.wrong_responses or not accepted
    print("\nall checks passed" if not failed else "\nCHECKS FAILED")
    return 1 if failed else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--deployment", choices=sorted(SITES), default="poolside")
    arguments = parser.parse_args()
    print(f"{arguments.deployment}: 3 data centres, 11 minions, 11 workers, 2 entries")
    with Deployment(arguments.build, arguments.deployment) as deployment:
        verdict = run(deployment, arguments.deployment)
        print("stopping all processes gracefully")
        names = sorted(deployment.processes, key=lambda name: name == "standin")
        for name in names[:-1]:
            deployment.signal(name, 15)
        codes = {name: deployment.terminate(name) if name == "standin"
                 else deployment.processes.pop(name).wait(timeout=20) for name in names}
        if any(codes.values()):
            print(f"exit codes: {codes}")
            verdict = 1
    return verdict


if __name__ == "__main__":
    sys.exit(main())
