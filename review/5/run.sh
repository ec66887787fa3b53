#!/bin/sh
# Plays the case once and writes what was sent, answered and run to record.txt; TROUBLE=0 plays it without the disruption.
folder=$(dirname "$0")
exec node "$folder/play.mjs" "$folder/record.txt"
