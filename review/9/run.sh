#!/bin/sh
# Clients are sent away, and the relay is upgraded before the end of the drain.
cd "$(dirname "$0")" && PYTHONDONTWRITEBYTECODE=1 exec python3 case.py
