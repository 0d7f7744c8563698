package clustersim

import (
	"slices"

	"liftshift/internal/consensus"
	"liftshift/internal/handoff"
)

const (
	batchDuplication    = 0.03  // probability that a batch arrives twice
	maxDuplicateDelayMS = 400.0 // largest delay of the duplicate: a datagram timeout and the network delay of a call
)

// stepHandoff passes an event to a node's handoff manager and applies the effects. It returns the effect that decides
// on the request or attempt of the event: HoldAttempt, BlockAttempt, PostponeAttempt, WithholdAnswer, FailAnswer, or
// Admit if there is none of them.
func (c *HandoffCluster) stepHandoff(nodeIndex int, event *handoff.Event) handoff.EffectKind {
	event.LeaseHeld = c.leaseHeld(nodeIndex)
	now := c.LocalTime(nodeIndex)
	effects := slices.Clone(c.HandoffNodes[nodeIndex].Manager.Step(now, event))
	encoded := make([][]byte, len(effects)) // encoded before any effect is applied, as the real transport does
	for i, effect := range effects {
		if effect.Kind == handoff.SendBatch {
			encoded[i] = effect.Batch.Append(nil, now)
		}
	}
	verdict := handoff.Admit
	for i, effect := range effects {
		switch effect.Kind {
		case handoff.HoldAttempt, handoff.BlockAttempt, handoff.PostponeAttempt, handoff.WithholdAnswer,
			handoff.FailAnswer:
			verdict = effect.Kind
		case handoff.Admit:
			c.startWaitingRequest(nodeIndex, event.ID, false)
		case handoff.SendBatch:
			c.sendBatch(nodeIndex, effect, encoded[i])
		case handoff.ReplyBatch:
			c.replyBatch(nodeIndex, effect)
		case handoff.Propose:
			c.propose(nodeIndex, consensus.PlacementProposal(consensus.EntryKind(effect.Proposal), effect.Claim, effect.Version))
		case handoff.RefreshPlacement:
			c.refreshPlacement(nodeIndex)
		default:
			c.applyRequestEffect(nodeIndex, effect)
		}
	}
	return verdict
}

// applyRequestEffect applies an effect that concerns a single request.
func (c *HandoffCluster) applyRequestEffect(nodeIndex int, effect handoff.Effect) {
	handoffNode := c.HandoffNodes[nodeIndex]
	switch effect.Kind {
	case handoff.Resume:
		c.startWaitingRequest(nodeIndex, effect.ID, effect.Prior.At != 0)
	case handoff.AnswerSuspended:
		if request := handoffNode.waiting[effect.ID]; request != nil {
			delete(handoffNode.waiting, effect.ID)
			c.answerClient(request, effect.Outcome)
		}
	case handoff.DeliverAnswer:
		if request := handoffNode.open[effect.ID]; request != nil {
			delete(handoffNode.open, effect.ID)
			c.answerClient(request, effect.Outcome)
		}
	case handoff.ReleaseAttempt:
		if request := handoffNode.open[effect.ID]; request != nil {
			c.releaseAttempt(nodeIndex, request)
		}
	case handoff.FailAttempt:
		if request := handoffNode.open[effect.ID]; request != nil && request.outstanding && !request.sent {
			request.outstanding = false
			c.stepHandoff(nodeIndex, &handoff.Event{
				Kind: handoff.AttemptEnded, ID: request.id, Attempt: effect.Attempt, NeverRan: true,
			})
			c.finishRequest(nodeIndex, request, request.unsentOutcome())
		}
	case handoff.Adopt:
		if handoffNode.open[effect.Copy.ID] == nil {
			request := &nodeRequest{
				id:       effect.Copy.ID,
				key:      effect.Copy.IdempotencyKey,
				class:    effect.Copy.Class,
				deadline: effect.Copy.Deadline,
			}
			handoffNode.waiting[request.id] = request
			c.startRequest(nodeIndex, request, effect.Prior.At != 0)
		}
	case handoff.CancelLocal:
		delete(handoffNode.open, effect.ID)
	}
}

// propose sends a proposal to every node's consensus group. Only the leader acts on it.
func (c *HandoffCluster) propose(nodeIndex int, data []byte) {
	for to := range c.Nodes {
		c.sendCall(nodeIndex, to, func() {
			c.stepConsensus(to, consensus.Event{Kind: consensus.ProposalReceived, Data: data})
		}, nil)
	}
}

// replyBatch sends a batch as the reply to a received batch, which its token identifies.
func (c *HandoffCluster) replyBatch(nodeIndex int, effect handoff.Effect) {
	handoffNode := c.HandoffNodes[nodeIndex]
	if reply := handoffNode.batchReplyHandlers[effect.Token]; reply != nil {
		delete(handoffNode.batchReplyHandlers, effect.Token)
		reply(effect.Batch)
	}
}

// sendBatch sends a batch in its wire format to another node and delivers the reply. If the reply is lost, the sender
// does not learn that the receiver may have acted on the batch.
func (c *HandoffCluster) sendBatch(nodeIndex int, effect handoff.Effect, data []byte) {
	to, generation := c.nodeIndexOf(effect.To), c.Nodes[nodeIndex].generation
	failed := func() {
		c.afterStall(nodeIndex, func() {
			if c.Nodes[nodeIndex].generation == generation {
				c.stepHandoff(nodeIndex, &handoff.Event{Kind: handoff.BatchAnswered, To: effect.To, Sent: effect.Batch})
			}
		})
	}
	if to < 0 {
		failed()
		return
	}
	replied := func(data []byte) {
		if c.Nodes[nodeIndex].generation != generation {
			return
		}
		if batch := c.readBatch(nodeIndex, data); batch != nil {
			c.stepHandoff(nodeIndex, &handoff.Event{
				Kind: handoff.BatchAnswered, To: effect.To, Sent: effect.Batch, Batch: batch,
			})
		}
	}
	arrived := func() {
		batch := c.readBatch(to, data)
		if batch == nil {
			return
		}
		receiver := c.HandoffNodes[to]
		receiver.lastToken++
		receiver.batchReplyHandlers[receiver.lastToken] = func(reply *handoff.Batch) {
			data := reply.Append(nil, c.LocalTime(to))
			c.sendCall(to, nodeIndex, func() { replied(data) }, nil)
		}
		c.stepHandoff(to, &handoff.Event{Kind: handoff.BatchReceived, Batch: batch, Token: receiver.lastToken})
	}
	c.sendCall(nodeIndex, to, arrived, failed)
	if c.random.Float64() < batchDuplication {
		c.Schedule(c.Now+maxDuplicateDelayMS*c.random.Float64(), func() { c.sendCall(nodeIndex, to, arrived, nil) })
	}
}

// readBatch decodes a batch by the receiver's clock. It records a violation and returns nil if the batch is
// malformed.
func (c *HandoffCluster) readBatch(nodeIndex int, data []byte) *handoff.Batch {
	batch, err := handoff.ReadBatch(data, c.LocalTime(nodeIndex))
	if err != nil {
		c.Violations = append(c.Violations, newViolation(InvalidMessage, "batch received by node %d: %v", nodeIndex, err))
		return nil
	}
	return batch
}
