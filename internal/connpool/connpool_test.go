package connpool

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestWhichConnectionAnAttemptTakes(t *testing.T) {
	l := Limits{MaxPerConn: 2, MaxConns: 8, IdleMS: 100}
	wary := &LossStats{Used: LossCount{10, 5}, New: LossCount{10, 0}}
	free, shared := Conn{Up: true, IdleMS: 5}, Conn{Up: true, Attempts: 1}
	for name, c := range map[string]struct {
		conns  []Conn
		all    int
		fates  *LossStats
		want   int
		retire []int
	}{
		"none yet":                          {nil, 0, &LossStats{}, Dial, nil},
		"the one used last":                 {[]Conn{{Up: true, IdleMS: 9}, free, {Up: true, IdleMS: 7}}, 3, &LossStats{}, 1, nil},
		"to itself while there may be more": {[]Conn{shared}, 1, &LossStats{}, Dial, nil},
		"a probe counts":                    {[]Conn{{Up: true, HealthChecks: 1}}, 1, &LossStats{}, Dial, nil},
		"shared once they are scarce":       {[]Conn{{Up: true, Attempts: 1, HealthChecks: 1}, shared}, 6, &LossStats{}, 1, nil},
		"a first one though scarce":         {nil, 6, &LossStats{}, Dial, nil},
		"no more than there may be":         {nil, 8, &LossStats{}, NoConn, nil},
		"full ones don't count":             {[]Conn{{Up: true, Attempts: 2}}, 8, &LossStats{}, NoConn, nil},
		"idle for too long":                 {[]Conn{{Up: true, IdleMS: 101}}, 1, &LossStats{}, Dial, []int{0}},
		"not yet up is not idle":            {[]Conn{{IdleMS: 101}}, 1, &LossStats{}, 0, nil},
		"leaving":                           {[]Conn{{Up: true, Draining: true, IdleMS: 101}}, 1, &LossStats{}, Dial, nil},
		"where its id was ended":            {[]Conn{{Up: true, Excluded: true}}, 1, &LossStats{}, Dial, nil},
		"used ones break":                   {[]Conn{free}, 1, wary, Dial, []int{0}},
		"used ones break, but are scarce":   {[]Conn{free}, 6, wary, 0, nil},
	} {
		got, retire := l.Pick(c.conns, c.all, c.fates, nil)
		assert.Equal(t, c.want, got, name)
		assert.Equal(t, c.retire, retire, name)
	}
}

// While used connections break under attempts more often than new ones, attempts take new ones, and come back in time.
func TestAttemptsAvoidTheKindOfConnectionThatBreaks(t *testing.T) {
	f := &LossStats{}
	assert.False(t, f.PreferNew())
	for range 30 {
		f.Record(false, false)
		f.Record(true, false)
	}
	f.Record(false, true)
	assert.False(t, f.PreferNew())
	f.Record(true, true)
	f.Record(true, true)
	assert.True(t, f.PreferNew())
	for n := 0; f.PreferNew(); n++ {
		f.Record(false, false)
		require.Less(t, n, 4*fatesRoom)
	}
}

func TestWhyAnAttemptMayNotLeave(t *testing.T) {
	for want, l := range map[BlockReason]FinalCheck{0: {NowMS: 5, LatestStartMS: 5}, ClientGone: {ClientGone: true, ExecutorClosed: true}, ExecutorClosed: {ExecutorClosed: true, LeaseLost: true},
		TooLate: {NowMS: 6, LatestStartMS: 5, LeaseLost: true}, LeaseLost: {LeaseLost: true, NowMS: 6}} {
		assert.Equal(t, want, l.Reason())
	}
}
