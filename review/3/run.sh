#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
root=../..
[[ -x $root/target/review/standin && -x $root/target/release/sassafrasmast-forward ]] || exit 2
exec $root/target/review/standin late-copy $root/target/release/sassafrasmast-forward record.txt
