#!/bin/sh
# Runs the format, layout, settings reference and clang-tidy checks; fails on any finding.
# Usage: lint.sh BUILD_DIRECTORY
set -eu
build="$1"
git ls-files '*.cpp' '*.h' | xargs clang-format --dry-run --Werror
python3 src/build-scripts/check_layout.py
python3 src/build-scripts/settings_reference.py --check
jobs=$(nproc)
git ls-files '*.cpp' | xargs -P "$jobs" -n 1 clang-tidy -p "$build" --quiet \
    >"$build/tidy.out" 2>"$build/tidy.err" || {
    grep -hE 'error:' "$build/tidy.out" "$build/tidy.err" | sort -u | head -40
    exit 1
}
echo "lint: clean"
