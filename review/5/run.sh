#!/bin/bash
# Status 1: the rule was broken; 0: it held; 2: the case could not run.
# TROUBLE=0 leaves the disruption out.
PYTHONDONTWRITEBYTECODE=1 exec python3 "$(dirname "$0")/case.py"
