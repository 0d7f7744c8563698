package connpool

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestLimits_Pick(t *testing.T) {
	l := Limits{MaxPerConn: 2, MaxConns: 8, IdleMS: 100}
	lossy := &LossStats{Used: LossCount{10, 5}, New: LossCount{10, 0}}
	free, shared := Conn{Up: true, IdleMS: 5}, Conn{Up: true, Attempts: 1}
	for name, c := range map[string]struct {
		conns  []Conn
		all    int
		losses *LossStats
		want   int
		retire []int
	}{
		"none yet":                          {nil, 0, &LossStats{}, Dial, nil},
		"the one used last":                 {[]Conn{{Up: true, IdleMS: 9}, free, {Up: true, IdleMS: 7}}, 3, &LossStats{}, 1, nil},
		"to itself while there may be more": {[]Conn{shared}, 1, &LossStats{}, Dial, nil},
		"a health check counts":             {[]Conn{{Up: true, HealthChecks: 1}}, 1, &LossStats{}, Dial, nil},
		"shared once they are scarce":       {[]Conn{{Up: true, Attempts: 1, HealthChecks: 1}, shared}, 6, &LossStats{}, 1, nil},
		"a first one though scarce":         {nil, 6, &LossStats{}, Dial, nil},
		"no more than there may be":         {nil, 8, &LossStats{}, NoConn, nil},
		"full ones don't count":             {[]Conn{{Up: true, Attempts: 2}}, 8, &LossStats{}, NoConn, nil},
		"idle for too long":                 {[]Conn{{Up: true, IdleMS: 101}}, 1, &LossStats{}, Dial, []int{0}},
		"not yet up is not idle":            {[]Conn{{IdleMS: 101}}, 1, &LossStats{}, 0, nil},
		"draining":                          {[]Conn{{Up: true, Draining: true, IdleMS: 101}}, 1, &LossStats{}, Dial, nil},
		"where its id was cancelled":        {[]Conn{{Up: true, Excluded: true}}, 1, &LossStats{}, Dial, nil},
		"used ones break":                   {[]Conn{free}, 1, lossy, Dial, []int{0}},
		"used ones break, but are scarce":   {[]Conn{free}, 6, lossy, 0, nil},
	} {
		got, retire := l.Pick(c.conns, c.all, c.losses, nil)
		assert.Equal(t, c.want, got, name)
		assert.Equal(t, c.retire, retire, name)
	}
}

// While used connections break under attempts more often than new ones, attempts take new ones, and come back in time.
func TestLossStats_PreferNew(t *testing.T) {
	stats := &LossStats{}
	assert.False(t, stats.PreferNew())
	for range 30 {
		stats.Record(false, false)
		stats.Record(true, false)
	}
	stats.Record(false, true)
	assert.False(t, stats.PreferNew())
	stats.Record(true, true)
	stats.Record(true, true)
	assert.True(t, stats.PreferNew())
	for n := 0; stats.PreferNew(); n++ {
		stats.Record(false, false)
		require.Less(t, n, 4*lossWindow)
	}
}

func TestFinalCheck_Reason(t *testing.T) {
	for want, l := range map[BlockReason]FinalCheck{0: {NowMS: 5, LatestStartMS: 5}, ClientGone: {ClientGone: true, ExecutorClosed: true}, ExecutorClosed: {ExecutorClosed: true, LeaseLost: true},
		TooLate: {NowMS: 6, LatestStartMS: 5, LeaseLost: true}, LeaseLost: {LeaseLost: true, NowMS: 6}} {
		assert.Equal(t, want, l.Reason())
	}
}
