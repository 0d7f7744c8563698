package assembly

import (
	"math"

	"github.com/sirupsen/logrus"

	"liftshift/internal/consensus"
	"liftshift/internal/dispatch"
	"liftshift/internal/membership"
)

// handleMembershipEffect logs an effect of the membership view, acts on it and publishes the view's counters. It runs
// on the transport's goroutine.
func (c *clusterExtension) handleMembershipEffect(now float64, effect membership.Effect) {
	member := &effect.Member
	switch effect.Kind {
	case membership.MemberChanged:
		c.logMemberChange(now, &effect)
	case membership.SelfIncarnationRaised:
		c.log.unlimited().WithField("incarnation", member.Incarnation).
			Warn("cluster: the others knew a later incarnation of this name; this one goes on under a later still")
		if c.extensions.store != nil {
			incarnation := member.Incarnation
			go c.extensions.loop.Put(dispatch.QueueItem{Call: func(float64) { c.storeIncarnation(incarnation) }})
		}
	case membership.DuplicateName:
		c.log.unlimited().WithFields(logrus.Fields{
			"name":        member.Name,
			"address":     member.Address,
			"incarnation": member.Incarnation,
			"reason":      effect.Reason,
		}).Error("cluster: duplicate member name")
	case membership.SelfStalled:
		c.log.rateLimited(now).WithField("ms", math.Round(effect.StallMS)).
			Warn("cluster: this controller stalled, and judges nobody by it")
	case membership.PartitionSuspected:
		c.log.unlimited().Warn("cluster: many members went at once; it may be this controller that is partitioned")
	}
	c.publishControllerCount()
	counts := c.view.Counts()
	c.counts.Store(&counts)
}

// logMemberChange logs a change of another member's state.
func (c *clusterExtension) logMemberChange(now float64, effect *membership.Effect) {
	member := &effect.Member
	if member.Name == c.view.Self().Name {
		return
	}
	line := c.log.rateLimited(now).WithFields(logrus.Fields{
		"member":      member.Name,
		"incarnation": member.Incarnation,
		"was":         effect.From.String(),
		"zone":        member.Zone,
		"reason":      effect.Reason,
	})
	switch {
	case member.State == membership.Dead || member.State == membership.Suspect:
		line.Warn("cluster: " + member.State.String())
	case effect.From != member.State:
		line.Info("cluster: " + member.State.String())
	}
}

// publishControllerCount sends the number of controllers that share the executors to controllerCounts if it has
// changed. If the channel is full, the next effect of the membership view tries again.
func (c *clusterExtension) publishControllerCount() {
	count := c.view.ControllerCount()
	if count == c.lastControllerCount {
		return
	}
	select {
	case c.controllerCounts <- count:
		c.lastControllerCount = count
	default:
	}
}

// handleConsensusEffect logs an effect of the consensus group and acts on it. It runs on the transport's goroutine.
func (c *clusterExtension) handleConsensusEffect(now float64, effect consensus.Effect) {
	member := logrus.Fields{"member": effect.Name, "incarnation": effect.Incarnation, "term": effect.Term}
	log := c.log.unlimited()
	switch effect.Kind {
	case consensus.MemberLost:
		c.declaredLost.Add(1)
		log.WithFields(member).WithField("reason", effect.Reason).Warn("consensus: an incarnation is declared lost")
	case consensus.MemberAdmitted:
		c.log.rateLimited(now).WithFields(member).Info("consensus: an incarnation is admitted")
	case consensus.LeaderChanged:
		log.WithField("leader", effect.Name).Info("consensus: leader changed")
	case consensus.GroupFormed:
		log.Info("consensus: group formed")
	case consensus.LeaseChanged:
		if effect.Held {
			log.Info("consensus: this controller holds its lease")
		} else {
			log.Warn("consensus: this controller's lease is over")
		}
	case consensus.IncarnationRevoked:
		log.Warn("consensus: this incarnation has been declared lost; going on as another")
		c.transport.RaiseIncarnation(now)
	case consensus.VoterFailed:
		log.WithField("reason", effect.Reason).Error("consensus: this voter has failed; the others go on")
		c.diskFailing.Store(true)
		go c.transport.SetFlags(c.withVoterFlags(membership.Ready))
	}
}

// logCounters logs the counters of the membership view and the transport.
func (c *clusterExtension) logCounters() {
	if c == nil {
		return
	}
	counts := c.counts.Load()
	if counts == nil {
		return
	}
	c.extensions.log.WithFields(logrus.Fields{
		"probes":        counts.Probes,
		"unanswered":    counts.Unanswered,
		"indirect":      counts.Indirect,
		"refuted":       counts.Refuted,
		"condemned":     counts.ReportedDead,
		"stalls":        counts.Stalls,
		"sent":          counts.Sent,
		"sent_bytes":    counts.SentBytes,
		"received":      counts.Received,
		"foreign":       counts.Foreign,
		"newer":         counts.Newer,
		"malformed":     counts.Malformed,
		"exchanges":     counts.Exchanges,
		"merged":        counts.Merged,
		"crowded":       counts.RejectedForSpace,
		"dropped":       c.transport.Dropped.Load(),
		"calls_lost":    c.transport.CallsLost.Load(),
		"declared_lost": c.declaredLost.Load(),
	}).Info("cluster")
}
