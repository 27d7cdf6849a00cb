#!/bin/sh
# Builds what the cases start beside the manager: the stand-in of the platform needs only the standard library.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review
