#!/bin/sh
# Builds what the scripts of the second review start besides the manager, after the build of the deploy file:
# compiles the stand-ins of platform2 and the cases. They need the standard library alone.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/platform2
for case in 6 7 8 9 10; do
    if [ -d "review/$case" ]; then .venv/bin/python -m compileall -q "review/$case"; fi
done
