#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Needs the build of the deploy file and review/build-2.sh.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
program="$root/review/standins-2/target/release/settings_fraction"
[ -x "$program" ] && [ -x "$root/target/release/filbertstage" ] || exit 2
"$program" "$root" "$here"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
