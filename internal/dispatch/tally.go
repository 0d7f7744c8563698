package dispatch

import (
	"maps"
	"math"
	"slices"

	"github.com/sirupsen/logrus"

	"liftshift/internal/invariant"
	"liftshift/scheduler"
)

// Counters counts what went by. Times are milliseconds.
type Counters struct {
	Received, Succeeded, Rejected, Failed, ClientLeft uint64
	Overdue                                           uint64 // not answered by their hard limit
	DuplicateIDs                                      uint64 // requests under an id that was still open
	FromRecord                                        uint64 // answered by what is on record
	Stray                                             uint64 // ends and notes of attempts that had ended
	HealthChecks                                      uint64
	AttemptEnds                                       [scheduler.LocalFailure + 1]uint64

	items, steps        uint64
	waitSum, waitMost   float64
	stepSum, stepMost   float64
	waitsLong, stepLong uint64
	holds               uint64 // attempts that were held until what must last did
	holdSum             float64
}

// longMS is what counts as a long wait in the queue or a long step: a quarter of the module's beat.
const longMS = 5

func (t *Counters) waited(ms float64) {
	t.items++
	t.waitSum, t.waitMost = t.waitSum+ms, max(t.waitMost, ms)
	if ms > longMS {
		t.waitsLong++
	}
}

func (t *Counters) stepped(ms float64) {
	t.steps++
	t.stepSum, t.stepMost = t.stepSum+ms, max(t.stepMost, ms)
	if ms > longMS {
		t.stepLong++
	}
}

// turnedAway counts a request that the module denies or fails; one whose client has most likely gone counts as left.
func (t *Counters) turnedAway(as scheduler.ActionKind, left bool) {
	switch {
	case left:
		t.ClientLeft++
	case as == scheduler.Reject:
		t.Rejected++
	default:
		t.Failed++
	}
}

var endNames = [...]string{scheduler.Succeeded: "handled", scheduler.Errored: "erred", scheduler.Overloaded: "full",
	scheduler.TimedOut: "timed_out", scheduler.ConnectFailed: "refused", scheduler.ConnectionLost: "severed", scheduler.Cancelled: "recalled",
	scheduler.NeverSent: "superseded", scheduler.LocalFailure: "unsent"}

// tell logs the counters; the times start anew with each line.
func (d *Loop) tell(line string) {
	t := &d.tally
	f := logrus.Fields{"taken": t.Received, "handled": t.Succeeded, "denied": t.Rejected, "written_off": t.Failed,
		"left": t.ClientLeft, "late": t.Overdue, "twice": t.DuplicateIDs, "told": t.FromRecord, "stray": t.Stray, "probes": t.HealthChecks, "open": d.OpenRequests(), "spent": len(d.spent), "queue": len(d.queue),
		"wait_ms": t.waitSum / float64(max(1, t.items)), "wait_most_ms": t.waitMost, "waits_long": t.waitsLong,
		"step_ms": t.stepSum / float64(max(1, t.steps)), "step_most_ms": t.stepMost, "steps_long": t.stepLong,
		"steps": t.steps}
	if t.holds > 0 {
		f["holds"], f["hold_ms"] = t.holds, t.holdSum/float64(t.holds)
	}
	for k, n := range t.AttemptEnds {
		if n > 0 {
			f["shots_"+endNames[k]] = n
		}
	}
	broken := invariant.Violations()
	for _, claim := range slices.Sorted(maps.Keys(broken)) {
		f["broken: "+claim] = broken[claim]
	}
	d.log.WithFields(f).Info(line)
	t.items, t.steps, t.waitSum, t.waitMost, t.stepSum, t.stepMost, t.waitsLong, t.stepLong = 0, 0, 0, 0, 0, 0, 0, 0
}

// mostBeliefs is how many executors are logged at a time: the log must not grow with the fleet.
const mostBeliefs = 100

// compare logs what the module believes of each executor of which something is held, beside what the sockets have. Attempts may differ by ends that
// stand in the queue, no further.
func (d *Loop) compare() {
	one, ok := d.one.(stateReporter)
	if !ok {
		return
	}
	lines := 0
	for _, b := range one.ExecutorViews(d.clock.Now(), nil) {
		has := d.Executors.ConnectionState(b.Executor)
		if b.InFlight == 0 && has.Attempts == 0 && has.Connections == 0 && b.ConsecutiveFailures == 0 && !b.Ejected && !b.WarmingUp {
			continue // nothing is held of it
		}
		if lines++; lines > mostBeliefs {
			d.log.WithField("most", mostBeliefs).Info("belief: there are more")
			return
		}
		d.log.WithFields(logrus.Fields{"executor": has.Name, "id": b.Executor, "out": b.InFlight, "open": has.Attempts,
			"connections": has.Connections, "quiet_ms": math.Round(has.IdleMS), "threads": b.Threads, "bad": b.ConsecutiveFailures, "standing": b.Availability,
			"aside": b.Ejected, "cold": b.WarmingUp, "heard_ms": math.Round(b.SinceSignMS), "report_ms": math.Round(b.SinceReportMS)}).Info("belief")
	}
}
