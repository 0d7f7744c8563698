package chaostest

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"liftshift/internal/adminapi"
	"liftshift/internal/testservers"
)

// The outcomes of a request in the replies of controllers to clients.
const (
	outcomeHandled  = "handled"
	outcomeRejected = "denied"
	outcomeFailed   = "written_off"
	outcomeOpen     = "open"
	outcomeUnknown  = "unknown"

	outcomeUnreachable = "unreachable" // not a reply: the controller could not be dialled
)

// QueryOutcome asks a controller for the outcome of a request, by its idempotency key if it has one and by its ID
// otherwise.
func (cl *Cluster) QueryOutcome(index int, id, key string) string {
	client, err := testservers.Dial(cl.Controllers[index].ClientAddress, roundDialTimeout)
	if err != nil {
		return outcomeUnreachable
	}
	defer client.Close()
	params := map[string]any{"req": id}
	if key != "" {
		params = map[string]any{"opkey": key}
	}
	reply, err := client.Call("outcome", params, outcomeCallTimeout)
	if err != nil || reply.Code != 0 {
		return fmt.Sprint("no outcome: ", reply.Message, err)
	}
	return reply.Outcome
}

// agreedOutcome asks all running controllers for the outcome of a request until they agree on a final one, or until the
// deadline. If a client was told that its request is handled, other outcomes are not accepted as final: the controller
// that told it may have been partitioned and may not have spread the result yet.
func (cl *Cluster) agreedOutcome(request *roundRequest, deadline time.Time) string {
	for {
		var outcomes []string
		for k, c := range cl.Controllers {
			if c.Running() {
				outcomes = append(outcomes, cl.QueryOutcome(k, request.id, request.key))
			}
		}
		slices.Sort(outcomes)
		distinct := slices.Compact(outcomes)
		agreed := len(distinct) == 1 && distinct[0] != outcomeOpen
		outdated := request.handled() && distinct[0] != outcomeHandled
		if agreed && !outdated || time.Now().After(deadline) {
			if len(distinct) > 1 {
				return fmt.Sprint(distinct)
			}
			return distinct[0]
		}
		time.Sleep(outcomePollInterval)
	}
}

// describeCopies describes the copies that each controller keeps of a request, for the text of a violation.
func (cl *Cluster) describeCopies(name string) (text string) {
	for k, c := range cl.Controllers {
		reply, err := ask[adminapi.CopiesReply](cl, k, adminapi.OperationCopyExplain, adminapi.NameRequest{Name: name})
		if err != nil || len(reply.Copies) == 0 {
			text += c.Name + " nothing; "
			continue
		}
		for _, kept := range reply.Copies {
			text += fmt.Sprintf("%s %s of %s/%s sequence %d %s, %s, in flight %v; ", c.Name, kept.State, kept.Owner,
				kept.Incarnation, kept.Sequence, kept.Outcome, kept.RunState, kept.InFlightHere)
		}
	}
	return text
}

// roundCheck compares the results that the clients of a round received, and the outcomes that the controllers report
// afterwards, with the runs at the executors.
type roundCheck struct {
	cluster *Cluster
	round   *Round
	// runsBefore is the number of entries of the run log that precede the round.
	runsBefore int
	// faultAt is the time just before the fault.
	faultAt time.Time
	// ranBeforeFault holds the names of the requests of the round that ran before the fault.
	ranBeforeFault map[string]bool
	// runCounts maps the name of a request of the round to the number of its runs.
	runCounts map[string]int
}

// newRoundCheck returns a check of a round. It must be called just before the fault is injected.
func (cl *Cluster) newRoundCheck(round *Round, runsBefore int) *roundCheck {
	c := &roundCheck{
		cluster:        cl,
		round:          round,
		runsBefore:     runsBefore,
		faultAt:        time.Now(),
		ranBeforeFault: map[string]bool{},
		runCounts:      map[string]int{},
	}
	for _, run := range cl.RunLog.Runs()[runsBefore:] {
		c.ranBeforeFault[requestName(run.ID, run.IdempotencyKey)] = true
	}
	return c
}

