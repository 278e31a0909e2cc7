#!/bin/sh
# An open watch falls silent, and an endpoint leaves meanwhile.
cd "$(dirname "$0")" && PYTHONDONTWRITEBYTECODE=1 exec python3 case.py
