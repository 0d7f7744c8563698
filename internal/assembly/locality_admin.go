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
	maxOrderDuration = 7 * 24 * time.Hour
	// defaultReturnDuration applies to a return order without a duration. The order replaces an earlier one for the
	// zone and expires soon after.
	defaultReturnDuration = time.Minute
	// revokedOrderUntil is shown in place of the end of a revoked order.
	revokedOrderUntil = "taken back"
)

// routeLocality registers the handlers for the zones.
func (x *Extensions) routeLocality(router *adminapi.Router) {
	adminapi.Handle(router, adminapi.OperationLocality,
		func(context.Context, adminapi.Empty) (adminapi.LocalityReply, error) {
			return onLocality(x, func(now float64) (adminapi.LocalityReply, error) {
				return x.locality.reply(now), nil
			})
		})
	adminapi.Handle(router, adminapi.OperationZoneOrder,
		func(_ context.Context, request adminapi.ZoneOrderRequest) (adminapi.ZoneOrderReply, error) {
			return onLocality(x, func(now float64) (adminapi.ZoneOrderReply, error) {
				return x.locality.submitOrder(now, request)
			})
		})
	adminapi.Handle(router, adminapi.OperationZoneWhatIf,
		func(_ context.Context, request adminapi.ZoneRequest) (adminapi.LinesReply, error) {
			return onLocality(x, func(now float64) (adminapi.LinesReply, error) {
				return x.locality.whatIf(now, request.Zone)
			})
		})
}

// onLocality is onTransport for requests about zones, whose monitor belongs to the transport's goroutine. It fails if
// the operators' file has no block zones.
func onLocality[Reply any](x *Extensions, call func(now float64) (Reply, error)) (Reply, error) {
	if x.locality == nil {
		var none Reply
		return none, adminapi.RequestErrorf("nothing is decided between zones: the operators' file has no block zones")
	}
	return onTransport(x.cluster, func(now float64, _ *membership.View) (Reply, error) { return call(now) })
}

// reply describes the agreed plan, the orders, the limits that this controller's scheduler uses and, on the leader, the
// reasons for the plan and the zones' reports.
func (l *localityExtension) reply(now float64) adminapi.LocalityReply {
	monitor := l.agent.Monitor
	plan := monitor.Plan()
	reply := adminapi.LocalityReply{
		Plan:         plan.Number,
		Leader:       l.cluster.node.Leader(now),
		LeaseHeld:    l.cluster.node.LeaseHeld(),
		Explanations: monitor.Explanations(),
	}
	for _, z := range plan.Zones {
		reply.Zones = append(reply.Zones, adminapi.Zone{
			Name:        z.Name,
			Region:      z.Region,
			State:       z.State.String(),
			Stage:       z.Stage,
			Flaps:       z.Flaps,
			Cores:       z.Cores,
			Controllers: z.Members,
			Reason:      z.Reason,
		})
	}
	for _, p := range plan.Pairs {
		reply.Pairs = append(reply.Pairs, adminapi.ZonePair{From: p.From, To: p.To, Cap: p.Cap, Shares: len(p.Shares)})
	}
	for _, o := range monitor.Orders() {
		reply.Orders = append(reply.Orders, adminapi.ZoneOrder{
			Kind:   string(o.Kind),
			Zone:   o.Zone,
			Author: o.Author,
			Reason: o.Reason,
			Until:  formatUntil(o.Until),
		})
	}
	for _, r := range monitor.Reaches() {
		reply.Reaches = append(reply.Reaches, adminapi.ZoneReach{
			Zone:       r.Zone,
			Tier:       r.Tier,
			Threads:    r.Capacity,
			LatencyMS:  r.LatencyMS,
			MinDensity: r.MinDensity,
		})
	}
	reports := monitor.Reports()
	for _, zone := range slices.Sorted(maps.Keys(reports)) {
		r := reports[zone]
		reply.Reports = append(reply.Reports, adminapi.ZoneReport{
			Zone:          zone,
			Observers:     r.Observers,
			DemandThreads: math.Round(10*r.DemandThreads) / 10,
		})
	}
	return reply
}

// formatUntil formats the end of an order, a Unix time in ms, where 0 stands for a revoked order.
func formatUntil(unixMS int64) string {
	if unixMS == 0 {
		return revokedOrderUntil
	}
	return time.UnixMilli(unixMS).UTC().Format(time.RFC3339)
}

// submitOrder checks an operator's order and proposes it to the consensus group.
func (l *localityExtension) submitOrder(
	now float64, request adminapi.ZoneOrderRequest,
) (adminapi.ZoneOrderReply, error) {
	var none adminapi.ZoneOrderReply
	known := slices.ContainsFunc(
		l.agent.Monitor.Plan().Zones, func(z locality.Zone) bool { return z.Name == request.Zone },
	)
	if !known {
		return none, adminapi.RequestErrorf("no zone %q; see: liftshift zones show", request.Zone)
	}
	if l.cluster.node.Leader(now) == "" {
		return none, adminapi.RequestErrorf("nobody leads the consensus group now: an order could not be agreed on")
	}
	duration, err := time.ParseDuration(cmp.Or(request.For, "0s"))
	if err != nil || duration < 0 || duration > maxOrderDuration {
		return none, adminapi.RequestErrorf("for must be a time of up to %v, not %q", maxOrderDuration, request.For)
	}
	order := locality.Order{
		Kind:   locality.OrderKind(request.Kind),
		Zone:   request.Zone,
		Author: request.Author,
		Reason: request.Reason,
	}
	if duration == 0 && order.Kind != locality.Return {
		return none, adminapi.RequestErrorf("an order to %s ends at some time: say for how long", order.Kind)
	}
	duration = cmp.Or(duration, defaultReturnDuration)
	order.Until, order.SpanMS = time.Now().Add(duration).UnixMilli(), float64(duration.Milliseconds())
	l.extensions.log.WithFields(logrus.Fields{
		"zone":   order.Zone,
		"order":  string(order.Kind),
		"author": order.Author,
		"until":  formatUntil(order.Until),
	}).Warn("locality: an operator's order")
	if err := l.agent.SubmitOrder(order, false); err != nil {
		return none, err
	}
	return adminapi.ZoneOrderReply{Accepted: true, Until: formatUntil(order.Until)}, nil
}

// whatIf describes what would follow if a zone or a region were lost now. Only the leader has the reports for that; on
// another member whatIf fails and names the leader.
func (l *localityExtension) whatIf(now float64, zone string) (adminapi.LinesReply, error) {
	monitor := l.agent.Monitor
	if len(monitor.Reports()) == 0 {
		leader := cmp.Or(l.cluster.node.Leader(now), "it, once somebody does")
		return adminapi.LinesReply{}, adminapi.RequestErrorf(
			"the demand of all controllers is summed up at the leader of the consensus group; ask %s", leader,
		)
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
