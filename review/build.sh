#!/bin/sh
# Builds what the cases start: after the build of the deploy file, the stand-ins need no more than to be compiled.
cd "$(dirname "$0")/.." || exit 2
.venv/bin/python -m compileall -q review
