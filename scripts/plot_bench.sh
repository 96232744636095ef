#!/usr/bin/env bash
# Plots the latency distributions of both policies in each scenario as SVG files.
# Usage: plot_bench.sh DIRECTORY
set -euo pipefail
cd "$1"
for data in *.adaptive.dat; do
    scenario=${data%%.*}
    [ -s "$data" ] && [ -s "$scenario.baseline.dat" ] || continue
    gnuplot <<GNUPLOT
set terminal svg size 720,420
set output '$scenario.svg'
set title '$scenario: latency from the scheduled arrival'
set xlabel 'latency (ms)'
set ylabel 'share of queries above'
set logscale xy
set yrange [0.0005:1]
set key top right
plot '$scenario.baseline.dat' using 1:(1.00001-\$2) with steps lw 2 \
     title 'baseline', \
     '$scenario.adaptive.dat' using 1:(1.00001-\$2) with steps lw 2 \
     title 'adaptive'
GNUPLOT
done
