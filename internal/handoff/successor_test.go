package handoff

import (
	"testing"

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
