#!/usr/bin/env bash
# Prepares the stand-ins that the cases start. They are plain Python on the
# standard library and on the dependencies in target/deps, so nothing is
# compiled; this checks that they, and the project's own store, can be loaded.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:src:. PYTHONDONTWRITEBYTECODE=1 python3 -c '
import review.harness.client, review.harness.deployment
import review.harness.instance, review.harness.record, standins.store
'
