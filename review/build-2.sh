#!/bin/bash
# The stand-ins of the cases 6 to 10 are Python modules of the standard library only:
# there is nothing to compile. This checks that all of them can be loaded.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH="$PWD" PYTHONDONTWRITEBYTECODE=1 python3 -c "import review.rig, review.rig.main"
