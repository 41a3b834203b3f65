#!/bin/sh
# Play the case; TROUBLE=0 plays it without the disruption. CRASH_AFTER=S sets how long an engine
# runs the request, from its first event, before it crashes (0.5 s).
cd "$(dirname "$0")" && exec python3 play.py
