package clustersim

import (
	"slices"

	"liftshift/internal/consensus"
	"liftshift/internal/handoff"
)

const (
	batchDuplicates  = 0.03  // share of batches that arrive twice
	duplicateDelayMS = 400.0 // the largest delay of the second: a datagram's timeout, and a call's way
)

// stepHandoff hands an event to a node's manager and carries out the effects. It returns the manager's verdict on the event.
func (c *HandoffCluster) stepHandoff(k int, ev *handoff.Event) handoff.EffectKind {
	ev.LeaseHeld = c.leaseHeld(k)
	now := c.LocalTime(k)
	effects := slices.Clone(c.HandoffNodes[k].Manager.Step(now, ev))
	encoded := make([][]byte, len(effects)) // before any effect is carried out, as the transport does it
	for i, e := range effects {
		if e.Kind == handoff.SendBatch {
			encoded[i] = e.Batch.Append(nil, now)
		}
	}
	verdict := handoff.Admit
	for i, e := range effects {
		switch e.Kind {
		case handoff.HoldAttempt, handoff.BlockAttempt, handoff.WithholdAnswer:
			verdict = e.Kind
		case handoff.Admit:
			c.startWaiting(k, ev.ID, false)
		case handoff.SendBatch:
			c.sendBatch(k, e, encoded[i])
		case handoff.ReplyBatch:
			c.replyBatch(k, e)
		case handoff.Propose:
			c.propose(k, consensus.PlacementProposal(consensus.EntryKind(e.Proposal), e.Claim, e.Version))
		case handoff.RefreshPlacement:
			c.refreshPlacement(k)
		default:
			c.applyRequestEffect(k, e)
		}
	}
	return verdict
}

// applyRequestEffect carries out an effect on one request.
func (c *HandoffCluster) applyRequestEffect(k int, e handoff.Effect) {
	own := c.HandoffNodes[k]
	switch e.Kind {
	case handoff.Resume:
		c.startWaiting(k, e.ID, e.Prior.At != 0)
	case handoff.AnswerSuspended:
		if r := own.waiting[e.ID]; r != nil {
			delete(own.waiting, e.ID)
			c.answerClient(r, e.Outcome)
		}
	case handoff.DeliverAnswer:
		if r := own.open[e.ID]; r != nil {
			delete(own.open, e.ID)
			c.answerClient(r, e.Outcome)
		}
	case handoff.ReleaseAttempt:
		if r := own.open[e.ID]; r != nil {
			c.releaseAttempt(k, r)
		}
	case handoff.FailAttempt:
		if r := own.open[e.ID]; r != nil && r.outstanding && !r.sent {
			r.outstanding = false
			c.stepHandoff(k, &handoff.Event{Kind: handoff.AttemptEnded, ID: r.id, Attempt: e.Attempt, NeverRan: true})
			c.finishRequest(k, r, r.unsentOutcome())
		}
	case handoff.Adopt:
		if own.open[e.Copy.ID] == nil {
			r := &request{id: e.Copy.ID, key: e.Copy.IdempotencyKey, class: e.Copy.Class, deadline: e.Copy.Deadline}
			own.waiting[r.id] = r
			c.startRequest(k, r, e.Prior.At != 0)
		}
	case handoff.CancelLocal:
		delete(own.open, e.ID)
	}
}

// propose hands a proposal to every node: the leader takes it up.
func (c *HandoffCluster) propose(k int, data []byte) {
	for to := range c.Nodes {
		c.call(k, to, func() {
			c.stepConsensus(to, consensus.Event{Kind: consensus.ProposalReceived, Data: data})
		}, nil)
	}
}

// replyBatch hands a batch to what waits for the reply of a received one.
func (c *HandoffCluster) replyBatch(k int, e handoff.Effect) {
	own := c.HandoffNodes[k]
	if reply := own.replies[e.Token]; reply != nil {
		delete(own.replies, e.Token)
		reply(e.Batch)
	}
}

// sendBatch carries a batch in its wire format, and the reply. A reply that is late or lost is lost to the sender; the receiver may have
// acted on the batch all the same.
func (c *HandoffCluster) sendBatch(k int, e handoff.Effect, data []byte) {
	to, run := c.nodeNamed(e.To), c.Nodes[k].run
	failed := func() {
		c.whenAwake(k, func() {
			if c.Nodes[k].run == run {
				c.stepHandoff(k, &handoff.Event{Kind: handoff.BatchAnswered, To: e.To, Sent: e.Batch})
			}
		})
	}
	if to < 0 {
		failed()
		return
	}
	replied := func(data []byte) {
		if c.Nodes[k].run != run {
			return
		}
		if batch := c.readBatch(k, data); batch != nil {
			c.stepHandoff(k, &handoff.Event{Kind: handoff.BatchAnswered, To: e.To, Sent: e.Batch, Batch: batch})
		}
	}
	arrived := func() {
		batch := c.readBatch(to, data)
		if batch == nil {
			return
		}
		receiver := c.HandoffNodes[to]
		receiver.lastToken++
		receiver.replies[receiver.lastToken] = func(reply *handoff.Batch) {
			data := reply.Append(nil, c.LocalTime(to))
			c.call(to, k, func() { replied(data) }, nil)
		}
		c.stepHandoff(to, &handoff.Event{Kind: handoff.BatchReceived, Batch: batch, Token: receiver.lastToken})
	}
	c.call(k, to, arrived, failed)
	if c.random.Float64() < batchDuplicates {
		c.Schedule(c.Now+duplicateDelayMS*c.random.Float64(), func() { c.call(k, to, arrived, nil) })
	}
}

// readBatch decodes a batch at its receiver. One that can't be read is a violation, and nil.
func (c *HandoffCluster) readBatch(k int, data []byte) *handoff.Batch {
	batch, err := handoff.ReadBatch(data, c.LocalTime(k))
	if err != nil {
		c.Violations = append(c.Violations, violation(InvalidMessage, "%v", err))
		return nil
	}
	return batch
}
