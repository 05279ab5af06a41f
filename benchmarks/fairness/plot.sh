#!/usr/bin/env bash
# Measures the evacuation and return of a zone and writes the plot and its data to docs/img.
set -euo pipefail
root=$(cd "$(dirname "$0")/../.." && pwd)
img=$root/docs/img
mkdir -p "$img"
"${BERYLRIDGE_BUILD:-$root/build}/bin/fairnessbench" --seeds 1 --seconds 1 --data "$img" >/dev/null
gnuplot <<PLOT
set terminal svg size 800,420 font "sans,12"
set output "$img/zone-leaves.svg"
set title "An availability zone leaves at 10 s and returns at 25 s (load 0.6 of all slots)"
set xlabel "second"
set ylabel "utilisation of slots in service"
set yrange [0:1.05]
set y2label "requests waiting"
set y2tics
set key bottom right
plot "$img/zone-men-gom.dat" using 1:2 with lines lw 2 title "men-gom: utilisation", \
     "$img/zone-riviere-bells.dat" using 1:2 with lines lw 2 title "riviere-bells: utilisation", \
     "$img/zone-men-gom.dat" using 1:3 axes x1y2 with lines dt 2 title "men-gom: waiting", \
     "$img/zone-riviere-bells.dat" using 1:3 axes x1y2 with lines dt 2 title "riviere-bells: waiting"
PLOT
