#!/bin/sh
cd "$(dirname "$0")/../.." && exec .venv/bin/python review/10/case.py
