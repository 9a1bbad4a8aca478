#!/bin/sh
# Prepares the cases 4 to 8, after the build of deploy/service.toml. Their stand-ins are in review/lib-2 and need
# python3 (3.11 or later, standard library only) and no compiler: this checks that they can be loaded.
cd "$(dirname "$0")" || exit 1
exec python3 -B -c '
import ast, glob, sys
if sys.version_info < (3, 11):
    sys.exit("python3 is older than 3.11")
import asyncio, tomllib
for path in glob.glob("lib-2/*.py") + glob.glob("[4-8]/case.py"):
    ast.parse(open(path).read(), path)
'
