#!/usr/bin/env bash
# Plays the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-harness ] && [ -x target/oriole-relay ] || exit 2
exec target/review-harness -case failed-early -record review/4/record.txt
