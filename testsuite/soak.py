#!/usr/bin/env python3
"""Seeded soak test of a local deployment: requests, idempotency keys and jobs under random faults.

Prints each injected fault. At the end it checks all guarantees against the recorded executions.
"""
import argparse
import json
import random
import signal
import sys
import time

from history import check_deadlines, check_keys, check_outcomes
from jobs_case import JOB, check_runs, post
from load import Load
from local_deployment import Deployment, request, wait_until

SETTLE_S = 120


class Faults:
    """Injects random faults one by one and undoes those that would keep the run from finishing."""

    def __init__(self, deployment, seed):
        self.deployment = deployment
        self.rng = random.Random(seed)
        self.dead_workers = []
        self.expected_version = 1

    def inject_random(self):
        kinds = [self.kill_agent, self.kill_entry, self.freeze, self.store_down, self.lose_answers,
                 self.slow_store, self.slow_minion, self.kill_worker, self.change_data_centre,
                 self.race_manifests, self.stop_agent]
        fault = self.rng.choice(kinds)
        print(f"  {fault.__name__}", flush=True)
        fault()
        time.sleep(self.rng.uniform(0.3, 1.5))

    def kill_agent(self):
        index = self.rng.randrange(len(self.deployment.agent_ports))
        self.deployment.kill(f"agent{index}")
        self.deployment.start_agent(index)

    def stop_agent(self):
        index = self.rng.randrange(len(self.deployment.agent_ports))
        assert self.deployment.terminate(f"agent{index}") == 0
        self.deployment.start_agent(index)

    def kill_entry(self):
        index = self.rng.randrange(len(self.deployment.entry_ports))
        self.deployment.kill(f"entry{index}")
        time.sleep(self.rng.uniform(0, 1))
        self.deployment.start_entry(index)

    def freeze(self):
        name = self.rng.choice([name for name in self.deployment.processes if name != "standin"])
        self.deployment.signal(name, signal.SIGSTOP)
        time.sleep(self.rng.uniform(0.2, 3))
        self.deployment.signal(name, signal.SIGCONT)

    def store_down(self):
        self.deployment.control("store", {"down": True})
        time.sleep(self.rng.uniform(0.2, 3))
        self.deployment.control("store", {"down": False})

    def lose_answers(self):
        self.deployment.control("store", {"loseEvery": self.rng.choice([0, 3, 7])})

    def slow_store(self):
        self.deployment.control("store", {"delayMs": self.rng.choice([0, 0, 40, 150])})

    def slow_minion(self):
        name = f"m{self.rng.randrange(len(self.deployment.minion_ports))}"
        self.deployment.control("minion", {"minion": name, "slowFactor": self.rng.choice([1, 8]),
                                           "truncate": self.rng.random() < 0.2,
                                           "dead": self.rng.random() < 0.2})

    def kill_worker(self):
        for worker in self.dead_workers:
            self.deployment.control("worker", {"worker": worker, "dead": False})
        self.dead_workers = [f"w{self.rng.randrange(self.deployment.worker_count)}"]
        self.deployment.control("worker", {"worker": self.dead_workers[0], "dead": True})

    def change_data_centre(self):
        centre = self.deployment.data_centre(self.rng.randrange(3))[0]
        action = self.rng.choice(["out", "back"])
        port = self.rng.choice(self.deployment.entry_ports)
        if action == "out":  # no job is accepted while every data centre is out
            self.all_data_centres_back(port)
        post(port, f"/v1/datacentres/{centre}/{action}", {})

    def all_data_centres_back(self, port):
        for centre, _ in self.deployment.site["data_centres"]:
            post(port, f"/v1/datacentres/{centre}/back", {})

    def race_manifests(self):
        port = self.rng.choice(self.deployment.entry_ports)
        response = request(port, "GET", "/v1/manifest")
        if response.status == 200:
            self.deployment.apply_manifest(response.json()["version"],
                                           self.rng.randrange(len(self.deployment.entry_ports)))

    def clear_all(self):
        self.deployment.control("store", {"down": False, "loseEvery": 0, "delayMs": 0})
        for index in range(len(self.deployment.minion_ports)):
            self.deployment.control("minion", {"minion": f"m{index}", "slowFactor": 1,
                                               "truncate": False, "dead": False})
        for worker in self.dead_workers:
            self.deployment.control("worker", {"worker": worker, "dead": False})
        self.all_data_centres_back(self.deployment.entry_ports[0])


def submit(deployment, key, rng):
    body = dict(JOB, key=key, tasks=rng.randint(1, 8), durationMs=rng.randint(200, 2500))
    for _ in range(200):
        response = post(rng.choice(deployment.entry_ports), "/v1/jobs", body)
        if response.status == 200:
            return body["tasks"]
        time.sleep(0.3)
    raise AssertionError(f"job {key} was never accepted: {response}")


def run(arguments):
    rng = random.Random(arguments.seed + 1)
    with Deployment(arguments.build, agents=5, entries=3) as deployment:
        deployment.apply_manifest()
        deployment.wait_ready()
        port = deployment.entry_ports[0]
        post(port, "/v1/vouchers", {"customer": "marking", "units": 100000})
        wait_until(lambda: len(request(port, "GET", "/v1/cells").json()) == 3, 20, "cells")
        faults = Faults(deployment, arguments.seed)
        plain = Load(deployment, threads=6, seed=arguments.seed, timeout_ms=1500).start()
        keyed = Load(deployment, threads=4, seed=arguments.seed + 7, timeout_ms=1500,
                     with_keys=True, key_retries=3).start()
        end = time.monotonic() + arguments.seconds
        tasks = 0
        jobs = 0
        try:
            while time.monotonic() < end:
                faults.inject_random()
                tasks += submit(deployment, f"soak-{jobs}", rng)
                jobs += 1
        finally:
            faults.clear_all()
            plain.stop()
            keyed.stop()

        def ended():
            listed = request(port, "GET", "/v1/jobs")
            return listed.status == 200 and len(listed.json()) == jobs and \
                all(job["state"] in ("done", "failed", "cancelled") for job in listed.json())

        wait_until(ended, SETTLE_S, "all jobs to end")
        executions = deployment.executions()
        check_outcomes(executions, plain.outcomes)
        check_deadlines(executions)
        check_keys(executions)
        check_runs(deployment)
        assert plain.wrong_responses == 0 and keyed.wrong_responses == 0
        balance = request(port, "GET", "/v1/vouchers").json()[0]
        refunds = sum(job["refund"] for job in request(port, "GET", "/v1/jobs").json())
        assert balance["spent"] == tasks - refunds, (balance, tasks, refunds)
        outcomes = list(plain.outcomes.values()) + list(keyed.outcomes.values())
        print(json.dumps({"seed": arguments.seed, "requests": len(outcomes),
                          "answered": outcomes.count("answered"),
                          "notRun": outcomes.count("not-run"),
                          "unknown": outcomes.count("unknown"), "jobs": jobs, "tasks": tasks,
                          "verdict": "all promises held"}))


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=int, default=30)
    run(parser.parse_args())


if __name__ == "__main__":
    sys.exit(main())
