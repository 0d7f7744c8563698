package clustersim

import "liftshift/internal/consensus"

// requestLease sends a lease request to the node that grants leases, and delivers its reply.
func (c *ConsensusCluster) requestLease(nodeIndex, generation, to int, effect consensus.Effect) {
	calledAt := c.Now
	failed := func() {
		c.deliverConsensus(nodeIndex, generation,
			consensus.Event{Kind: consensus.LeaseReplied, Token: effect.Token, Failed: true})
	}
	if to < 0 {
		failed()
		return
	}
	replied := func(reply consensus.LeaseReply) {
		c.recordReply(nodeIndex, &effect, reply, calledAt)
		c.deliverConsensus(nodeIndex, generation,
			consensus.Event{Kind: consensus.LeaseReplied, Token: effect.Token, Reply: reply})
	}
	c.sendCall(nodeIndex, to, func() {
		c.lastToken++
		token := c.lastToken
		c.leaseReplyHandlers[token] = func(reply consensus.LeaseReply) {
			c.sendCall(to, nodeIndex, func() { replied(reply) }, failed)
		}
		c.stepConsensus(to, consensus.Event{
			Kind: consensus.LeaseRequested, Token: token, Name: effect.Name, Incarnation: effect.Incarnation,
		})
	}, failed)
}

// recordReply records a lease reply as a completed operation if it grants a lease or reports the incarnation as lost.
func (c *ConsensusCluster) recordReply(
	nodeIndex int, effect *consensus.Effect, reply consensus.LeaseReply, calledAt float64,
) {
	operation := Operation{Node: nodeIndex, Member: effect.Name, Incarnation: effect.Incarnation, CalledAt: calledAt,
		ReturnedAt: c.Now}
	switch reply.Verdict {
	case consensus.Granted:
		operation.Kind = LeaseGranted
	case consensus.IncarnationLost:
		operation.Kind = LeaseRefused
	default:
		return
	}
	c.Operations = append(c.Operations, operation)
}

// declareLost records that an incarnation is declared lost, and checks that it no longer holds its lease.
func (c *ConsensusCluster) declareLost(subject memberIncarnation) {
	if !c.lostIncarnations[subject] {
		c.lostIncarnations[subject] = true
		c.DeclaredLost++
		if operation, pending := c.pendingDeclarations[subject]; pending {
			operation.ReturnedAt = c.Now
			c.Operations = append(c.Operations, operation)
			delete(c.pendingDeclarations, subject)
		}
	}
	nodeIndex := c.nodeIndexOf(subject.member)
	if nodeIndex < 0 || !c.Nodes[nodeIndex].Up {
		return
	}
	if c.Now < c.Nodes[nodeIndex].stalledUntil { // a stalled node checks its clock before it sends anything
		return
	}
	consensusNode := c.ConsensusNodes[nodeIndex]
	if consensusNode.incarnation == subject.number && consensusNode.Group.LeaseHeld(c.LocalTime(nodeIndex)) {
		c.Violations = append(c.Violations, newViolation(LeaseAfterLoss,
			"at %.0f ms: member %s holds the lease of incarnation %d, which is declared lost",
			c.Now, subject.member, subject.number))
	}
}
