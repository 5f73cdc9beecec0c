#!/bin/sh
# Plays an engine that leaves right before all processes are killed. Exit codes: 1 the rule was broken, 0 it
# held, 2 the case couldn't run. TROUBLE=0 leaves the kill out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-stand-2 ] || exit 2
exec target/review-stand-2 leave-forgotten review/5
