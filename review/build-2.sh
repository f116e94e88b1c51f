#!/bin/sh
# Prepares the stand-ins of the cases 6 to 10. They are Python scripts of the standard library, so
# that there is nothing to compile; this checks that they can be loaded.
set -eu
cd "$(dirname "$0")"
for file in stand_ins_2/*.py [0-9]*/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || {
    echo "the stand-ins need Python 3.11 or later" >&2
    exit 1
}
