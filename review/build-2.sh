#!/bin/bash
# The stand-ins of the cases 6 to 10 are Python and run from the environment of the deploy file's build: there
# is nothing to compile. This checks that all of them can be imported.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -B -c 'import review.dns2, review.lib2, review.scheduler2, merlinbay.executor.server'
