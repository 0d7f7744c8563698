package assembly

import (
	"cmp"
	"context"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"liftshift/internal/adminapi"
	"liftshift/internal/locality"
	"liftshift/internal/membership"
)

const (
	longestOrder      = 7 * 24 * time.Hour
	shortReturnOrder  = time.Minute // an order to return without a span replaces the one before, and lapses
	revokedOrderUntil = "taken back"
)

// routeLocality serves the questions about zones.
func (x *Extensions) routeLocality(r *adminapi.Router) {
	adminapi.Handle(r, adminapi.QuestionLocality, func(context.Context, adminapi.Empty) (adminapi.LocalityReply, error) {
		return onLocality(x, func(now float64) (adminapi.LocalityReply, error) { return x.locality.reply(now), nil })
	})
	adminapi.Handle(r, adminapi.QuestionZoneOrder, func(_ context.Context, q adminapi.ZoneOrderRequest) (adminapi.ZoneOrderReply, error) {
		return onLocality(x, func(now float64) (adminapi.ZoneOrderReply, error) { return x.locality.order(now, q) })
	})
	adminapi.Handle(r, adminapi.QuestionZoneWhatIf, func(_ context.Context, q adminapi.ZoneRequest) (adminapi.LinesReply, error) {
		return onLocality(x, func(now float64) (adminapi.LinesReply, error) { return x.locality.whatIf(now, q.Zone) })
	})
}

// onLocality makes a call on the transport's goroutine, which owns the monitor, where there is a block zones.
func onLocality[Reply any](x *Extensions, call func(now float64) (Reply, error)) (Reply, error) {
	if x.locality == nil {
		var none Reply
		return none, adminapi.RequestErrorf("nothing is decided between zones: the operators' file has no block zones")
	}
	return onTransport(x.cluster, func(now float64, _ *membership.View) (Reply, error) { return call(now) })
}

// reply returns the plan, this controller's part in it, the orders, and the reasons, where it leads.
func (l *localityExtension) reply(now float64) adminapi.LocalityReply {
	monitor := l.agent.Monitor
	plan := monitor.Plan()
	reply := adminapi.LocalityReply{Plan: plan.Number, Leader: l.cluster.node.Leader(now), LeaseHeld: l.cluster.node.LeaseHeld(),
		Explanations: monitor.Explanations()}
	for _, z := range plan.Zones {
		reply.Zones = append(reply.Zones, adminapi.Zone{Name: z.Name, Region: z.Region, State: z.State.String(), Stage: z.Stage,
			Flaps: z.Flaps, Cores: z.Cores, Controllers: z.Members, Reason: z.Reason})
	}
	for _, p := range plan.Pairs {
		reply.Pairs = append(reply.Pairs, adminapi.ZonePair{From: p.From, To: p.To, Cap: p.Cap, Shares: len(p.Shares)})
	}
	for _, o := range monitor.Orders() {
		reply.Orders = append(reply.Orders, adminapi.ZoneOrder{Kind: string(o.Kind), Zone: o.Zone, Author: o.Author, Reason: o.Reason,
			Until: formatUntil(o.Until)})
	}
	for _, r := range monitor.Reaches() {
		reply.Reaches = append(reply.Reaches, adminapi.ZoneReach{Zone: r.Zone, Tier: r.Tier, Threads: r.Capacity, LatencyMS: r.LatencyMS,
			MinDensity: r.MinDensity})
	}
	reports := monitor.Reports()
	for _, zone := range slices.Sorted(maps.Keys(reports)) {
		r := reports[zone]
		reply.Reports = append(reply.Reports, adminapi.ZoneReport{Zone: zone, Observers: r.Observers,
			DemandThreads: math.Round(10*r.DemandThreads) / 10})
	}
	return reply
}

// formatUntil shows the end of an order.
func formatUntil(unixMS int64) string {
	if unixMS == 0 {
		return revokedOrderUntil
	}
	return time.UnixMilli(unixMS).UTC().Format(time.RFC3339)
}

// order proposes an operator's order to the consensus group.
func (l *localityExtension) order(now float64, q adminapi.ZoneOrderRequest) (adminapi.ZoneOrderReply, error) {
	var none adminapi.ZoneOrderReply
	known := slices.ContainsFunc(l.agent.Monitor.Plan().Zones, func(z locality.Zone) bool { return z.Name == q.Zone })
	if !known {
		return none, adminapi.RequestErrorf("no zone %q; see: liftshift zones show", q.Zone)
	}
	if l.cluster.node.Leader(now) == "" {
		return none, adminapi.RequestErrorf("nobody leads the consensus group now: an order could not be agreed on")
	}
	span, err := time.ParseDuration(cmp.Or(q.For, "0s"))
	if err != nil || span < 0 || span > longestOrder {
		return none, adminapi.RequestErrorf("for must be a time of up to %v, not %q", longestOrder, q.For)
	}
	o := locality.Order{Kind: locality.OrderKind(q.Kind), Zone: q.Zone, Author: q.Author, Reason: q.Reason}
	if span == 0 && o.Kind != locality.Return {
		return none, adminapi.RequestErrorf("an order to %s ends at some time: say for how long", o.Kind)
	}
	span = cmp.Or(span, shortReturnOrder)
	o.Until, o.SpanMS = time.Now().Add(span).UnixMilli(), float64(span.Milliseconds())
	l.x.log.WithFields(logrus.Fields{"zone": o.Zone, "order": string(o.Kind), "author": o.Author, "until": formatUntil(o.Until)}).
		Warn("locality: an operator's order")
	if err := l.agent.SubmitOrder(o, false); err != nil {
		return none, err
	}
	return adminapi.ZoneOrderReply{Accepted: true, Until: formatUntil(o.Until)}, nil
}

// whatIf says what would follow if a zone or a region were lost now, from what the leader observes.
func (l *localityExtension) whatIf(now float64, zone string) (adminapi.LinesReply, error) {
	monitor := l.agent.Monitor
	if len(monitor.Reports()) == 0 {
		leader := cmp.Or(l.cluster.node.Leader(now), "it, once somebody does")
		return adminapi.LinesReply{}, adminapi.RequestErrorf("the demand of all controllers is summed up at the leader of the consensus group; ask %s", leader)
	}
	var reply adminapi.LinesReply
	for _, peak := range []bool{false, true} {
		lines, err := monitor.WhatIf(zone, peak)
		if err != nil {
			return adminapi.LinesReply{}, adminapi.RequestErrorf("%w", err)
		}
		title := "with the demand of now:"
		if peak {
			title = "with the highest demand of the last hour, as far as this leader has led:"
		}
		reply.Lines = append(reply.Lines, title)
		for _, line := range lines {
			reply.Lines = append(reply.Lines, "  "+line)
		}
	}
	return reply, nil
}
