package consensus

import "math"

const (
	leaseRenewals     = 3   // requests within the time of a lease
	leaseAnswerMS     = 600 // without an answer, after which a request counts as lost
	discoveryInterval = 4   // every so many attempts, a voter or founder is asked in place of the presumed leader
)

// ownLease is this controller's own lease and its requests for it.
type ownLease struct {
	until       float64 // by this controller's clock
	held        bool    // as reported last
	requestAt   float64 // when the next request is due
	token       uint64  // of the request that is under way; 0: none
	requestedAt float64
	requestedOf string
	leaderHint  string // by the last answer
	attempts    int
}

// nextDue returns when something is due about the lease.
func (l *ownLease) nextDue() float64 {
	due := l.requestAt
	if l.held {
		due = min(due, l.until)
	}
	if l.token != 0 {
		due = min(due, l.requestedAt+leaseAnswerMS)
	}
	return due
}

// LeaseHeld reports whether this controller may act on its lease at a time. It is to be asked at the last step before anything is sent.
func (g *Group) LeaseHeld(now float64) bool { return now < g.lease.until }

// LeaseUntil returns when the lease ends, by this controller's clock.
func (g *Group) LeaseUntil() float64 { return g.lease.until }

// reportLeaseChange reports that the lease was obtained or has expired.
func (g *Group) reportLeaseChange() {
	held := g.LeaseHeld(g.now)
	if held == g.lease.held {
		return
	}
	g.lease.held = held
	g.emit(Effect{Kind: LeaseChanged, Held: held})
}

// renewLease requests the lease in time and reports when it has expired.
func (g *Group) renewLease() {
	l := &g.lease
	if l.token != 0 && g.now >= l.requestedAt+leaseAnswerMS {
		l.token = 0
		l.leaderHint = ""
		l.requestAt = g.now
		l.attempts++
	}
	g.reportLeaseChange()
	if l.token != 0 || g.now < l.requestAt || len(g.founders) == 0 {
		return
	}
	to := g.presumedLeader()
	if to == "" || l.attempts%discoveryInterval == discoveryInterval-1 {
		names := g.voterNames()
		to = names[l.attempts%len(names)]
		l.attempts++
	}
	l.token = g.nextToken()
	l.requestedAt = g.now
	l.requestedOf = to
	l.requestAt = g.now + g.settings.LeaseMS/leaseRenewals*(0.9+0.1*g.random())
	g.emit(Effect{Kind: RequestLease, To: to, Token: l.token, Name: g.name, Incarnation: g.incarnation})
}

// voterNames returns the members that may know the leader: the voters, or the founders while no voter is known.
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

// presumedLeader returns the leader by Raft's knowledge, unless that member has denied it, or else by the last answer.
func (g *Group) presumedLeader() string {
	if name := g.leaderName(); name != "" && name != g.rejectedLeader {
		return name
	}
	return g.lease.leaderHint
}

// handleLeaseReply takes the answer to this controller's request. The lease counts from when it was requested.
func (g *Group) handleLeaseReply(ev *Event) {
	l := &g.lease
	if ev.Token != l.token {
		return // the answer to an earlier request
	}
	l.token = 0
	retryAt := g.now + heartbeatMS*(1+g.random())
	switch {
	case ev.Failed:
		l.leaderHint = ""
		l.requestAt = retryAt
	case ev.Reply.Verdict == Granted:
		l.leaderHint = ev.Reply.Leader
		l.until = max(l.until, l.requestedAt+g.settings.LeaseMS*(1-maxClockDrift))
		if ev.Reply.PlanNumber > 0 {
			g.emit(Effect{Kind: PlanConfirmed, Number: ev.Reply.PlanNumber, At: l.requestedAt})
		}
	case ev.Reply.Verdict == NotLeader:
		l.leaderHint = ev.Reply.Leader
		l.requestAt = retryAt
		l.attempts++
		if l.requestedOf == g.leaderName() { // a member that is no longer a voter does not learn of later leaders from Raft
			g.rejectedLeader = l.requestedOf
		}
	case ev.Reply.Verdict == IncarnationLost:
		l.until = 0
		l.requestAt = math.Inf(1)
		g.emit(Effect{Kind: IncarnationRevoked})
	default:
		l.requestAt = retryAt
	}
	g.reportLeaseChange()
}
