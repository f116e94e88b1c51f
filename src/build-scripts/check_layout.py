#!/usr/bin/env python3
"""Checks the source layout: include order of packages, public classes per header, file sizes and
head comments."""
import os
import re
import subprocess
import sys

# Lowest layer first; a package includes only packages listed before it.
PACKAGE_ORDER = ["core", "telemetry", "http", "protocol", "storage", "membership", "audit",
                 "config", "dispatch", "runtime", "routing", "scheduling", "api"]
MAX_LINES = 500
# Exceptions from MAX_LINES: path -> reason.
LONG_FILES = {}

INCLUDE = re.compile(r'#include "lavenderarch/([a-z]+)/')
CLASS = re.compile(r"^(?:class|struct) (\w+)(?!::)\b\s*(?:final)?\s*(?::[^;{]*)?$", re.M)


def package_of(path):
    match = re.match(r"src/(?:include/lavenderarch/|lib)([a-z]+)/", path)
    return match.group(1) if match else None


def check_file(path):
    with open(path, encoding="utf-8") as file:
        text = file.read()
    problems = []
    lines = text.count("\n")
    if lines > MAX_LINES and path not in LONG_FILES:
        problems.append(f"{path}: {lines} lines, the limit is {MAX_LINES}")
    if not text.startswith("// "):
        problems.append(f"{path}: does not start with a head comment (// ...)")
    package = package_of(path)
    if package in PACKAGE_ORDER:
        for used in INCLUDE.findall(text):
            if used in PACKAGE_ORDER and PACKAGE_ORDER.index(used) > PACKAGE_ORDER.index(package):
                problems.append(f"{path}: package {package} includes {used} from a higher layer")
    if path.startswith("src/include/") and path.endswith(".h"):
        classes = CLASS.findall(text)
        if len(classes) > 1:
            problems.append(f"{path}: {len(classes)} public classes in one header: "
                            f"{', '.join(classes)}")
    return problems


def main():
    listed = subprocess.run(["git", "ls-files", "-co", "--exclude-standard", "*.cpp", "*.h"],
                            capture_output=True, text=True, check=True).stdout.split()
    problems = [problem for path in listed if os.path.exists(path)
                for problem in check_file(path)]
    for problem in problems:
        print(problem)
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
