#!/bin/sh
# Builds the stand-ins of the cases 6 and 8 to 10 (7 is a day). They are Python
# files that use the standard library only, so this checks that they compile.
cd "$(dirname "$0")" || exit 1
python3 - standins2.py 6/scenario.py 8/scenario.py 9/scenario.py \
    10/scenario.py <<'EOF'
import sys
for name in sys.argv[1:]:
    with open(name, encoding='utf-8') as source:
        compile(source.read(), name, 'exec')
EOF
