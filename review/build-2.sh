#!/bin/sh
# Builds what the scripts of the second review start beside the deploy build.
# Their stand-ins (6/bed.py) need Python and its standard library only.
cd "$(dirname "$0")" && python3 -c "
import ast, pathlib
for path in [pathlib.Path('6/bed.py'), *pathlib.Path('.').glob('[0-9]*/case.py')]:
    ast.parse(path.read_text(), str(path))
"
