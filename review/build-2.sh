#!/usr/bin/env bash
# Builds the stand-ins and cases of the second review with the JDK alone, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf target/rig-2
mkdir -p target/rig-2
sources=(rig-2/*.java)
for folder in 6 7 8 9 10; do
    for source in "$folder"/*.java; do
        [[ -e $source ]] && sources+=("$source")
    done
done
javac --release 17 -Xlint:all,-try,-processing -d target/rig-2 "${sources[@]}"
