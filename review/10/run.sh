#!/bin/sh
# Writes record.txt beside it. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
exec node run.js
