#!/usr/bin/env python3
"""Measures resource use by deployment size; writes docs/capacity/slopes.csv and slopes.svg.

docs/CAPACITY.md extrapolates from these figures. All processes run on one machine and each figure
comes from a single run; the CSV records date and machine.
"""
import argparse
import csv
import datetime
import json
import os
import platform
import subprocess
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "..", "testsuite"))

from bench import cpu_seconds  # noqa: E402
from local_deployment import Deployment, wait_until, request  # noqa: E402

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..")
ANNOUNCE_SIZES = (100, 400, 1600)
ANNOUNCE_SECONDS = 6
IDLE_SECONDS = 8


def resident_mb(process):
    with open(f"/proc/{process.pid}/status", encoding="ascii") as file:
        for line in file:
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
    return 0.0


def announcements(build, add):
    """CPU time and memory of an entry by number of endpoints."""
    for size in ANNOUNCE_SIZES:
        with Deployment(build, entries=1, agents=0, workers=0) as deployment:
            deployment.apply_manifest()
            entry = deployment.processes["entry0"]
            time.sleep(1)
            cpu = cpu_seconds(entry)
            memory = resident_mb(entry)
            command = [os.path.join(build, "testsuite", "announce_load"), str(size),
                       str(ANNOUNCE_SECONDS), f"127.0.0.1:{deployment.entry_ports[0]}"]
            result = json.loads(subprocess.run(command, capture_output=True, check=True).stdout)
            used = cpu_seconds(entry) - cpu
            add("entry", "announcements/s", size, result["sent"] / result["seconds"])
            add("entry", "announcements failed", size, result["failed"])
            add("entry", "core share by announcements", size, used / result["seconds"])
            add("entry", "core us per announcement", size, 1e6 * used / max(1, result["sent"]))
            add("entry", "memory MB", size, resident_mb(entry))
            add("entry", "memory MB before", size, memory)
            add("agent", "announcement body bytes", size, result["bodyBytes"])


def idle(build, add):
    """Idle CPU time, memory and store traffic by number of entries."""
    for entries in (1, 2, 4):
        with Deployment(build, entries=entries, agents=3) as deployment:
            deployment.apply_manifest()
            deployment.wait_ready()
            wait_until(lambda: len(request(deployment.entry_ports[0], "GET",
                                           "/v1/cells").json()) == 3, 20, "cells")
            time.sleep(2)
            agent = deployment.processes["agent0"]
            entry = deployment.processes["entry0"]
            before = (cpu_seconds(agent), cpu_seconds(entry))
            store = deployment.control("counters").json()["store"]
            time.sleep(IDLE_SECONDS)
            after = deployment.control("counters").json()["store"]
            add("agent", "core share idle", entries, (cpu_seconds(agent) - before[0]) / IDLE_SECONDS)
            add("agent", "memory MB", entries, resident_mb(agent))
            add("entry", "core share idle, 3 cells in all", entries,
                (cpu_seconds(entry) - before[1]) / IDLE_SECONDS)
            add("store", "writes/s idle, 3 cells", entries,
                (after["commits"] - store["commits"]) / IDLE_SECONDS)
            add("store", "reads/s idle, 3 cells", entries,
                (after["reads"] - store["reads"]) / IDLE_SECONDS)


def decisions(build, add):
    """Cost of placements, reports and recovery in a cell owner."""
    command = [os.path.join(build, "src", "scheduling_bench"), "--benchmark_format=json"]
    rows = json.loads(subprocess.run(command, capture_output=True, check=True).stdout)["benchmarks"]
    for row in rows:
        name, _, size = row["name"].partition("/")
        for counter in ("seconds_per_placement", "seconds_per_worker", "snapshot_bytes_per_task",
                        "bytes_per_start"):
            if counter in row:
                add("cell owner", f"{name} {counter}", int(size or 1), row[counter])
        if name == "recovery":
            add("cell owner", "recovery ms", int(size), row["real_time"])


def plot(rows, path):
    """Plots the CPU use of an entry by announcements per second as SVG."""
    rate = {row["size"]: row["value"] for row in rows if row["what"] == "announcements/s"}
    share = {row["size"]: row["value"] for row in rows
             if row["what"] == "core share by announcements"}
    points = [(rate[size], share[size]) for size in sorted(rate)]
    width, height, margin = 480, 300, 50
    max_x = max(x for x, _ in points) or 1
    max_y = max(y for _, y in points) or 1
    positions = [(margin + x / max_x * (width - 2 * margin),
               height - margin - y / max_y * (height - 2 * margin)) for x, y in points]
    line = " ".join(f"{x:.1f},{y:.1f}" for x, y in positions)
    dots = "".join(f'<circle cx="{x:.1f}" cy="{y:.1f}" r="3"/>' for x, y in positions)
    labels = "".join(f'<text x="{position[0] - 30:.1f}" y="{position[1] - 8:.1f}">'
                     f'{x:.0f}/s, {y:.3f}</text>'
                     for position, (x, y) in zip(positions, points))
    with open(path, "w", encoding="utf-8") as file:
        file.write(f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" height="{height}" '
                   'font-family="sans-serif" font-size="11">'
                   f'<path d="M{margin},{margin} V{height - margin} H{width - margin}" fill="none" '
                   'stroke="black"/>'
                   f'<polyline points="{line}" fill="none" stroke="teal"/>{dots}{labels}'
                   f'<text x="{width / 3:.0f}" y="{height - 15}">announcements per second</text>'
                   f'<text x="8" y="30">core share of an entry</text></svg>\n')


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    arguments = parser.parse_args()
    rows = []
    day = datetime.date.today().isoformat()
    machine = f"{os.cpu_count()} cores, {platform.machine()}"

    def add(role, what, size, value):
        rows.append({"role": role, "what": what, "size": size, "value": value, "date": day,
                     "machine": machine})
        print(f"{role:12} {what:40} {size:>6} {value:.6g}", flush=True)

    decisions(arguments.build, add)
    idle(arguments.build, add)
    announcements(arguments.build, add)
    target = os.path.join(ROOT, "docs", "capacity")
    os.makedirs(target, exist_ok=True)
    with open(os.path.join(target, "slopes.csv"), "w", newline="", encoding="utf-8") as file:
        writer = csv.DictWriter(file, fieldnames=list(rows[0]))
        writer.writeheader()
        writer.writerows(rows)
    plot(rows, os.path.join(target, "slopes.svg"))


if __name__ == "__main__":
    main()
