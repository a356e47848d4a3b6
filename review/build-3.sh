#!/bin/bash
# Builds the stand-ins of the cases 11 to 15: plain Python without dependencies.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q rig3 11 12 13 14 15
