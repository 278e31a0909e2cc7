#!/bin/sh
# A relay that asks for lists is upgraded, and an endpoint leaves right behind the end of the old process.
cd "$(dirname "$0")" && PYTHONDONTWRITEBYTECODE=1 exec python3 case.py
