package handoff

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a replica that missed the registration, and got the owner's report that nothing ran together with the
// whole copy, being overruled by another replica's older record of an attempt.
func TestManager_LaterReportWithCopySupersedesRecord(t *testing.T) {
	c := newCluster(t, 3, 1, nil)
	c.drops = func(from, to int, _ *Item) bool { return from == 2 && to == 1 }
	c.submitRequest(2, "keyed", "a", "m")
	c.dropAcks = true // the owner learns of no quorum
	require.False(t, c.startAttempt(2, "a"))
	c.dropAcks = false
	c.drops = func(from, to int, _ *Item) bool { return from == 2 && to == 0 }
	c.step(2, &Event{Kind: AttemptEnded, ID: "a", NeverRan: true})
	require.Equal(t, MayHaveRun, c.managers[0].copies[KeyOf("m", "")].RunState)
	require.Equal(t, NotRun, c.managers[1].copies[KeyOf("m", "")].RunState)
	assertSent(t, c)
}

// Guards against a successor that missed the end of a request, and of the next one with the key, asking for ever to
// adopt the first one, so that the key can't be used.
func TestManager_KeyIsFreeAfterNextRequestThatOneReplicaMissed(t *testing.T) {
	for name, missed := range map[string]int{"first replica": 0, "second replica": 1} {
		t.Run(name, func(t *testing.T) {
			c, next := newCluster(t, 3, 1, nil), 1-missed
			c.submitRequest(2, "keyed", "a", "m")
			c.drops = func(from, to int, _ *Item) bool { return from == missed || to == missed }
			c.finishRequest(2, "a", Rejected, "")
			c.submitRequest(next, "keyed", "b", "m")
			require.Len(t, c.effectsFor(next, Resume, "b"), 1)
			require.True(t, c.startAttempt(next, "b"))
			c.drops = nil
			c.declareLost(2)
			c.tick(1000) // the adoption of the first request is asked for while the second one runs
			c.finishRequest(next, "b", Succeeded, "rows")
			c.tick(2000)
			assert.Empty(t, c.adopters("a"), "a request that has ended was sent again")
			for k := range 2 {
				id := fmt.Sprint("c", k)
				c.submitRequest(k, "keyed", id, "m")
				c.tick(500)
				answers := c.effectsFor(k, AnswerSuspended, id)
				require.Len(t, answers, 1, "answers to a repeat at n%d", k)
				assert.Equal(t, "rows", string(answers[0].Answer))
				assert.Empty(t, c.managers[k].OrphanedRequests(), "orphaned requests at n%d", k)
			}
			c.checkCounts()
		})
	}
}

// Guards against the same where the owner itself registered the next request, which a quorum without that successor
// allows.
func TestManager_KeyIsFreeAfterNextRequestOfSameOwner(t *testing.T) {
	for name, missed := range map[string]int{"first replica": 0, "second replica": 1} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 3, 1, nil)
			c.submitRequest(2, "keyed", "a", "m")
			c.drops = func(from, to int, _ *Item) bool { return from == missed || to == missed }
			c.finishRequest(2, "a", Rejected, "")
			c.submitRequest(2, "keyed", "b", "m")
			require.Len(t, c.effectsFor(2, Resume, "b"), 1)
			c.finishRequest(2, "b", Rejected, "")
			c.drops = nil
			c.declareLost(2)
			c.tick(3000)
			assert.Empty(t, c.adopters("a"), "a request that has ended was sent again")
			c.submitRequest(missed, "keyed", "c", "m")
			c.tick(500)
			assert.Len(t, c.effectsFor(missed, Resume, "c"), 1, "the client's next request must be registered")
			c.checkCounts()
		})
	}
}

// Guards against repeats of a key, each of which registers at the replica that missed the request, holding up its
// adoption for as long as they come.
func TestManager_RepeatsDoNotHoldUpAdoption(t *testing.T) {
	for name, missed := range map[string]int{"first replica": 0, "second replica": 1} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 3, 1, nil)
			c.drops = func(_, to int, _ *Item) bool { return to == missed }
			c.submitRequest(2, "keyed", "a", "m")
			require.Len(t, c.effectsFor(2, Resume, "a"), 1)
			c.drops = nil
			c.declareLost(2)
			for n := range 15 {
				c.submitRequest(missed, "keyed", fmt.Sprint("b", n), "m")
				c.tick(300)
			}
			assert.Len(t, c.adopters("a"), 1)
			c.checkCounts()
		})
	}
}
