package consensus

import (
	"math"
	"slices"
)

const (
	// renewalsPerLease is the number of renewals requested within the duration of one lease.
	renewalsPerLease = 3
	// leaseRequestTimeoutMS is the time after which an unanswered lease request counts as failed.
	leaseRequestTimeoutMS = 600
	// leaderDiscoveryInterval is the number of unsuccessful attempts in which one request goes to some voter or founder
	// in place of the presumed leader.
	leaderDiscoveryInterval = 4
)

// ownLease is the state of this controller's own lease and of the request for it. Times are by this controller's clock.
type ownLease struct {
	until         float64 // end of the lease
	held          bool    // as last reported by LeaseChanged
	nextRequestAt float64 // when the next request is due
	token         uint64  // of the request in flight; 0: none
	requestedAt   float64 // when that request was sent
	requestedFrom string
	leaderHint    string // the leader according to the last reply
	attempts      int    // unanswered and rejected requests; selects those that go to another than the presumed leader
	discoveries   int    // requests sent to discover the leader; selects the member that the next one goes to
}

// nextDue returns the earliest time at which a request is due, a request times out or the lease expires.
func (l *ownLease) nextDue() float64 {
	due := l.nextRequestAt
	if l.held {
		due = min(due, l.until)
	}
	if l.token != 0 {
		due = min(due, l.requestedAt+leaseRequestTimeoutMS)
	}
	return due
}

// LeaseHeld reports whether this controller holds its lease at the given time. Check it immediately before sending
// anything that requires the lease.
func (g *Group) LeaseHeld(now float64) bool { return now < g.lease.until }

// LeaseUntil returns the time at which the lease expires, by this controller's clock.
func (g *Group) LeaseUntil() float64 { return g.lease.until }

// reportLeaseChange emits LeaseChanged if the lease was obtained or has expired since the last report.
func (g *Group) reportLeaseChange() {
	held := g.LeaseHeld(g.now)
	if held == g.lease.held {
		return
	}
	g.lease.held = held
	g.emit(Effect{Kind: LeaseChanged, Held: held})
}

// renewLease sends a lease request if one is due, expires an unanswered one, and reports the lease's expiry.
func (g *Group) renewLease() {
	l := &g.lease
	if l.token != 0 && g.now >= l.requestedAt+leaseRequestTimeoutMS {
		l.token = 0
		l.leaderHint = ""
		l.nextRequestAt = g.now
		l.attempts++
	}
	g.reportLeaseChange()
	if l.token != 0 || g.now < l.nextRequestAt || len(g.founders) == 0 {
		return
	}
	to := g.presumedLeader()
	if to == "" || l.attempts%leaderDiscoveryInterval == leaderDiscoveryInterval-1 {
		to = g.nextToAskForLeader()
		l.attempts++
	}
	l.token = g.nextToken()
	l.requestedAt = g.now
	l.requestedFrom = to
	l.nextRequestAt = g.now + g.settings.LeaseMS/renewalsPerLease*(0.9+0.1*g.random())
	g.emit(Effect{Kind: RequestLease, To: to, Token: l.token, Name: g.name, Incarnation: g.incarnation})
}

// nextToAskForLeader returns the member that is asked next who leads: the voters known here, in turn, and after each
// round of them one of the other members that may vote. All voters known here may have been replaced.
func (g *Group) nextToAskForLeader() string {
	l := &g.lease
	voters := g.voterNames()
	others := g.otherPossibleVoters(voters)
	round, place := l.discoveries/(len(voters)+1), l.discoveries%(len(voters)+1)
	l.discoveries++
	switch {
	case place < len(voters):
		return voters[place]
	case len(others) > 0:
		return others[round%len(others)]
	}
	return g.nextToAskForLeader() // the first voter of the next round
}

// otherPossibleVoters returns the names, sorted, of the reachable members that may vote, without this one and those given.
func (g *Group) otherPossibleVoters(known []string) (names []string) {
	for name, o := range g.observations {
		if o.Alive && o.CanVote && name != g.name && !slices.Contains(known, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// voterNames returns the members that may know the leader: the voters, or the founders if no voter is known.
func (g *Group) voterNames() []string {
	if len(g.record.Voters) == 0 {
		return g.founders
	}
	names := make([]string, 0, len(g.record.Voters))
	for _, v := range g.record.Voters {
		names = append(names, v.Name)
	}
	return names
}

// presumedLeader returns the leader known from Raft, unless that member has replied that it does not lead; otherwise
// the leader named in the last lease reply, or "".
func (g *Group) presumedLeader() string {
	if name := g.leaderName(); name != "" && name != g.rejectedLeader {
		return name
	}
	return g.lease.leaderHint
}

// handleLeaseReply handles the reply to this controller's lease request. The lease counts from when it was requested.
func (g *Group) handleLeaseReply(event *Event) {
	l := &g.lease
	if event.Token != l.token {
		return // the reply to an earlier request, which has timed out
	}
	l.token = 0
	if !event.Failed && (event.Reply.Verdict != NotLeader || event.Reply.Leader != "") {
		g.groupKnown = true // the reply is a leader's, or names one
	}
	retryAt := g.now + heartbeatIntervalMS*(1+g.random())
	switch {
	case event.Failed:
		l.leaderHint = ""
		l.nextRequestAt = retryAt
	case event.Reply.Verdict == Granted:
		l.leaderHint = event.Reply.Leader
		l.until = max(l.until, l.requestedAt+g.settings.LeaseMS*(1-maxClockDrift))
		if event.Reply.PlanNumber > 0 {
			g.emit(Effect{Kind: PlanConfirmed, PlanNumber: event.Reply.PlanNumber, InForceAfter: l.requestedAt})
		}
	case event.Reply.Verdict == NotLeader:
		l.leaderHint = event.Reply.Leader
		if l.leaderHint == g.name { // outdated, as this member asks
			l.leaderHint = ""
		}
		l.nextRequestAt = retryAt
		l.attempts++
		if l.requestedFrom == g.leaderName() { // a former voter does not learn of later leaders from Raft
			g.rejectedLeader = l.requestedFrom
		}
	case event.Reply.Verdict == IncarnationLost:
		l.until = 0
		l.nextRequestAt = math.Inf(1)
		g.emit(Effect{Kind: IncarnationRevoked})
	default:
		l.nextRequestAt = retryAt
	}
	g.reportLeaseChange()
}
