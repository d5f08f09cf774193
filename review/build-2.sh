#!/bin/sh
# Builds the stand-ins of the cases 4 to 8. They are plain Python with its standard library alone, so
# this only checks that each of them can be imported.
cd "$(dirname "$0")/.." || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$PWD" exec python3 -c \
    'import review.world.case, review.world.deployment'
