#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
classes=$here/../target/classes
[ -f "$classes/Case1.class" ] && [ -f "$here/../../target/sagepulley.jar" ] || exit 2
timeout -k 5 115 java -Xmx512m -cp "$classes" Case1 "$here" "${TROUBLE:-1}"
case $? in
0) exit 0 ;;
10) exit 1 ;; # the JVM's own 1 says that the harness failed
*) exit 2 ;;
esac
