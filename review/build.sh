#!/usr/bin/env bash
# Checks that all stand-ins compile; they are plain Python on the standard library.
set -eu
cd "$(dirname "$0")/.."
PYTHONPYCACHEPREFIX=target/review python3 -m compileall -q review
