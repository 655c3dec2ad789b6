#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are plain Python without
# dependencies, so that compiling them shows that they are complete.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review
