#!/bin/sh
# Plays the day files of a directory on a site, two at a time, and prints each broken day
# and a total. Exits with 1 if a rule is broken, with 2 if a day was not played.
#
#   FLEETBENCH=path WHY=text deploy/hunt.sh SITE DIR FIRST_SEED
#
# The seed of a day is FIRST_SEED plus its place in the directory. Each day's log goes to
# LOGS, which is a directory in DIR named after the site unless it is set.
[ $# = 3 ] && [ -n "$FLEETBENCH" ] || { sed -n '2,9s/^# \{0,1\}//p' "$0" >&2; exit 2; }
site=$1 dir=$2 seed=$3
name=$(basename "$site" .toml)
logs=${LOGS:-$dir/$name}
why=${WHY:-Hunt of the days in $(basename "$dir")}
mkdir -p "$logs" && logs=$(cd "$logs" && pwd) && rm -f "$logs"/*.log || exit 2
"$FLEETBENCH" build > "$logs/build.txt" 2>&1 || { cat "$logs/build.txt" >&2; exit 2; }

export FLEETBENCH site logs why
for day in "$dir"/*.toml; do
	echo "$day" "$seed"
	seed=$((seed + 1))
done | xargs -n 2 -P 2 sh -c '
	"$FLEETBENCH" run "$site" "$1" --seed "$2" --jobs 1 --why "$why: $(basename "$1"), seed $2" \
		> "$logs/$(basename "$1" .toml)-$2.log" 2>&1 || true' sh

for log in "$logs"/*.log; do
	day=$(basename "$log" .log)
	rules=$(sed -n 's/^rules broken: //p' "$log")
	if [ -n "$rules" ]; then
		echo "broken: $rules  ${day%-*}.toml seed ${day##*-}"
	elif ! grep -q '^to play it took' "$log"; then
		echo "not played: ${day%-*}.toml seed ${day##*-}"
	fi
done > "$logs/result.txt"
cat "$logs/result.txt"
broken=$(grep -c '^broken: ' "$logs/result.txt")
missing=$(grep -c '^not played: ' "$logs/result.txt")
printf '%s: %d days, %d broken, %d not played' "$name" "$(ls "$logs"/*.log | wc -l)" "$broken" "$missing"
for rule in $(sed -n 's/^broken: \(.*\)  .*/\1/p' "$logs/result.txt" | grep -o '[A-Z]*' | sort -u); do
	printf '; %s on %d' "$rule" "$(grep -c "^broken: .*$rule [0-9]" "$logs/result.txt")"
done
echo
[ "$missing" = 0 ] || exit 2
[ "$broken" = 0 ]
