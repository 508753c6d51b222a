#!/bin/sh
# Exit code: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0 leaves out the disruption.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
exec java -Xmx256m -Dreview.root="$root" -Dreview.record="$here/record.txt" -cp "$root/review/build" \
    review.OrphanedRollout
