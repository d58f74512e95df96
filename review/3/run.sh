#!/usr/bin/env bash
# The link to the store is cut for 4 s; then targets leave. TROUBLE=0: no cut. VARIANT=freeze: see claim.txt.
set -u
cd "$(dirname "$0")/../.."
[ -f target/deploy/chivecross-platform.jar ] && [ -f target/review/Retained.class ] || exit 2
timeout 110 java -cp target/review Retained review/3/record.txt
case $? in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
