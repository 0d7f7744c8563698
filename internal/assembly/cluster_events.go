package assembly

import (
	"math"

	"github.com/sirupsen/logrus"

	"liftshift/internal/consensus"
	"liftshift/internal/dispatch"
	"liftshift/internal/membership"
)

// membershipEffect logs what the membership view reports, and does what follows; the transport's goroutine calls it.
func (c *cluster) membershipEffect(now float64, e membership.Effect) {
	m := &e.Member
	switch e.Kind {
	case membership.MemberChanged:
		c.logMember(now, &e)
	case membership.SelfIncarnationRaised:
		c.log.always().WithField("incarnation", m.Incarnation).
			Warn("cluster: the others knew a later incarnation of this name; this one goes on under a later still")
		if c.x.store != nil {
			incarnation := m.Incarnation
			go c.x.loop.Put(dispatch.QueueItem{Call: func(float64) { c.storeIncarnation(incarnation) }})
		}
	case membership.DuplicateName:
		c.log.always().WithFields(logrus.Fields{"name": m.Name, "address": m.Address, "incarnation": m.Incarnation, "reason": e.Reason}).
			Error("cluster: duplicate member name")
	case membership.SelfStalled:
		c.log.bounded(now).WithField("ms", math.Round(e.StallMS)).Warn("cluster: this controller stalled, and judges nobody by it")
	case membership.PartitionSuspected:
		c.log.always().Warn("cluster: many members went at once; it may be this controller that is partitioned")
	}
	c.publishPresent()
	counts := c.view.Counts()
	c.counts.Store(&counts)
}

// logMember logs the change of another member's state.
func (c *cluster) logMember(now float64, e *membership.Effect) {
	m := &e.Member
	if m.Name == c.view.Self().Name {
		return
	}
	line := c.log.bounded(now).WithFields(logrus.Fields{"member": m.Name, "incarnation": m.Incarnation, "was": e.From.String(),
		"zone": m.Zone, "reason": e.Reason})
	switch {
	case m.State == membership.Dead || m.State == membership.Suspect:
		line.Warn("cluster: " + m.State.String())
	case e.From != m.State:
		line.Info("cluster: " + m.State.String())
	}
}

// publishPresent hands on how many controllers share the executors, where that has changed. What finds no room goes with the next
// change.
func (c *cluster) publishPresent() {
	n := c.view.ControllerCount()
	if n == c.lastPresent {
		return
	}
	select {
	case c.present <- n:
		c.lastPresent = n
	default:
	}
}

// consensusEffect logs what the consensus group reports, and does what follows; the transport's goroutine calls it.
func (c *cluster) consensusEffect(now float64, e consensus.Effect) {
	member := logrus.Fields{"member": e.Name, "incarnation": e.Incarnation, "term": e.Term}
	log := c.log.always()
	switch e.Kind {
	case consensus.MemberLost:
		c.declaredLost.Add(1)
		log.WithFields(member).WithField("reason", e.Reason).Warn("consensus: an incarnation is declared lost")
	case consensus.MemberAdmitted:
		c.log.bounded(now).WithFields(member).Info("consensus: an incarnation is admitted")
	case consensus.LeaderChanged:
		log.WithField("leader", e.Name).Info("consensus: leader changed")
	case consensus.GroupFormed:
		log.Info("consensus: group formed")
	case consensus.LeaseChanged:
		if e.Held {
			log.Info("consensus: this controller holds its lease")
		} else {
			log.Warn("consensus: this controller's lease is over")
		}
	case consensus.IncarnationRevoked:
		log.Warn("consensus: this incarnation has been declared lost; going on as another")
		c.transport.RaiseIncarnation(now)
	case consensus.VoterFailed:
		log.WithField("reason", e.Reason).Error("consensus: this voter has failed; the others go on")
		c.diskFailing.Store(true)
		go c.transport.SetFlags(c.flags(membership.Ready))
	}
}

// logCounters logs the counters of the membership view.
func (c *cluster) logCounters() {
	if c == nil {
		return
	}
	n := c.counts.Load()
	if n == nil {
		return
	}
	c.x.log.WithFields(logrus.Fields{"probes": n.Probes, "unanswered": n.Unanswered, "indirect": n.Indirect, "refuted": n.Refuted,
		"condemned": n.ReportedDead, "stalls": n.Stalls, "sent": n.Sent, "sent_bytes": n.SentBytes, "received": n.Received, "foreign": n.Foreign,
		"newer": n.Newer, "malformed": n.Malformed, "exchanges": n.Exchanges, "merged": n.Merged, "crowded": n.RejectedForSpace,
		"dropped": c.transport.Dropped.Load(), "calls_lost": c.transport.CallsLost.Load(), "declared_lost": c.declaredLost.Load()}).Info("cluster")
}
