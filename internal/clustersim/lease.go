package clustersim

import "liftshift/internal/consensus"

// requestLease carries a request for a lease to the node that grants, and its reply back.
func (c *ConsensusCluster) requestLease(k, run, to int, e consensus.Effect) {
	calledAt := c.Now
	failed := func() {
		c.deliverConsensus(k, run, consensus.Event{Kind: consensus.LeaseReplied, Token: e.Token, Failed: true})
	}
	if to < 0 {
		failed()
		return
	}
	replied := func(reply consensus.LeaseReply) {
		c.recordReply(k, &e, reply, calledAt)
		c.deliverConsensus(k, run, consensus.Event{Kind: consensus.LeaseReplied, Token: e.Token, Reply: reply})
	}
	c.call(k, to, func() {
		c.lastToken++
		token := c.lastToken
		c.answers[token] = func(reply consensus.LeaseReply) {
			c.call(to, k, func() { replied(reply) }, failed)
		}
		c.stepConsensus(to, consensus.Event{Kind: consensus.LeaseRequested, Token: token, Name: e.Name, Incarnation: e.Incarnation})
	}, failed)
}

// recordReply adds a reply that decides something to the operations.
func (c *ConsensusCluster) recordReply(k int, e *consensus.Effect, reply consensus.LeaseReply, calledAt float64) {
	o := Operation{Node: k, Member: e.Name, Incarnation: e.Incarnation, CalledAt: calledAt, ReturnedAt: c.Now}
	switch reply.Verdict {
	case consensus.Granted:
		o.Kind = LeaseGranted
	case consensus.IncarnationLost:
		o.Kind = LeaseRefused
	default:
		return
	}
	c.Operations = append(c.Operations, o)
}

// declareLost records that an incarnation is declared lost, and checks that it does not act on its lease.
func (c *ConsensusCluster) declareLost(subject incarnation) {
	if !c.lost[subject] {
		c.lost[subject] = true
		c.DeclaredLost++
		if o, pending := c.pending[subject]; pending {
			o.ReturnedAt = c.Now
			c.Operations = append(c.Operations, o)
			delete(c.pending, subject)
		}
	}
	k := c.nodeNamed(subject.member)
	if k < 0 || !c.Nodes[k].Up || c.Now < c.Nodes[k].stalledUntil { // one that stands still looks at its clock before anything leaves
		return
	}
	own := c.ConsensusNodes[k]
	if own.incarnation == subject.number && own.Group.LeaseHeld(c.LocalTime(k)) {
		c.Violations = append(c.Violations, violation(LeaseAfterLoss, "%.0f: %s holds the lease of incarnation %d, which is declared lost", c.Now, subject.member, subject.number))
	}
}
