#!/bin/sh
# Play the case; TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")" && exec python3 play.py
