#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f target/review/TopicsDropped.class ] || [ ! -f target/brookpath.jar ]; then
    echo "build first: the build of deploy/system.toml, then review/build.sh" >&2
    exit 2
fi
java -Xmx800m -cp target/review TopicsDropped review/3/record.txt "${TROUBLE:-1}"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
