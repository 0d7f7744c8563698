package chaostest

import (
	"bytes"
	"fmt"
	"html/template"
	"io"
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

// draw draws a plot as SVG.
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
<html lang="en"><head><meta charset="utf-8"><title>Rehearsal</title>
<style>body{font-family:sans-serif;margin:2em;max-width:60em}pre{background:#f4f4f4;padding:1em;overflow:auto}.wrong{color:#b00020}</style></head>
<body><h1>Rehearsal, seed {{.Seed}}</h1>
{{if .Wrong}}<h2 class="wrong">Wrong</h2><ul class="wrong">{{range .Wrong}}<li>{{.}}</li>{{end}}</ul>{{else}}<p>All checks hold.</p>{{end}}
{{range .Plots}}<div>{{.}}</div>{{end}}
<h2>Timeline</h2><pre>{{range .Timeline}}{{.}}
{{end}}</pre></body></html>
`))

// Report writes an outcome as one HTML file: views over time, answers by outcome, messages.
func Report(out io.Writer, o *DrillResult) error {
	views, controllers := map[string]*line{}, []string{}
	var messages line
	messages.name = "datagrams a second, all links"
	for k, s := range o.Samples {
		for name, n := range s.Present {
			if views[name] == nil {
				views[name] = &line{name: name}
				controllers = append(controllers, name)
			}
			views[name].points = append(views[name].points, plotter.XY{X: s.At.Seconds(), Y: float64(n)})
		}
		if k > 0 {
			before := o.Samples[k-1]
			if gap := (s.At - before.At).Seconds(); gap > 0 {
				messages.points = append(messages.points, plotter.XY{X: s.At.Seconds(), Y: float64(s.Datagrams-before.Datagrams) / gap})
			}
		}
	}
	slices.Sort(controllers)
	var seen []line
	for _, name := range controllers {
		seen = append(seen, *views[name])
	}
	outcomes := []string{"handled", "denied", "written off", "cut off"}
	counts := map[string]map[int]int{}
	last := 0
	for _, a := range o.Requests {
		s := int(a.At.Add(a.Latency).Sub(o.Start) / time.Second)
		if counts[a.Result] == nil {
			counts[a.Result] = map[int]int{}
		}
		counts[a.Result][s]++
		last = max(last, s)
	}
	var answers []line
	for _, name := range outcomes {
		l := line{name: name}
		for s := 0; s <= last; s++ {
			l.points = append(l.points, plotter.XY{X: float64(s), Y: float64(counts[name][s])})
		}
		answers = append(answers, l)
	}
	var plots []template.HTML
	for _, d := range []struct {
		title, y string
		lines    []line
	}{{"How many each controller holds for here", "members", seen}, {"Answers by outcome", "a second", answers},
		{"Messages between controllers", "a second", []line{messages}}} {
		svg, err := renderPlot(d.title, d.y, d.lines)
		if err != nil {
			return fmt.Errorf("report: %w", err)
		}
		plots = append(plots, svg)
	}
	return page.Execute(out, map[string]any{"Seed": o.Seed, "Wrong": o.Wrong, "Timeline": o.Timeline, "Plots": plots})
}
