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
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter

	// legendHeadroom stretches the y axis, so that the legend fits above the highest line.
	legendHeadroom = 1.35
	// maxLegendLines is the number of lines above which a plot has no legend.
	maxLegendLines = 12
)

// line is a named series of points in a plot.
type line struct {
	name   string
	points plotter.XYs
}

// renderPlot draws lines over the time in seconds and returns the plot as SVG.
func renderPlot(title, yLabel string, lines []line) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "seconds", yLabel
	p.Y.Min = 0
	p.Legend.Top, p.Legend.Left = true, true
	for k, l := range lines {
		if len(l.points) == 0 {
			continue
		}
		plotted, err := plotter.NewLine(l.points)
		if err != nil {
			return "", err
		}
		plotted.Color, plotted.StepStyle = plotutil.Color(k), plotter.PostStep
		p.Add(plotted)
		if len(lines) <= maxLegendLines {
			p.Legend.Add(l.name, plotted)
		}
	}
	p.Y.Max *= legendHeadroom
	c := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	svg := b.String()
	return template.HTML(svg[max(0, strings.Index(svg, "<svg")):]), nil // #nosec: the SVG is generated here
}

// reportTemplate is the HTML page of a report.
var reportTemplate = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Drill</title>
<style>body{font-family:sans-serif;margin:2em;max-width:60em}pre{background:#f4f4f4;padding:1em;overflow:auto}.wrong{color:#b00020}</style></head>
<body><h1>Drill, seed {{.Seed}}</h1>
{{if .Violations}}<h2 class="wrong">Violations</h2><ul class="wrong">{{range .Violations}}<li>{{.}}</li>{{end}}</ul>{{else}}<p>All checks hold.</p>{{end}}
{{range .Plots}}<div>{{.}}</div>{{end}}
<h2>Timeline</h2><pre>{{range .Timeline}}{{.}}
{{end}}</pre></body></html>
`))

// reportPlot is the content of one plot of a report.
type reportPlot struct {
	title, yLabel string
	lines         []line
}

// Report writes the result of a drill as one HTML page: the violations, the timeline, and plots of the views of the
// controllers, of the replies by result and of the datagram rate.
func Report(out io.Writer, result *DrillResult) error {
	var plots []template.HTML
	for _, p := range []reportPlot{
		{"Members that each controller sees alive", "members", viewLines(result.Samples)},
		{"Replies by result", "a second", resultLines(result)},
		{"Messages between controllers", "a second", []line{datagramLine(result.Samples)}},
	} {
		svg, err := renderPlot(p.title, p.yLabel, p.lines)
		if err != nil {
			return fmt.Errorf("draw plot %q: %w", p.title, err)
		}
		plots = append(plots, svg)
	}
	return reportTemplate.Execute(out, map[string]any{
		"Seed":       result.Seed,
		"Violations": result.Violations,
		"Timeline":   result.Timeline,
		"Plots":      plots,
	})
}

// viewLines returns a line for each controller: the number of members that it sees as alive.
func viewLines(samples []Sample) (lines []line) {
	views := map[string]plotter.XYs{}
	for _, sample := range samples {
		for name, alive := range sample.AliveMembers {
			views[name] = append(views[name], plotter.XY{X: sample.At.Seconds(), Y: float64(alive)})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(views)) {
		lines = append(lines, line{name: name, points: views[name]})
	}
	return lines
}

// datagramLine returns the number of datagrams per second over all links.
func datagramLine(samples []Sample) line {
	l := line{name: "datagrams a second, all links"}
	for k := 1; k < len(samples); k++ {
		previous, sample := samples[k-1], samples[k]
		if seconds := (sample.At - previous.At).Seconds(); seconds > 0 {
			rate := float64(sample.Datagrams-previous.Datagrams) / seconds
			l.points = append(l.points, plotter.XY{X: sample.At.Seconds(), Y: rate})
		}
	}
	return l
}

// resultLines returns a line for each result: the number of requests that ended with it in each second.
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
