#!/bin/sh
# Plays the case; exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Writes to record.txt in this folder what was sent, answered and run.
exec node "$(dirname "$0")/run.mjs"
