package assembly

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"liftshift/internal/adminapi"
	"liftshift/internal/locality"
	"liftshift/internal/localityagent"
	"liftshift/internal/membership"
	"liftshift/scheduler"
)

const longestOrder = 7 * 24 * time.Hour

// lookout joins a scout to a controller: who uses it, what is logged, what is asked of it. It decides nothing.
type lookout struct {
	inst  *Extensions
	fleet *fleet
	scout *localityagent.Agent
}

// openLookout makes the scout, where the file has a block zones; the carriage does not listen yet.
func (i *Extensions) openLookout(f *fleet, platform *scheduler.Settings) {
	b, file := locality.DefaultSettings(), i.file.Locality
	b.ThreadsPerCore, b.SpillShare = file.ThreadsPerCore, file.SpillShare
	b.StageMS, b.RecoveryWaitMS = file.StageMS, file.RecoveryWaitMS
	b.LeaseMS = i.file.Cluster.Consensus.LeaseMS
	for _, c := range platform.Classes {
		b.MinShare = max(b.MinShare, float64(c.Threads))
	}
	self := f.view.Self()
	for name, r := range i.file.Locality.Regions {
		b.LatencyMS[[2]string{self.Region, name}], b.MinDensity[[2]string{self.Region, name}] = r.LatencyMS, r.MinDensity
	}
	i.lookout = &lookout{inst: i, fleet: f, scout: localityagent.New(locality.New(self.Name, self.Zone, self.Region, b), self.Name, platform, i.desk, f.carrier, f.view, f.seat, i.log)}
	i.lookout.scout.Start()
}

func (l *lookout) count() {
	if l != nil {
		l.inst.log.WithFields(l.scout.Counters()).Info("zones")
	}
}

func (l *lookout) close() {
	if l != nil {
		l.scout.Close()
	}
}

// answer answers the questions of the operators' tools that are about zones.
func (l *lookout) answer(question string, fields map[string]any) (ours bool, out map[string]any, err error) {
	if !strings.HasPrefix(question, "zones") {
		return false, nil, nil
	}
	if l == nil {
		return true, nil, adminapi.RequestErrorf("nothing is decided between zones: the operators' file has no block zones")
	}
	done := l.fleet.carrier.Do(func(now float64, _ *membership.View) {
		switch question {
		case "zones":
			out = l.show(now)
		case "zones order":
			out, err = l.order(now, fields)
		case "zones plan":
			out, err = l.whatIf(now, fields)
		default:
			err = adminapi.RequestErrorf("no question %q", question)
		}
	})
	if !done {
		return true, nil, fmt.Errorf("this controller stops")
	}
	return true, out, err
}

// show gives the plan, this controller's part in it, the orders, and why, where it leads.
func (l *lookout) show(now float64) map[string]any {
	w := l.scout.Monitor
	p := w.Plan()
	var list, pairs, orders, reaches, reports, lines []any
	for _, z := range p.Zones {
		list = append(list, map[string]any{"zone": z.Name, "region": z.Region, "state": z.State.String(), "stage": float64(z.Stage), "flaps": float64(z.Flaps),
			"cores": z.Cores, "controllers": float64(z.Members), "why": z.Reason})
	}
	for _, x := range p.Pairs {
		pairs = append(pairs, map[string]any{"from": x.From, "to": x.To, "cap": x.Cap, "parts": float64(len(x.Shares))})
	}
	for _, o := range w.Orders() {
		orders = append(orders, map[string]any{"kind": string(o.Kind), "zone": o.Zone, "author": o.Author, "why": o.Reason, "until": until(o.Until)})
	}
	for _, r := range w.Reaches() {
		reaches = append(reaches, map[string]any{"zone": r.Zone, "tier": float64(r.Tier), "threads": r.Capacity, "way_ms": r.LatencyMS, "least": r.MinDensity})
	}
	for _, zone := range slices.Sorted(maps.Keys(w.Reports())) {
		r := w.Reports()[zone]
		reports = append(reports, map[string]any{"zone": zone, "voices": float64(r.Observers), "wants": math.Round(10*r.DemandThreads) / 10})
	}
	for _, line := range w.Explanations() {
		lines = append(lines, line)
	}
	return map[string]any{"plan": float64(p.Number), "leader": l.fleet.seat.Leader(now), "held": l.fleet.seat.LeaseHeld(), "zones": list, "pairs": pairs,
		"orders": orders, "reaches": reaches, "reports": reports, "lines": lines}
}

func until(unix int64) string {
	if unix == 0 {
		return "taken back"
	}
	return time.UnixMilli(unix).UTC().Format(time.RFC3339)
}

// order has the council take in an operator's order.
func (l *lookout) order(now float64, fields map[string]any) (map[string]any, error) {
	text := func(name string) string { s, _ := fields[name].(string); return s }
	o := locality.Order{Kind: locality.OrderKind(text("kind")), Zone: text("zone"), Author: text("who"), Reason: text("why")}
	if !slices.ContainsFunc(l.scout.Monitor.Plan().Zones, func(z locality.Zone) bool { return z.Name == o.Zone }) {
		return nil, adminapi.RequestErrorf("no zone %q; see: liftshift zones show", o.Zone)
	}
	if l.fleet.seat.Leader(now) == "" {
		return nil, adminapi.RequestErrorf("nobody leads the council now: an order could not be agreed on")
	}
	span, err := time.ParseDuration(cmp.Or(text("for"), "0s"))
	if err != nil || span < 0 || span > longestOrder {
		return nil, adminapi.RequestErrorf("for must be a time of up to %v, not %q", longestOrder, text("for"))
	}
	if span > 0 {
		o.Until, o.SpanMS = time.Now().Add(span).UnixMilli(), float64(span.Milliseconds())
	} else if o.Kind != locality.Return {
		return nil, adminapi.RequestErrorf("an order to %s ends at some time: say for how long", o.Kind)
	}
	if o.Kind == locality.Return && span == 0 {
		o.Until, o.SpanMS = time.Now().Add(time.Minute).UnixMilli(), float64(time.Minute.Milliseconds()) // it takes the place of the order before, and lapses
	}
	l.inst.log.WithFields(logrus.Fields{"zone": o.Zone, "order": string(o.Kind), "who": o.Author, "until": until(o.Until)}).Warn("zones: an operator's order")
	return map[string]any{"asked": true, "until": until(o.Until)}, l.scout.SubmitOrder(o, false)
}

// whatIf tells what would follow if a zone or a region were lost now, from what is seen at the one who leads.
func (l *lookout) whatIf(now float64, fields map[string]any) (map[string]any, error) {
	w := l.scout.Monitor
	if len(w.Reports()) == 0 {
		return nil, adminapi.RequestErrorf("what controllers want is summed up at the one who leads the council; ask %s", cmp.Or(l.fleet.seat.Leader(now), "it, once somebody does"))
	}
	name, _ := fields["zone"].(string)
	var out []any
	for _, peak := range []bool{false, true} {
		lines, err := w.WhatIf(name, peak)
		if err != nil {
			return nil, adminapi.RequestErrorf("%v", err)
		}
		out = append(out, map[bool]string{false: "with what is wanted now:", true: "with the most that was wanted in the last hour, as far as this leader has led:"}[peak])
		for _, line := range lines {
			out = append(out, "  "+line)
		}
	}
	return map[string]any{"lines": out}, nil
}
