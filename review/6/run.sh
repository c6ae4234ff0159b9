#!/bin/sh
# Plays case 6; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could
# not run. TROUBLE=0 leaves the disruption out. LOGS=FOLDER keeps the controllers' logs.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
command=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/service.toml)
[ -x target/pipitlatch ] && [ -x target/review-2/play ] || { echo "not built" >&2; exit 2; }
exec target/review-2/play -case 6 -folder "$folder" -run "$command" -logs "${LOGS:-}"
