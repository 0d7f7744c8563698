package dispatch

import (
	"maps"
	"math"
	"slices"

	"github.com/sirupsen/logrus"

	"liftshift/internal/invariant"
	"liftshift/scheduler"
)

// Counters counts requests and attempts since the start of the loop. It also sums the times that queue items wait and
// that scheduler steps take since the last log line; these times are milliseconds.
type Counters struct {
	Received, Succeeded, Rejected, Failed, ClientLeft uint64

	Overdue      uint64                             // requests not answered by their deadline
	DuplicateIDs uint64                             // requests with an id that was known already
	NoRoom       uint64                             // requests rejected because too many ids are remembered
	FromRecord   uint64                             // requests answered by an extension, without an attempt
	Stray        uint64                             // events of attempts or health checks that had ended before
	HealthChecks uint64                             // health checks that were started
	AttemptEnds  [scheduler.LocalFailure + 1]uint64 // ended attempts by outcome

	items, steps                   uint64
	queueWaitSumMS, queueWaitMaxMS float64
	stepSumMS, stepMaxMS           float64
	slowWaits, slowSteps           uint64
	heldAttempts                   uint64 // attempts that all extensions released after holding them
	holdSumMS                      float64
}

// slowThresholdMS is the duration above which a wait in the queue or a scheduler step counts as slow: a quarter of the
// scheduler's timer interval.
const slowThresholdMS = 5

func (c *Counters) recordQueueWait(waitMS float64) {
	c.items++
	c.queueWaitSumMS += waitMS
	c.queueWaitMaxMS = max(c.queueWaitMaxMS, waitMS)
	if waitMS > slowThresholdMS {
		c.slowWaits++
	}
}

func (c *Counters) recordStep(durationMS float64) {
	c.steps++
	c.stepSumMS += durationMS
	c.stepMaxMS = max(c.stepMaxMS, durationMS)
	if durationMS > slowThresholdMS {
		c.slowSteps++
	}
}

// recordRefusal counts a request that the scheduler rejects or fails. If its client has probably left, the request
// counts under ClientLeft instead.
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

// resetTimes clears the wait and step times and what is counted along with them.
func (c *Counters) resetTimes() {
	c.items, c.steps = 0, 0
	c.queueWaitSumMS, c.queueWaitMaxMS = 0, 0
	c.stepSumMS, c.stepMaxMS = 0, 0
	c.slowWaits, c.slowSteps = 0, 0
}

// outcomeNames are the suffixes of the attempt counters' log fields by outcome.
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

// logCounters logs the counters and then clears the times, which cover the interval between two log lines.
func (l *Loop) logCounters(message string) {
	counters := &l.counters
	fields := logrus.Fields{
		"received":          counters.Received,
		"succeeded":         counters.Succeeded,
		"rejected":          counters.Rejected,
		"failed":            counters.Failed,
		"client_left":       counters.ClientLeft,
		"overdue":           counters.Overdue,
		"duplicate_ids":     counters.DuplicateIDs,
		"no_room":           counters.NoRoom,
		"from_record":       counters.FromRecord,
		"stray":             counters.Stray,
		"health_checks":     counters.HealthChecks,
		"open":              l.OpenRequests(),
		"closed_ids":        len(l.closedIDs),
		"queue":             len(l.queue),
		"queue_wait_ms":     counters.queueWaitSumMS / float64(max(1, counters.items)),
		"queue_wait_max_ms": counters.queueWaitMaxMS,
		"slow_waits":        counters.slowWaits,
		"step_ms":           counters.stepSumMS / float64(max(1, counters.steps)),
		"step_max_ms":       counters.stepMaxMS,
		"slow_steps":        counters.slowSteps,
		"steps":             counters.steps,
	}
	if counters.heldAttempts > 0 {
		fields["held_attempts"] = counters.heldAttempts
		fields["hold_ms"] = counters.holdSumMS / float64(counters.heldAttempts)
	}
	for outcome, count := range counters.AttemptEnds {
		if count > 0 {
			fields["attempts_"+outcomeNames[outcome]] = count
		}
	}
	violations := invariant.Violations()
	for _, description := range slices.Sorted(maps.Keys(violations)) {
		fields["violated: "+description] = violations[description]
	}
	l.log.WithFields(fields).Info(message)
	counters.resetTimes()
}

// stateReporter and estimateReporter are optional interfaces of a scheduler.Policy, detected by type assertion.
type (
	stateReporter interface {
		ExecutorViews(now float64, out []scheduler.ExecutorView) []scheduler.ExecutorView
	}
	estimateReporter interface {
		Estimates(out []scheduler.Estimate) []scheduler.Estimate
	}
)

// Ensures at compile time that the scheduler implements both, because a failed type assertion would go unnoticed.
var (
	_ stateReporter    = (*scheduler.Scheduler)(nil)
	_ estimateReporter = (*scheduler.Scheduler)(nil)
)

// schedulerState returns the scheduler's view of the executors and its estimates, in slices that the next call reuses.
func (l *Loop) schedulerState() ([]scheduler.ExecutorView, []scheduler.Estimate) {
	if reporter, ok := l.policy.(stateReporter); ok {
		l.executorViews = reporter.ExecutorViews(l.clock.Now(), l.executorViews[:0])
	}
	if reporter, ok := l.policy.(estimateReporter); ok {
		l.estimates = reporter.Estimates(l.estimates[:0])
	}
	return l.executorViews, l.estimates
}

// maxExecutorLines bounds the executors that are logged at a time, whatever the number of executors.
const maxExecutorLines = 100

// logExecutorStates logs the scheduler's view of each executor in use, together with the state of its connections. The
// two may differ only by attempts whose end is still in the queue.
func (l *Loop) logExecutorStates() {
	reporter, ok := l.policy.(stateReporter)
	if !ok {
		return
	}
	lines := 0
	for _, view := range reporter.ExecutorViews(l.clock.Now(), nil) {
		connection := l.Executors.ConnectionState(view.Executor)
		if isIdleAndHealthy(view, connection) {
			continue
		}
		lines++
		if lines > maxExecutorLines {
			l.log.WithField("logged", maxExecutorLines).Info("executor: there are more")
			return
		}
		l.log.WithFields(logrus.Fields{
			"executor":             connection.Name,
			"id":                   view.Executor,
			"in_flight":            view.InFlight,
			"connection_attempts":  connection.Attempts,
			"connections":          connection.Connections,
			"idle_ms":              math.Round(connection.IdleMS),
			"threads":              view.Threads,
			"consecutive_failures": view.ConsecutiveFailures,
			"availability":         view.Availability,
			"ejected":              view.Ejected,
			"warming_up":           view.WarmingUp,
			"since_sign_ms":        math.Round(view.SinceActivityMS),
			"since_report_ms":      math.Round(view.SinceReportMS),
		}).Info("executor")
	}
}

// isIdleAndHealthy returns whether an executor has neither attempts nor connections and shows no failure.
func isIdleAndHealthy(view scheduler.ExecutorView, connection ConnectionState) bool {
	inUse := view.InFlight != 0 || connection.Attempts != 0 || connection.Connections != 0
	return !inUse && view.ConsecutiveFailures == 0 && !view.Ejected && !view.WarmingUp
}
