#!/bin/sh
# Runs this case; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH="target/deps:." exec python3 review/7/case.py
