package connpool

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestLimits_Pick(t *testing.T) {
	limits := Limits{MaxPerConn: 2, MaxConns: 8, IdleMS: 100}
	usedConnsLossy := &LossStats{Used: LossCount{10, 5}, New: LossCount{10, 0}}
	idle, busy := Conn{Up: true, IdleMS: 5}, Conn{Up: true, Attempts: 1}
	for name, c := range map[string]struct {
		conns  []Conn
		total  int
		losses *LossStats
		want   int
		retire []int
	}{
		"no connection":   {nil, 0, &LossStats{}, Dial, nil},
		"used last":       {[]Conn{{Up: true, IdleMS: 9}, idle, {Up: true, IdleMS: 7}}, 3, &LossStats{}, 1, nil},
		"not shared":      {[]Conn{busy}, 1, &LossStats{}, Dial, nil},
		"health check":    {[]Conn{{Up: true, HealthChecks: 1}}, 1, &LossStats{}, Dial, nil},
		"shared, scarce":  {[]Conn{{Up: true, Attempts: 1, HealthChecks: 1}, busy}, 6, &LossStats{}, 1, nil},
		"first, scarce":   {nil, 6, &LossStats{}, Dial, nil},
		"first, at limit": {nil, 8, &LossStats{}, NoConn, nil},
		"full, at limit":  {[]Conn{{Up: true, Attempts: 2}}, 8, &LossStats{}, NoConn, nil},
		"idle too long":   {[]Conn{{Up: true, IdleMS: 101}}, 1, &LossStats{}, Dial, []int{0}},
		"connecting":      {[]Conn{{IdleMS: 101}}, 1, &LossStats{}, 0, nil},
		"draining":        {[]Conn{{Up: true, Draining: true, IdleMS: 101}}, 1, &LossStats{}, Dial, nil},
		"excluded":        {[]Conn{{Up: true, Excluded: true}}, 1, &LossStats{}, Dial, nil},
		"lossy":           {[]Conn{idle}, 1, usedConnsLossy, Dial, []int{0}},
		"lossy, scarce":   {[]Conn{idle}, 6, usedConnsLossy, 0, nil},
	} {
		got, retire := limits.Pick(c.conns, c.total, c.losses, nil)
		assert.Equal(t, c.want, got, name)
		assert.Equal(t, c.retire, retire, name)
	}
}

// New connections are preferred while used ones are lost more often, but used ones must be tried again eventually.
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
		require.Less(t, n, 4*lossWindow, "used connections are still avoided after %d attempts on new ones", n)
	}
}

func TestFinalCheck_Reason(t *testing.T) {
	for want, check := range map[BlockReason]FinalCheck{
		0:              {NowMS: 5, LatestStartMS: 5},
		ClientGone:     {ClientGone: true, ExecutorClosed: true},
		ExecutorClosed: {ExecutorClosed: true, ExecutorMoved: true, LeaseLost: true},
		ExecutorMoved:  {ExecutorMoved: true, LeaseLost: true},
		TooLate:        {NowMS: 6, LatestStartMS: 5, LeaseLost: true},
		LeaseLost:      {LeaseLost: true, NowMS: 6},
	} {
		assert.Equal(t, want, check.Reason())
	}
}
