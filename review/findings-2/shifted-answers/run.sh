#!/bin/sh
# Plays the case: exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 leaves the disruption out. Needs target/acaciawinchd and review/build-2.sh.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../../.." && pwd)
exec "$root/review/standins-2/bin/cases" mixed "$root" "$here"
