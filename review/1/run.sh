#!/usr/bin/env bash
# SIGTERM to one entry of three while clients hold answers of the directory. TROUBLE=0: no SIGTERM.
set -u
cd "$(dirname "$0")/../.."
[ -f target/deploy/chivecross-platform.jar ] && [ -f target/review/Stop.class ] || exit 2
timeout 110 java -cp target/review Stop review/1/record.txt
case $? in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
