package handoff

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// answersTo returns the outcomes that the client of a request of member 0 was told after the answer of the scheduler.
func (c *testCluster) answersTo(id string) (outcomes []Outcome) {
	for range c.effectsFor(0, FailAnswer, id) {
		outcomes = append(outcomes, Failed)
	}
	for _, effect := range c.effectsFor(0, DeliverAnswer, id) {
		outcomes = append(outcomes, effect.Outcome)
	}
	return outcomes
}

// Guards against an answer that waits for replicas until after the end of a planned stop, so that its client gets none.
func TestManager_WithholdsNoAnswerPastShutdown(t *testing.T) {
	const tickMS, shutdownMS = 100, 1500
	for _, class := range []string{"keyed", "once"} {
		for _, outcome := range []Outcome{Succeeded, Rejected} {
			for _, endedAfterMS := range []float64{500, shutdownMS - 20} {
				for _, leaseOver := range []bool{true, false} {
					if !leaseOver && (class == "keyed" || outcome == Succeeded) {
						continue // not withheld
					}
					name := fmt.Sprintf("%s, %v after %v ms, lease over %v", class, outcome, endedAfterMS, leaseOver)
					t.Run(name, func(t *testing.T) {
						cluster := newCluster(t, 5, 2, nil)
						cluster.submitRequest(0, class, "a", "m")
						cluster.leaseOver[0] = leaseOver
						cluster.drops = func(from, _ int, _ *Item) bool { return from == 0 }
						deadline := cluster.now + shutdownMS
						cluster.step(0, &Event{Kind: ShutdownStarted, Deadline: deadline})
						cluster.tick(endedAfterMS - tickMS)
						cluster.now = deadline - shutdownMS + endedAfterMS
						withheld := cluster.finishRequest(0, "a", outcome, "rows")
						require.Equal(t, withheld, len(cluster.answersTo("a")) == 0)
						cluster.tick(deadline + tickMS - cluster.now)
						assert.Equal(t, []Outcome{Failed}, cluster.answersTo("a"))
					})
				}
			}
		}
	}
}

// Guards against a failure that is never delivered because its request is left to a successor, which it does not wait for.
func TestManager_AnswersRequestThatIsLeftToSuccessor(t *testing.T) {
	for _, leaseOver := range []bool{true, false} {
		cluster := newCluster(t, 5, 2, nil)
		cluster.submitRequest(0, "keyed", "a", "m")
		require.True(t, cluster.startAttempt(0, "a"))
		cluster.leaseOver[0] = leaseOver
		cluster.step(0, &Event{Kind: ShutdownStarted, Deadline: cluster.now + 3000})
		withheld := cluster.finishRequest(0, "a", Failed, "")
		cluster.tick(3000)
		assert.True(t, !withheld || len(cluster.answersTo("a")) == 1, "lease over: %v", leaseOver)
		cluster.declareLost(0)
		cluster.tick(2000)
		assert.Len(t, cluster.adopters("a"), 1, "lease over: %v", leaseOver)
	}
}

// Guards against a request that is still suspended when a planned stop ends: while it waits for another request with its
// key, and while too few replicas answer for its registration.
func TestManager_SuspendsNoRequestPastShutdown(t *testing.T) {
	const tickMS, shutdownMS = 100, 700
	for _, waits := range []bool{true, false} {
		cluster := newCluster(t, 5, 2, nil)
		if waits {
			cluster.submitRequest(1, "keyed", "a", "m")
		} else {
			cluster.drops = func(_, _ int, _ *Item) bool { return true }
		}
		cluster.submitRequest(0, "keyed", "b", "m")
		cluster.step(0, &Event{Kind: ShutdownStarted, Deadline: cluster.now + shutdownMS})
		cluster.tick(shutdownMS - 2*tickMS)
		assert.Empty(t, cluster.effectsFor(0, AnswerSuspended, "b"), "waits: %v", waits)
		cluster.tick(2 * tickMS)
		assert.Len(t, cluster.effectsFor(0, AnswerSuspended, "b"), 1, "waits: %v", waits)
	}
}
