#!/usr/bin/env python3
"""Benchmarks of routing, placement, propagation times and the cost of an entry.

Compare figures within one run only; absolute values depend on the machine. Routing: requests of
50 ms, two entries, 11 minions with 8 slots, one minion five times slower; the capacity is that of
the ten healthy minions. Each load runs with the baseline (uniform random routing, no limits) and
with the policy of the daemons; the medians of the rounds are printed. Percentiles are over all
requests: one without a response in time counts as the timeout.
"""
import argparse
import json
import os
import statistics
import subprocess
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "..", "testsuite"))

from local_deployment import Deployment, request, wait_until  # noqa: E402

SERVICE_MS = 50
HEALTHY_MINIONS = 10
SLOTS = 8
CAPACITY = HEALTHY_MINIONS * SLOTS * 1000 / SERVICE_MS
LOADS = (0.5, 0.8, 0.95, 1.2, 2.0)
SECONDS = 4
TIMEOUT_MS = 1000
PROPAGATION_TARGET_S = 2.0


def run_load(build, deployment, rate, seed, path=None, seconds=SECONDS, threads=600,
             timeout_ms=TIMEOUT_MS):
    path = path or f"/v1/services/{deployment.service}/check?ms={SERVICE_MS}"
    command = [os.path.join(build, "testsuite", "request_load"), path, str(rate), str(seconds),
               str(timeout_ms), str(threads), str(seed)]
    command += [f"127.0.0.1:{port}" for port in deployment.entry_ports]
    return json.loads(subprocess.run(command, capture_output=True, check=True).stdout)


def wait_until_serving(deployment):
    deployment.apply_manifest()
    deployment.wait_ready()


def count_attempts(deployment):
    total = 0
    for port in deployment.entry_ports:
        for line in request(port, "GET", "/metrics").body.decode().splitlines():
            if line.startswith("lavender_attempts_total"):
                total += float(line.split()[-1])
    return total


def routing(build, rounds):
    print(f"routing: capacity {CAPACITY:.0f}/s, {rounds} rounds of {SECONDS} s")
    results = {}
    for baseline in (True, False):
        for load in LOADS:
            for seed in range(1, rounds + 1):
                with Deployment(build, baseline=baseline, agent_threads=640) as deployment:
                    wait_until_serving(deployment)
                    deployment.control("minion", {"minion": "m0", "slowFactor": 5})
                    run_load(build, deployment, CAPACITY * 0.3, 99, seconds=1)
                    result = run_load(build, deployment, CAPACITY * load, seed)
                    results.setdefault((load, baseline), []).append(result)
    rows = []
    for load in LOADS:
        row = {"load": load}
        for baseline, name in ((True, "uniform"), (False, "lavender")):
            for field in ("p50Ms", "p99Ms", "p999Ms", "goodputPerSecond"):
                row[f"{name}.{field}"] = statistics.median(
                    result[field] for result in results[(load, baseline)])
            row[f"{name}.refused"] = statistics.median(
                result["notRun"] / result["sent"] for result in results[(load, baseline)])
        rows.append(row)
        print(f"  load {load:4.2f}  p99 {row['uniform.p99Ms']:6.0f} -> {row['lavender.p99Ms']:6.0f}"
              f"  p999 {row['uniform.p999Ms']:6.0f} -> {row['lavender.p999Ms']:6.0f}"
              f"  goodput {row['uniform.goodputPerSecond']:6.0f} -> "
              f"{row['lavender.goodputPerSecond']:6.0f}/s"
              f"  refused {row['uniform.refused']:.3f} -> {row['lavender.refused']:.3f}", flush=True)
    peak = max(row["lavender.goodputPerSecond"] for row in rows)
    overload = rows[-1]["lavender.goodputPerSecond"]
    print(f"  goodput at 200 % load relative to the peak: {overload / peak:.2f} (target >= 0.90)")
    return rows


def retries_in_outage(build):
    """Retry amplification while a third of the minions drop each connection after the work."""
    with Deployment(build) as deployment:
        wait_until_serving(deployment)
        for index in range(0, 11, 3):
            deployment.control("minion", {"minion": f"m{index}", "dead": True})
        before = count_attempts(deployment)
        result = run_load(build, deployment, 400, 1, f"/v1/services/{deployment.service}/check?ms=5",
                          seconds=6)
        amplification = (count_attempts(deployment) - before) / result["sent"]
        print(f"retry amplification with a third of the minions failing: {amplification:.3f} "
              f"(target <= 1.1); answered {result['inTime']} of {result['sent']}")


