#!/bin/sh
# Runs one case with the libraries of the users' build if it has been made, else with those of make.
cd "$(dirname "$0")/.." || exit 2
if [ -e target/deps/.installed ]; then
    PYTHONPATH="target/deps:." exec python3 "review/$1/case.py"
elif [ -x .venv/bin/python ]; then
    PATH="$PWD/.venv/bin:$PATH" PYTHONPATH=. exec python3 "review/$1/case.py"
fi
echo "neither target/deps nor .venv is there: build first" >&2
exit 2
