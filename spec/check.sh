#!/bin/sh
# Checks failover.pml with spin: the rules hold, and each rule that is broken on
# purpose is found. Arguments are passed to spin, such as -DMAXNUM=2.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work"

# run NAME PAN_FLAGS SPIN_FLAGS...: prints the number of errors.
run() {
  name=$1
  flags=$2
  shift 2
  spin -a "$@" "$here/failover.pml" >/dev/null
  # shellcheck disable=SC2086
  cc -O2 -w -DSAFETY -DNOREDUCE -DCOLLAPSE -DMEMLIM=6000 $flags -o pan pan.c
  ./pan -E -m3000000 -w25 >"$name.log" 2>&1 || true
  grep -E 'errors:|states, stored' "$name.log" | sed "s/^/$name: /"
  ! grep -qE 'max search depth too small|memory limit|out of memory' "$name.log"
}

run holds "" "$@"
grep -q 'errors: 0' holds.log
for rule in NO_MAJORITY NO_CONFIRM NO_PREFIX; do
  run "$rule" -DBFS "$@" "-D$rule"
  grep -q 'errors: 1' "$rule.log"
done
echo "the rules hold, and each broken rule was found"
