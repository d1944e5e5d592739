#!/bin/sh
# Runs this case. Exit code: 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 leaves out the disruption. KEEP_LOGS=DIR keeps the daemons' logs there.
cd "$(dirname "$0")" || exit 2
PYTHONDONTWRITEBYTECODE=1 exec python3 case.py
