# Harm against throughput: scripts/plots sets name, format, scenario, aim_used
# and aim_ratio. Left: all policies. Right: the corner where jujube works.
if (format eq "png") {
	set terminal pngcairo size 1200,560 font "sans,11"
} else {
	set terminal svg size 1200,560 font "sans,13" background "white"
}
set output name . "." . format
rows = name . ".txt"
pick(policy, column) = strcol(1) eq policy ? column(column) : NaN
# The last two points lie close together: one's label goes above.
below(column) = strcol(2) eq "1" ? NaN : pick("jujube", column)
above(column) = strcol(2) eq "1" ? pick("jujube", column) : NaN

set grid lc rgb "#dddddd"
set border 3
set tics nomirror out
set xlabel "batch used, share of idle capacity"
set ylabel "first token p99, ratio to no batch"
set key left top Left reverse samplen 2 width 1
set style line 1 lc rgb "#1b6ca8" lw 2 pt 7 ps 0.9
set style line 2 lc rgb "#888888" lw 1.5 pt 4 ps 0.9
set style line 3 lc rgb "#c0392b" lw 2 pt 9 ps 1.3
set style line 4 lc rgb "#1e8449" lw 2 pt 2 ps 1.3

set multiplot layout 1,2 title scenario . ": harm against throughput"

set logscale y
set xrange [0:1.2]
set yrange [0.9:1000]
set format y "%g"
set title "all policies (logarithmic)"
plot rows using (pick("cap", 3)):(pick("cap", 4)) \
	    with linespoints ls 2 title "fixed cap, N streams a server", \
	rows using (pick("cap", 3)):(pick("cap", 4)):(strcol(2)) \
	    with labels offset -1.6,0.5 font ",10" tc rgb "#555555" notitle, \
	rows using (pick("fcfs", 3)):(pick("fcfs", 4)) \
	    with points ls 3 title "first come, first served", \
	rows using (pick("jujube", 3)):(pick("jujube", 4)) \
	    with linespoints ls 1 title "jujube, trade 0 to 1"

unset logscale y
set xrange [0.68:1]
set yrange [0.95:1.25]
set key left bottom
set format y "%.2f"
set title "close up, trade at each point"
plot rows using (pick("cap", 3)):(pick("cap", 4)) \
	    with linespoints ls 2 title "fixed cap, N streams a server", \
	rows using (pick("cap", 3)):(pick("cap", 4)):(strcol(2)) \
	    with labels offset -1.6,0.5 font ",10" tc rgb "#555555" notitle, \
	rows using (pick("jujube", 3)):(pick("jujube", 4)) \
	    with linespoints ls 1 title "jujube", \
	rows using (pick("jujube", 3)):(below(4)):(strcol(2)) \
	    with labels left offset 0.5,-0.7 font ",10" tc ls 1 notitle, \
	rows using (pick("jujube", 3)):(above(4)):(strcol(2)) \
	    with labels offset 0,0.8 font ",10" tc ls 1 notitle, \
	"+" using (aim_used):(aim_ratio) every ::::0 \
	    with points ls 4 title "aim: right of it and below"
unset multiplot
