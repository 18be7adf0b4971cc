#!/bin/bash
# Kills every process while two storage nodes hold more history than their own snapshots may have.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -d target/review-2 ] && [ -f target/brookpath.jar ] || { echo "not built"; exit 2; }
exec java -Xmx512m -Drate=8 -cp target/review-2 HistoryCase "$folder/record.txt" kill-all gowu980.0 gowu980.1
