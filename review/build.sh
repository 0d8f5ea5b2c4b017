#!/bin/sh
# The stand-ins of the scripts are Python programs that use its standard library alone, so there is
# nothing to compile. Checks that they can be loaded.
cd "$(dirname "$0")" && exec python3 -B -c '
import ast, pathlib, tomllib
sources = [*pathlib.Path(".").glob("*/*.py"), pathlib.Path("../support/platformstandin.py")]
for source in sources:
    ast.parse(source.read_text(), str(source))
print(len(sources), "sources can be loaded")'
