#!/bin/sh
# Plays the finding last-tenant. Exit codes and TROUBLE=0 as for the cases.
cd "$(dirname "$0")/../../.." || exit 2
[ -x review/bin/players ] && [ -x target/acaciawinchd ] || exit 2
exec review/bin/players last-tenant review/findings/last-tenant
