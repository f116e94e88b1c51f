#!/usr/bin/env python3
"""Mutation tests: checks that tests fail when the mechanism they guard is disabled.

Copies the tree to a scratch directory, applies one mutant of mutants.json at a time, rebuilds, and
runs the check of the mutant, which must fail. Usage: mutants.py SCRATCH_DIRECTORY [NAME ...].
Exits 1 if a check passes, or if a mutant does not apply or build.
"""
import filecmp
import json
import os
import shutil
import subprocess
import sys

CHECK_TIMEOUT_S = 240
ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")


def build(scratch, target):
    command = ["cmake", "--build", os.path.join(scratch, "build")]
    if target:
        command += ["--target", target]
    return subprocess.run(command, capture_output=True, text=True)


def prepare(scratch):
    listed = subprocess.run(["git", "ls-files"], cwd=ROOT, capture_output=True, text=True,
                            check=True).stdout.split()
    for name in listed:
        path = os.path.join(scratch, name)
        os.makedirs(os.path.dirname(path), exist_ok=True)
        source = os.path.join(ROOT, name)
        if not os.path.exists(path) or not filecmp.cmp(source, path, shallow=False):
            shutil.copy(source, path)
    subprocess.run(["cmake", "-S", scratch, "-B", os.path.join(scratch, "build"), "-G", "Ninja",
                    "-DCMAKE_BUILD_TYPE=Release", "-DLAVENDER_WERROR=OFF"], check=True,
                   capture_output=True)
    build(scratch, None)


def run_mutant(scratch, mutant):
    path = os.path.join(scratch, mutant["file"])
    with open(path, encoding="utf-8") as file:
        original = file.read()
    changed = original
    for before, after in [[mutant["from"], mutant["to"]]] + mutant.get("and", []):
        if before not in changed:
            return "not applicable: the text is no longer in the file"
        changed = changed.replace(before, after)
    try:
        with open(path, "w", encoding="utf-8") as file:
            file.write(changed)
        built = build(scratch, mutant.get("target"))
        if built.returncode != 0:
            return "does not build"
        check = [word.replace("BUILD", "build") for word in mutant["check"]]
        if check[0].startswith("build/"):
            check[0] = os.path.join(scratch, check[0])
        environment = dict(os.environ, RC_PARAMS="seed=20261204 max_success=300")
        try:
            ran = subprocess.run(check, cwd=scratch, capture_output=True, env=environment,
                                 timeout=CHECK_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            return "caught"
        return "caught" if ran.returncode != 0 else "NOT CAUGHT"
    finally:
        with open(path, "w", encoding="utf-8") as file:
            file.write(original)


def main():
    scratch = os.path.abspath(sys.argv[1])
    with open(os.path.join(ROOT, "testsuite", "mutants.json"), encoding="utf-8") as file:
        mutants = json.load(file)
    prepare(scratch)
    bad = 0
    for mutant in mutants:
        if sys.argv[2:] and mutant["name"] not in sys.argv[2:]:
            continue
        verdict = run_mutant(scratch, mutant)
        bad += verdict != "caught"
        print(f"{mutant['name']:24} {verdict}", flush=True)
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
