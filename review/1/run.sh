#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the
# disruption. Writes record.txt in this folder.
folder=$(cd "$(dirname "$0")" && pwd)
exec "$folder/../standin/run_case.sh" spoilt-acks "$folder/record.txt"
