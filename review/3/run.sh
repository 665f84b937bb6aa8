#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
exec timeout -k 5 115 java -Xmx512m -cp "$here/../target/classes" Case3 "$here" "${TROUBLE:-1}"
