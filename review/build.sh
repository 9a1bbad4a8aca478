#!/usr/bin/env bash
# Builds what the cases start besides the controllers. The stand-ins are Python without further libraries, so they are
# only checked here; the controllers come from the build of deploy/service.toml.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/standins.py [1-9]/case.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
