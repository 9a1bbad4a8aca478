#!/usr/bin/env bash
# Jobs that wait on many jobs lose what they wait on when the controllers are restarted one after the other, twice.
# TROUBLE=0: no controller is restarted.
cd "$(dirname "$0")" && exec python3 -B case.py
