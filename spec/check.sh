#!/bin/sh
# Checks failover.pml, handover.pml and lease.pml with spin: the assertions must hold, and must
# fail with each macro that disables a rule. Arguments are passed to spin for
# failover.pml, such as -DMAXNUM=2.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work"

# run MODEL NAME PAN_FLAGS SPIN_FLAGS...: checks a model and prints the numbers of
# states and errors. It fails if a limit of depth or memory was reached.
run() {
  model=$1
  name=$2
  flags=$3
  shift 3
  spin -a "$@" "$here/$model.pml" >/dev/null
  # shellcheck disable=SC2086
  cc -O2 -w -DSAFETY -DNOREDUCE -DCOLLAPSE -DMEMLIM=6000 $flags -o pan pan.c
  ./pan -E -m3000000 -w25 >"$name.log" 2>&1 || true
  grep -E 'errors:|states, stored' "$name.log" | sed "s/^/$name: /"
  ! grep -qE 'max search depth too small|memory limit|out of memory' "$name.log"
}

run failover holds "" "$@"
grep -q 'errors: 0' holds.log
for rule in NO_MAJORITY NO_CONFIRM NO_PREFIX; do
  run failover "$rule" -DBFS "$@" "-D$rule"
  grep -q 'errors: 1' "$rule.log"
done

size="-DMAXLEN=1 -DMAXTOKEN=3 -DCALLS=2"
# shellcheck disable=SC2086
run handover holds "" $size
grep -q 'errors: 0' holds.log
for rule in NO_FREEZE NO_CONFIRM NO_FOREIGN NO_PENDING NO_SAME NO_REDRAW RAISE_BY_CALL; do
  # shellcheck disable=SC2086
  run handover "$rule" "" $size "-D$rule"
  grep -q 'errors: 1' "$rule.log"
done
# events that the rules do not cover
for event in JOIN RESTART UNLISTED LEAVE EARLY_STATUS DEAD; do
  # shellcheck disable=SC2086
  run handover "$event" "" $size "-D$event"
  grep -q 'errors: 1' "$event.log"
done
run handover SECOND_RESUME "" -DMAXLEN=2 -DMAXTOKEN=3 -DCALLS=1 -DSECOND_RESUME
grep -q 'errors: 1' SECOND_RESUME.log
# the assertion holds even if a resume command is executed late
# shellcheck disable=SC2086
run handover late_resume "" $size -DLATE_RESUME
grep -q 'errors: 0' late_resume.log

run lease holds ""
grep -q 'errors: 0' holds.log
for rule in NO_LEASE NO_FREEZE NO_HOLD NO_CONFIRM NO_SAME; do
  run lease "$rule" "" "-D$rule"
  grep -q 'errors: 1' "$rule.log"
done

echo "the rules hold, and each broken rule was found"
