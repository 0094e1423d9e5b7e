#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With TROUBLE=0 the
# driver does the same without the disruption (`Fleet::new` in review/rig/src/lib.rs reads it).
export TROUBLE="${TROUBLE:-1}"
export CASE="$(cd "$(dirname "$0")" && pwd)"
export ROOT="$(cd "$CASE/../.." && pwd)"
driver="$ROOT/target/review/release/refused_voter"
[ -x "$driver" ] || { echo "not run: build with review/build.sh first"; exit 2; }
exec "$driver"
