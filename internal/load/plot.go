package load

import (
	"fmt"
	"html"
	"io"
	"math"
	"strings"
)

const (
	// plotWidth, plotHeight and plotMargin are in SVG user units.
	plotWidth  = 760.0
	plotHeight = 420.0
	plotMargin = 60.0
	// maxPlotPercent is the percentile at the right end of the x axis. The axis shows
	// the number of nines, which is infinite at 100 %.
	maxPlotPercent = 99.95
)

var plotColors = []string{"#1b6ca8", "#c0392b", "#27814f", "#8e44ad", "#b9770e", "#34495e", "#16a085", "#7f8c8d"}

// WritePlot writes an SVG plot of the latency distributions: percentiles on the x
// axis, scaled by the number of nines, and milliseconds on a logarithmic y axis.
func WritePlot(w io.Writer, results []Result) error {
	minMs, maxMs := math.Inf(1), 1.0
	for _, x := range results {
		for _, p := range x.Distribution {
			if p.Ms > 0 {
				minMs, maxMs = min(minMs, p.Ms), max(maxMs, p.Ms)
			}
		}
	}
	minMs = min(minMs, maxMs/2)
	x := func(percent float64) float64 {
		nines := -math.Log10(1 - min(percent, maxPlotPercent)/100)
		return plotMargin + nines/(-math.Log10(1-maxPlotPercent/100))*(plotWidth-2*plotMargin)
	}
	y := func(ms float64) float64 {
		return plotHeight - plotMargin - (math.Log(ms)-math.Log(minMs))/(math.Log(maxMs)-math.Log(minMs))*(plotHeight-2*plotMargin)
	}
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%g" height="%g" font-family="sans-serif" font-size="12">`+"\n", plotWidth, plotHeight)
	b.WriteString(`<rect width="100%" height="100%" fill="white"/>` + "\n")
	for _, p := range []float64{0, 50, 90, 99, 99.9} {
		fmt.Fprintf(&b, `<line x1="%.1f" y1="%g" x2="%.1f" y2="%g" stroke="#ddd"/><text x="%.1f" y="%g" text-anchor="middle">p%g</text>`+"\n",
			x(p), plotMargin, x(p), plotHeight-plotMargin, x(p), plotHeight-plotMargin+18, p)
	}
	for _, ms := range []float64{1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000} {
		if ms >= minMs && ms <= maxMs {
			fmt.Fprintf(&b, `<line x1="%g" y1="%.1f" x2="%g" y2="%.1f" stroke="#ddd"/><text x="%g" y="%.1f" text-anchor="end">%g ms</text>`+"\n",
				plotMargin, y(ms), plotWidth-plotMargin, y(ms), plotMargin-6, y(ms)+4, ms)
		}
	}
	for i, r := range results {
		writeCurve(&b, r, plotColors[i%len(plotColors)], 20+float64(i)*16, x, y)
	}
	b.WriteString("</svg>\n")
	_, err := io.WriteString(w, b.String())
	return err
}

// writeCurve writes the line and the legend of one result.
func writeCurve(b *strings.Builder, r Result, color string, legend float64, x, y func(float64) float64) {
	points := make([]string, 0, len(r.Distribution))
	for _, p := range r.Distribution {
		if p.Ms > 0 {
			points = append(points, fmt.Sprintf("%.1f,%.1f", x(p.Percent), y(p.Ms)))
		}
	}
	fmt.Fprintf(b, `<polyline points="%s" fill="none" stroke="%s" stroke-width="2"/>`+"\n", strings.Join(points, " "), color)
	fmt.Fprintf(b, `<text x="%g" y="%g" fill="%s">%s</text>`+"\n", plotMargin+8, legend, color, html.EscapeString(r.Name))
}
