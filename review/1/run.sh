#!/bin/sh
# Two operators change the manifest at once. Exits with 1 if both changes on top of the
# same version are acknowledged.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/review-standin ] || exit 2
# TROUBLE=0 plays the same without the disruption.
TROUBLE="${TROUBLE:-1}"
exec ../../target/review-standin race "$TROUBLE" "$(cd ../.. && pwd)" "$(pwd)"
