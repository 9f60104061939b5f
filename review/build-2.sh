#!/bin/sh
# Builds the stand-ins that the scripts of the cases 6 to 10 start. They are
# Python sources, so this compiles them and checks that they can be imported
# with the dependencies of the deploy file.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q review/deployment standins/store.py
PYTHONPATH=target/deps:src:. python3 -c '
import review.deployment.deployment
import standins.store
'
