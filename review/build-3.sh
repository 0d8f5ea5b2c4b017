#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They are Python programs that need no build step and use
# only the standard library. This script checks that each of them can be read, and that the build of
# the deploy file is there.
set -eu
cd "$(dirname "$0")/.."
for file in review/1[1-5]/*.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
test -x target/oleandercrossd
echo "stand-ins ready"
