# A burst second by second: scripts/plots sets name and format.
#
# First tokens are drawn up to a deadline (10 s) before the end, since the
# calls still open there are left out of the p99 and would make it look good.
if (format eq "png") {
	set terminal pngcairo size 1000,1000 font "sans,11"
} else {
	set terminal svg size 1000,1000 font "sans,13" background "white"
}
set output name . "." . format
rows(policy) = name . "-" . policy . ".txt"
settled(column) = column(1) < 80 ? column(column) : NaN

set grid lc rgb "#dddddd"
set border 3
set tics nomirror out
set xrange [0:90]
set xtics 10
set lmargin 11
set rmargin 3
set key outside top right horizontal samplen 2
set style line 1 lc rgb "#1b6ca8" lw 2
set style line 2 lc rgb "#888888" lw 2
set style line 3 lc rgb "#c0392b" lw 2

set multiplot layout 4,1 title "burst: 15 to 60 requests a second and back"

set ylabel "online arrivals, 1/s"
set yrange [0:80]
plot rows("none") using 1:2 with steps lc rgb "#333333" lw 2 \
	title "all policies"

set ylabel "first token p99, ms"
set logscale y
set yrange [10:20000]
set format y "%g"
plot rows("fcfs") using 1:(settled(3)) with lines ls 3 \
	    title "first come, first served", \
	rows("none") using 1:(settled(3)) with lines ls 2 title "no batch", \
	rows("jujube") using 1:(settled(3)) with lines ls 1 title "jujube"

unset logscale y
set ylabel "the same, close up, ms"
set yrange [20:35]
plot rows("none") using 1:(settled(3)) with lines ls 2 title "no batch", \
	rows("jujube") using 1:(settled(3)) with lines ls 1 title "jujube"

set ylabel "batch streams, all"
set yrange [0:130]
set xlabel "time, s"
plot rows("fcfs") using 1:5 with lines ls 3 \
	    title "first come, first served", \
	rows("jujube") using 1:5 with lines ls 1 title "jujube"
unset multiplot