// evaluate fills in the round from the runs, the results of its requests and the outcomes that the controllers report.
func (c *roundCheck) evaluate(requests []roundRequest) {
	for _, run := range c.cluster.RunLog.Runs()[c.runsBefore:] {
		c.runCounts[requestName(run.ID, run.IdempotencyKey)]++
		c.noteFirstAttempt(run)
	}
	start := time.Now()
	deadline := start.Add(cmp.Or(c.cluster.Config.OutcomeTimeout, outcomeTimeout))
	for k := range requests {
		r := &requests[k]
		c.countResults(r)
		if r.class == classIdempotent {
			continue
		}
		outcome := c.cluster.agreedOutcome(r, deadline)
		c.round.OutcomesAgreed = max(c.round.OutcomesAgreed, time.Since(start))
		c.round.Outcomes[r.class+" is "+outcome]++
		c.checkOutcome(r, outcome)
		if r.key != "" && r.result == ResultDisconnected && !c.ranBeforeFault[r.key] {
			c.round.UnsentAtFault++
			if c.runCounts[r.key] > 0 {
				c.round.SentLater++
			}
		}
	}
}

// noteFirstAttempt updates Round.FirstAttempt if the run is the earliest one of a keyed request that had not run
// before the fault.
func (c *roundCheck) noteFirstAttempt(run testservers.Run) {
	if run.IdempotencyKey == "" || c.ranBeforeFault[run.IdempotencyKey] || !run.At.After(c.faultAt) {
		return
	}
	after := run.At.Sub(c.faultAt)
	if c.round.FirstAttempt == 0 || after < c.round.FirstAttempt {
		c.round.FirstAttempt = after
	}
}

// countResults adds the results that the client of a request received to the counts of the round.
func (c *roundCheck) countResults(r *roundRequest) {
	round, name := c.round, r.name()
	runs := c.runCounts[name]
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
	round.RetriesNotHandled = append(round.RetriesNotHandled,
		fmt.Sprintf("%s: %s, then %s after %v, ran %d times, began before the fault: %v", name, r.result, r.retryResult,
			r.retryLatency.Round(time.Millisecond), runs, c.ranBeforeFault[name]))
}

// checkOutcome adds a violation to the round if a request has no final outcome, or one that contradicts its runs or its
// results.
func (c *roundCheck) checkOutcome(r *roundRequest, outcome string) {
	round, name := c.round, r.name()
	runs := c.runCounts[name]
	switch {
	case outcome == outcomeOpen:
		round.WithoutOutcome = append(round.WithoutOutcome, fmt.Sprintf("%s (%s, %s, %s) is open still: %s",
			name, r.class, r.result, r.retryResult, c.cluster.describeCopies(name)))
	case outcome == outcomeUnknown && runs > 0:
		round.WithoutOutcome = append(round.WithoutOutcome, fmt.Sprintf("%s (%s, %s, %s) ran, and nobody knows of it",
			name, r.class, r.result, r.retryResult))
	case contradicts(r, outcome, runs):
		round.Contradictions = append(round.Contradictions,
			fmt.Sprintf("%s (%s): its client saw %s and %s, the outcome is %s, it ran %d times", name, r.class,
				r.result, r.retryResult, outcome, runs))
	}
}

// contradicts reports whether an outcome contradicts the results that the client of a request received, or its runs.
func contradicts(r *roundRequest, outcome string, runs int) bool {
	lostResult := r.handled() && outcome != outcomeHandled
	ranThoughRejected := r.class == classNonIdempotent && r.result == ResultRejected && outcome == outcomeHandled
	rejectedThoughRan := outcome == outcomeRejected && runs > 0
	return lostResult || ranThoughRejected || rejectedThoughRan
}
