package chaostest

import (
	"bytes"
	"fmt"
	"html/template"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	width  = 22 * vg.Centimeter
	height = 8 * vg.Centimeter

	headroom = 1.35 // above the highest line, for the legend
)

// line is one line of a plot.
type line struct {
	name   string
	points plotter.XYs
}

// renderPlot returns a plot as SVG.
func renderPlot(title, y string, lines []line) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "seconds", y
	p.Y.Min = 0
	p.Legend.Top, p.Legend.Left = true, true
	for k, l := range lines {
		if len(l.points) == 0 {
			continue
		}
		x, err := plotter.NewLine(l.points)
		if err != nil {
			return "", err
		}
		x.Color, x.StepStyle = plotutil.Color(k), plotter.PostStep
		p.Add(x)
		if len(lines) <= 12 {
			p.Legend.Add(l.name, x)
		}
	}
	p.Y.Max *= headroom
	c := vgsvg.New(width, height)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	svg := b.String()
	return template.HTML(svg[max(0, strings.Index(svg, "<svg")):]), nil // #nosec: drawn here from numbers
}

var page = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Drill</title>
<style>body{font-family:sans-serif;margin:2em;max-width:60em}pre{background:#f4f4f4;padding:1em;overflow:auto}.wrong{color:#b00020}</style></head>
<body><h1>Drill, seed {{.Seed}}</h1>
{{if .Violations}}<h2 class="wrong">Violations</h2><ul class="wrong">{{range .Violations}}<li>{{.}}</li>{{end}}</ul>{{else}}<p>All checks hold.</p>{{end}}
{{range .Plots}}<div>{{.}}</div>{{end}}
<h2>Timeline</h2><pre>{{range .Timeline}}{{.}}
{{end}}</pre></body></html>
`))

// reportPlot is one plot of a report.
type reportPlot struct {
	title, y string
	lines    []line
}

// Report writes the result of a drill as one HTML file: views over time, replies by result, datagrams.
func Report(out io.Writer, result *DrillResult) error {
	var plots []template.HTML
	for _, p := range []reportPlot{
		{"Members that each controller sees alive", "members", viewLines(result.Samples)},
		{"Replies by result", "a second", resultLines(result)},
		{"Messages between controllers", "a second", []line{datagramLine(result.Samples)}},
	} {
		svg, err := renderPlot(p.title, p.y, p.lines)
		if err != nil {
			return fmt.Errorf("report: %w", err)
		}
		plots = append(plots, svg)
	}
	return page.Execute(out, map[string]any{"Seed": result.Seed, "Violations": result.Violations, "Timeline": result.Timeline, "Plots": plots})
}

// viewLines returns a line a controller: how many members it sees alive.
func viewLines(samples []Sample) (lines []line) {
	views := map[string]plotter.XYs{}
	for _, s := range samples {
		for name, n := range s.Present {
			views[name] = append(views[name], plotter.XY{X: s.At.Seconds(), Y: float64(n)})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(views)) {
		lines = append(lines, line{name: name, points: views[name]})
	}
	return lines
}

// datagramLine returns the rate of datagrams over all links.
func datagramLine(samples []Sample) line {
	l := line{name: "datagrams a second, all links"}
	for k := 1; k < len(samples); k++ {
		last, s := samples[k-1], samples[k]
		if gap := (s.At - last.At).Seconds(); gap > 0 {
			l.points = append(l.points, plotter.XY{X: s.At.Seconds(), Y: float64(s.Datagrams-last.Datagrams) / gap})
		}
	}
	return l
}

// resultLines returns a line a result: how many requests ended with it in each second.
func resultLines(result *DrillResult) (lines []line) {
	counts := map[Result]map[int]int{}
	lastSecond := 0
	for _, r := range result.Requests {
		second := int(r.At.Add(r.Latency).Sub(result.Start) / time.Second)
		if counts[r.Result] == nil {
			counts[r.Result] = map[int]int{}
		}
		counts[r.Result][second]++
		lastSecond = max(lastSecond, second)
	}
	for _, name := range []Result{ResultHandled, ResultRejected, ResultFailed, ResultDisconnected} {
		l := line{name: string(name)}
		for second := 0; second <= lastSecond; second++ {
			l.points = append(l.points, plotter.XY{X: float64(second), Y: float64(counts[name][second])})
		}
		lines = append(lines, l)
	}
	return lines
}