def cpu_seconds(process):
    with open(f"/proc/{process.pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def entry_cost(build):
    """Latency and entry CPU time per request, for requests that take no time on the minion."""
    with Deployment(build, entries=1, agents=4) as deployment:
        wait_until_serving(deployment)
        path = f"/v1/services/{deployment.service}/check?ms=0"
        run_load(build, deployment, 500, 1, path, seconds=2)
        before = cpu_seconds(deployment.processes["entry0"])
        result = run_load(build, deployment, 1500, 2, path, seconds=4)
        used = cpu_seconds(deployment.processes["entry0"]) - before
        print(f"entry: p50 {result['p50Ms']:.0f} ms, p99 {result['p99Ms']:.0f} ms at 1500/s; "
              f"{result['sent'] / used:.0f} requests per core-second")


def idle_cost(build):
    """CPU time and store traffic of an idle deployment."""
    with Deployment(build) as deployment:
        wait_until_serving(deployment)
        time.sleep(8)
        names = ("entry0", "agent0")
        before = {name: cpu_seconds(deployment.processes[name]) for name in names}
        store = deployment.control("counters").json()["store"]
        time.sleep(8)
        after = deployment.control("counters").json()["store"]
        shares = ", ".join(
            f"{name} {100 * (cpu_seconds(deployment.processes[name]) - before[name]) / 8:.2f} %"
            for name in names)
        print(f"idle: {shares} of a core; store {(after['commits'] - store['commits']) / 8:.1f} "
              f"writes/s, {(after['reads'] - store['reads']) / 8:.1f} reads/s, 3 cells, 2 entries")


def measure_seconds_until(condition):
    started = time.monotonic()
    wait_until(condition, 30, "the change to propagate")
    return time.monotonic() - started


def manifest_version(port):
    for line in request(port, "GET", "/metrics").body.decode().splitlines():
        if line.startswith("lavender_manifest_version "):
            return int(float(line.split()[1]))
    return 0


def endpoint_known(port, name):
    return any(row["endpoint"] == name for row in request(port, "GET", "/v1/endpoints").json())


def propagation(build, rounds):
    """Compares the longest time until a change is known everywhere with the target."""
    manifest, leaving, returning, replaced = [], [], [], []
    with Deployment(build, entries=3) as deployment:
        wait_until_serving(deployment)
        for version in range(1, rounds + 1):
            deployment.apply_manifest(expected=version, entry=version % 3)
            ports = deployment.entry_ports + deployment.agent_ports
            manifest.append(measure_seconds_until(
                lambda: all(manifest_version(port) > version for port in ports)))
            deployment.kill("agent3")
            leaving.append(measure_seconds_until(lambda: not any(
                endpoint_known(port, "m3") for port in deployment.entry_ports)))
            deployment.start_agent(3)
            returning.append(measure_seconds_until(lambda: all(
                endpoint_known(port, "m3") for port in deployment.entry_ports)))
            deployment.control("store", {"down": True})
            deployment.kill("entry2")
            deployment.start_entry(2)
            port = deployment.entry_ports[2]
            replaced.append(measure_seconds_until(
                lambda: request(port, "GET", "/readyz").status == 200
                and len(request(port, "GET", "/v1/endpoints").json()) == 11))
            deployment.control("store", {"down": False})
            time.sleep(1)
    for name, times in (("manifest active in 14 processes", manifest),
                        ("killed endpoint gone from 3 entries", leaving),
                        ("returned endpoint known to 3 entries", returning),
                        ("replaced entry complete, store down", replaced)):
        verdict = "met" if max(times) <= PROPAGATION_TARGET_S else "MISSED"
        print(f"propagation: {name}: {max(times):.2f} s, slowest of {rounds} "
              f"(target {PROPAGATION_TARGET_S} s): {verdict}")


def placement(build, seeds):
    print(f"placement: plain -> adaptive, {seeds} seeds, medians")
    lines = subprocess.run([os.path.join(build, "src", "policy_bench"), str(seeds)],
                           capture_output=True, text=True, check=True).stdout.splitlines()
    groups = {}
    for line in lines:
        row = json.loads(line)
        groups.setdefault((row["deployment"], row["dataCentreLeaves"]), []).append(row)
    for (deployment, leaves), rows in groups.items():
        def median(policy, field, rows=rows):
            return statistics.median(row[policy][field] for row in rows)
        parts = [f"{field} {median('plain', field):.3g} -> {median('adaptive', field):.3g}"
                 for field in ("serviceP99", "serviceP999", "batchDone", "evictions", "workLost",
                               "workWhileOut")]
        print(f"  {deployment}{', data centre leaves' if leaves else ''}: " + "; ".join(parts),
              flush=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--only", default="", help="comma-separated benchmarks to run")
    arguments = parser.parse_args()
    steps = {"entry": lambda: entry_cost(arguments.build),
             "idle": lambda: idle_cost(arguments.build),
             "retries": lambda: retries_in_outage(arguments.build),
             "spread": lambda: propagation(arguments.build, arguments.rounds),
             "placement": lambda: placement(arguments.build, arguments.seeds),
             "routing": lambda: routing(arguments.build, arguments.rounds),
             "micro": lambda: subprocess.run(
                 [os.path.join(arguments.build, "src", "scheduling_bench")], check=True)}
    for name, step in steps.items():
        if not arguments.only or name in arguments.only.split(","):
            step()


if __name__ == "__main__":
    main()
