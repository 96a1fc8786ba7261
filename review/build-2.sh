#!/bin/sh
# The scripts and their stand-ins are Python and need no compiler; this checks that all of it loads
# with the libraries of the deploy file's build.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH="target/deps:." exec python3 -c "import pumicespur.commands.node, review.second.silence"
