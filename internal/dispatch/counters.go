package dispatch

import (
	"maps"
	"math"
	"slices"

	"github.com/sirupsen/logrus"

	"liftshift/internal/invariant"
	"liftshift/scheduler"
)

// Counters counts requests, attempts and the loop's own times, which are milliseconds.
type Counters struct {
	Received, Succeeded, Rejected, Failed, ClientLeft uint64
	Overdue                                           uint64 // not answered by their deadline
	DuplicateIDs                                      uint64 // requests under an id that is known
	FromRecord                                        uint64 // answered from the record
	Stray                                             uint64 // events of attempts and health checks that had ended
	HealthChecks                                      uint64
	AttemptEnds                                       [scheduler.LocalFailure + 1]uint64

	items, steps               uint64
	queueWaitSum, queueWaitMax float64
	stepSum, stepMax           float64
	slowWaits, slowSteps       uint64
	heldAttempts               uint64 // attempts that left after an extension held them
	holdSum                    float64
}

// slowMS is a long wait in the queue or a long step: a quarter of the scheduler's timer interval.
const slowMS = 5

func (c *Counters) recordQueueWait(ms float64) {
	c.items++
	c.queueWaitSum += ms
	c.queueWaitMax = max(c.queueWaitMax, ms)
	if ms > slowMS {
		c.slowWaits++
	}
}

func (c *Counters) recordStep(ms float64) {
	c.steps++
	c.stepSum += ms
	c.stepMax = max(c.stepMax, ms)
	if ms > slowMS {
		c.slowSteps++
	}
}

// recordRefusal counts a request that the scheduler rejects or fails; one whose client has most likely left counts as left.
func (c *Counters) recordRefusal(kind scheduler.ActionKind, clientLeft bool) {
	switch {
	case clientLeft:
		c.ClientLeft++
	case kind == scheduler.Reject:
		c.Rejected++
	default:
		c.Failed++
	}
}

// resetTimes starts the times anew.
func (c *Counters) resetTimes() {
	c.items, c.steps = 0, 0
	c.queueWaitSum, c.queueWaitMax = 0, 0
	c.stepSum, c.stepMax = 0, 0
	c.slowWaits, c.slowSteps = 0, 0
}

// outcomeNames are the log's names of attempts by outcome.
var outcomeNames = [...]string{
	scheduler.Succeeded:      "succeeded",
	scheduler.Errored:        "errored",
	scheduler.Overloaded:     "overloaded",
	scheduler.TimedOut:       "timed_out",
	scheduler.ConnectFailed:  "connect_failed",
	scheduler.ConnectionLost: "connection_lost",
	scheduler.Cancelled:      "cancelled",
	scheduler.NeverSent:      "never_sent",
	scheduler.LocalFailure:   "local_failure",
}

// logCounters logs the counters; the times start anew with each line.
func (l *Loop) logCounters(message string) {
	c := &l.counters
	fields := logrus.Fields{
		"received":          c.Received,
		"succeeded":         c.Succeeded,
		"rejected":          c.Rejected,
		"failed":            c.Failed,
		"client_left":       c.ClientLeft,
		"overdue":           c.Overdue,
		"duplicate_ids":     c.DuplicateIDs,
		"from_record":       c.FromRecord,
		"stray":             c.Stray,
		"health_checks":     c.HealthChecks,
		"open":              l.OpenRequests(),
		"closed_ids":        len(l.closedIDs),
		"queue":             len(l.queue),
		"queue_wait_ms":     c.queueWaitSum / float64(max(1, c.items)),
		"queue_wait_max_ms": c.queueWaitMax,
		"slow_waits":        c.slowWaits,
		"step_ms":           c.stepSum / float64(max(1, c.steps)),
		"step_max_ms":       c.stepMax,
		"slow_steps":        c.slowSteps,
		"steps":             c.steps,
	}
	if c.heldAttempts > 0 {
		fields["held_attempts"] = c.heldAttempts
		fields["hold_ms"] = c.holdSum / float64(c.heldAttempts)
	}
	for outcome, n := range c.AttemptEnds {
		if n > 0 {
			fields["attempts_"+outcomeNames[outcome]] = n
		}
	}
	violations := invariant.Violations()
	for _, claim := range slices.Sorted(maps.Keys(violations)) {
		fields["violated: "+claim] = violations[claim]
	}
	l.log.WithFields(fields).Info(message)
	c.resetTimes()
}

// stateReporter and estimateReporter are what a scheduler.Policy may have besides. They are found by type assertion, as a
// policy need not have them.
type (
	stateReporter interface {
		ExecutorViews(now float64, out []scheduler.ExecutorView) []scheduler.ExecutorView
	}
	estimateReporter interface {
		Estimates(out []scheduler.Estimate) []scheduler.Estimate
	}
)

// The scheduler has both: a method renamed on one side only must not switch them off unseen.
var (
	_ stateReporter    = (*scheduler.Scheduler)(nil)
	_ estimateReporter = (*scheduler.Scheduler)(nil)
)

// schedulerState returns the scheduler's state of executors and what it has learnt, in slices that the next call reuses.
func (l *Loop) schedulerState() ([]scheduler.ExecutorView, []scheduler.Estimate) {
	if reporter, ok := l.policy.(stateReporter); ok {
		l.executorViews = reporter.ExecutorViews(l.clock.Now(), l.executorViews[:0])
	}
	if reporter, ok := l.policy.(estimateReporter); ok {
		l.estimates = reporter.Estimates(l.estimates[:0])
	}
	return l.executorViews, l.estimates
}

// maxExecutorLines is how many executors are logged at a time: the log must not grow with the fleet.
const maxExecutorLines = 100

// logExecutorStates logs the scheduler's view of each executor in use beside the state of its connections. The two may differ by
// ends of attempts that are in the queue, no further.
func (l *Loop) logExecutorStates() {
	reporter, ok := l.policy.(stateReporter)
	if !ok {
		return
	}
	lines := 0
	for _, view := range reporter.ExecutorViews(l.clock.Now(), nil) {
		state := l.Executors.ConnectionState(view.Executor)
		if isUnremarkable(view, state) {
			continue
		}
		lines++
		if lines > maxExecutorLines {
			l.log.WithField("logged", maxExecutorLines).Info("executor: there are more")
			return
		}
		l.log.WithFields(logrus.Fields{
			"executor":             state.Name,
			"id":                   view.Executor,
			"in_flight":            view.InFlight,
			"connection_attempts":  state.Attempts,
			"connections":          state.Connections,
			"idle_ms":              math.Round(state.IdleMS),
			"threads":              view.Threads,
			"consecutive_failures": view.ConsecutiveFailures,
			"availability":         view.Availability,
			"ejected":              view.Ejected,
			"warming_up":           view.WarmingUp,
			"since_sign_ms":        math.Round(view.SinceSignMS),
			"since_report_ms":      math.Round(view.SinceReportMS),
		}).Info("executor")
	}
}

// isUnremarkable returns whether an executor is unused and nothing is wrong with it.
func isUnremarkable(view scheduler.ExecutorView, state ConnectionState) bool {
	inUse := view.InFlight != 0 || state.Attempts != 0 || state.Connections != 0
	return !inUse && view.ConsecutiveFailures == 0 && !view.Ejected && !view.WarmingUp
}
