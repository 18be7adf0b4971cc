#!/bin/bash
# Kills every process while two storage nodes hold more history than a snapshot may have that is read back.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -d target/review-2 ] && [ -f target/brookpath.jar ] || { echo "not built"; exit 2; }
exec java -Xmx512m -cp target/review-2 HistoryCase "$folder/record.txt" gowu980.0 gowu980.1
