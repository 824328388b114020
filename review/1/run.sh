#!/usr/bin/env bash
# Writes record.txt in this folder. With TROUBLE=0 the same is done without the disruption.
cd "$(dirname "$0")" && TROUBLE="${TROUBLE:-1}" exec python3 -B scenario.py
