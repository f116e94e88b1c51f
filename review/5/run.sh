#!/bin/sh
exec python3 -B "$(cd "$(dirname "$0")" && pwd)/case.py"
