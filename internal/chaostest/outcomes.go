package chaostest

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"liftshift/internal/adminapi"
	"liftshift/internal/testservers"
)

// The outcomes of a request, as controllers tell them to clients.
const (
	outcomeHandled  = "handled"
	outcomeRejected = "denied"
	outcomeFailed   = "written_off"
	outcomeOpen     = "open"
	outcomeUnknown  = "unknown"

	outcomeUnreachable = "unreachable" // the controller could not be dialled
)

// QueryOutcome asks a controller for the outcome of a request, by its idempotency key if it has one.
func (cl *Cluster) QueryOutcome(k int, id, key string) string {
	c, err := testservers.Dial(cl.Controllers[k].ClientAddress, roundDialTimeout)
	if err != nil {
		return outcomeUnreachable
	}
	defer c.Close()
	params := map[string]any{"req": id}
	if key != "" {
		params = map[string]any{"opkey": key}
	}
	answer, err := c.Call("outcome", params, outcomeCallTimeout)
	if err != nil || answer.Code != 0 {
		return fmt.Sprint("no outcome: ", answer.Message, err)
	}
	return answer.Outcome
}

// agreedOutcome asks all controllers for the outcome of a request until they agree that it is over. Where the client got its result from a
// controller that was partitioned, that is once the controller has spread it.
func (cl *Cluster) agreedOutcome(r *roundRequest, until time.Time) string {
	for {
		var outcomes []string
		for k, c := range cl.Controllers {
			if c.Running() {
				outcomes = append(outcomes, cl.QueryOutcome(k, r.id, r.key))
			}
		}
		slices.Sort(outcomes)
		distinct := slices.Compact(outcomes)
		agreed := len(distinct) == 1 && distinct[0] != outcomeOpen
		outdated := r.handled() && distinct[0] != outcomeHandled
		if agreed && !outdated || time.Now().After(until) {
			if len(distinct) > 1 {
				return fmt.Sprint(distinct)
			}
			return distinct[0]
		}
		time.Sleep(outcomePoll)
	}
}

// describeCopies returns what each controller has of a request, for a violation.
func (cl *Cluster) describeCopies(name string) (text string) {
	for k, c := range cl.Controllers {
		reply, err := ask[adminapi.CopiesReply](cl, k, adminapi.OperationCopyExplain, adminapi.NameRequest{Name: name})
		if err != nil || len(reply.Copies) == 0 {
			text += c.Name + " nothing; "
			continue
		}
		for _, x := range reply.Copies {
			text += fmt.Sprintf("%s %s of %s/%s sequence %d %s in flight %v; ", c.Name, x.State, x.Owner, x.Incarnation, x.Sequence, x.Outcome, x.InFlightHere)
		}
	}
	return text
}

// roundCheck compares what clients of a round saw, and what controllers tell now, with what ran.
type roundCheck struct {
	cluster   *Cluster
	round     *Round
	ranBefore int             // runs before the round
	faultAt   time.Time       // just before the fault
	early     map[string]bool // requests of the round that ran before the fault
	runs      map[string]int  // of the round, by request
}

// newRoundCheck returns a check of a round whose fault comes next.
func (cl *Cluster) newRoundCheck(round *Round, ranBefore int) *roundCheck {
	c := &roundCheck{cluster: cl, round: round, ranBefore: ranBefore, faultAt: time.Now(), early: map[string]bool{}, runs: map[string]int{}}
	for _, run := range cl.RunLog.Runs()[ranBefore:] {
		c.early[requestName(run.ID, run.IdempotencyKey)] = true
	}
	return c
}

// run fills in the round.
func (c *roundCheck) run(requests []roundRequest) {
	for _, run := range c.cluster.RunLog.Runs()[c.ranBefore:] {
		c.runs[requestName(run.ID, run.IdempotencyKey)]++
		c.noteFirstAttempt(run)
	}
	start := time.Now()
	until := start.Add(cmp.Or(c.cluster.Config.OutcomeTimeout, outcomeTimeout))
	for k := range requests {
		r := &requests[k]
		c.countResults(r)
		if r.class == classIdempotent {
			continue
		}
		outcome := c.cluster.agreedOutcome(r, until)
		c.round.OutcomesAgreed = max(c.round.OutcomesAgreed, time.Since(start))
		c.round.Outcomes[r.class+" is "+outcome]++
		c.checkOutcome(r, outcome)
		if r.key != "" && r.result == ResultDisconnected && !c.early[r.key] {
			c.round.UnsentAtFault++
			if c.runs[r.key] > 0 {
				c.round.SentLater++
			}
		}
	}
}

// noteFirstAttempt notes the first run of a keyed request that had not run before the fault.
func (c *roundCheck) noteFirstAttempt(run testservers.Run) {
	if run.IdempotencyKey == "" || c.early[run.IdempotencyKey] || !run.At.After(c.faultAt) {
		return
	}
	after := run.At.Sub(c.faultAt)
	if c.round.FirstAttempt == 0 || after < c.round.FirstAttempt {
		c.round.FirstAttempt = after
	}
}

// countResults counts how a request ended for its client.
func (c *roundCheck) countResults(r *roundRequest) {
	round, name := c.round, r.name()
	runs := c.runs[name]
	if r.class != classIdempotent && runs > 1 {
		round.RanTwice = append(round.RanTwice, fmt.Sprintf("%s ran %d times", name, runs))
	}
	if r.result == ResultDisconnected {
		round.Disconnected++
	}
	round.Outcomes[fmt.Sprintf("%s %s", r.class, r.result)]++
	if r.retryResult == "" {
		return
	}
	round.Retried++
	round.Outcomes[fmt.Sprintf("%s then %s", r.class, r.retryResult)]++
	if r.retryResult == ResultHandled {
		round.RetriesHandled++
		return
	}
	round.RetriesNotHandled = append(round.RetriesNotHandled, fmt.Sprintf("%s: %s, then %s after %v, ran %d times, began before the fault: %v",
		name, r.result, r.retryResult, r.retryLatency.Round(time.Millisecond), runs, c.early[name]))
}

// checkOutcome compares the outcome of a request with its runs and with what its client saw.
func (c *roundCheck) checkOutcome(r *roundRequest, outcome string) {
	round, name := c.round, r.name()
	runs := c.runs[name]
	switch {
	case outcome == outcomeOpen:
		round.WithoutOutcome = append(round.WithoutOutcome, fmt.Sprintf("%s (%s, %s, %s) is open still: %s", name, r.class, r.result, r.retryResult,
			c.cluster.describeCopies(name)))
	case outcome == outcomeUnknown && runs > 0:
		round.WithoutOutcome = append(round.WithoutOutcome, fmt.Sprintf("%s (%s, %s, %s) ran, and nobody knows of it", name, r.class, r.result, r.retryResult))
	case contradicts(r, outcome, runs):
		round.Contradictions = append(round.Contradictions, fmt.Sprintf("%s (%s): its client saw %s and %s, the outcome is %s, it ran %d times", name, r.class,
			r.result, r.retryResult, outcome, runs))
	}
}

// contradicts reports whether an outcome contradicts what the client of a request saw, or its runs.
func contradicts(r *roundRequest, outcome string, runs int) bool {
	lostResult := r.handled() && outcome != outcomeHandled
	ranThoughRejected := r.class == classNonIdempotent && r.result == ResultRejected && outcome == outcomeHandled
	rejectedThoughRan := outcome == outcomeRejected && runs > 0
	return lostResult || ranThoughRejected || rejectedThoughRan
}
