package connpool

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestWhichConnectionAnAttemptTakes(t *testing.T) {
	l := Limits{PerConn: 2, Most: 8, IdleMS: 100}
	wary := &Fates{Used: Fate{10, 5}, New: Fate{10, 0}}
	free, shared := Conn{Up: true, IdleMS: 5}, Conn{Up: true, Open: 1}
	for name, c := range map[string]struct {
		conns  []Conn
		all    int
		fates  *Fates
		want   int
		retire []int
	}{
		"none yet":                          {nil, 0, &Fates{}, Dial, nil},
		"the one used last":                 {[]Conn{{Up: true, IdleMS: 9}, free, {Up: true, IdleMS: 7}}, 3, &Fates{}, 1, nil},
		"to itself while there may be more": {[]Conn{shared}, 1, &Fates{}, Dial, nil},
		"a probe counts":                    {[]Conn{{Up: true, Probes: 1}}, 1, &Fates{}, Dial, nil},
		"shared once they are scarce":       {[]Conn{{Up: true, Open: 1, Probes: 1}, shared}, 6, &Fates{}, 1, nil},
		"a first one though scarce":         {nil, 6, &Fates{}, Dial, nil},
		"no more than there may be":         {nil, 8, &Fates{}, None, nil},
		"full ones don't count":             {[]Conn{{Up: true, Open: 2}}, 8, &Fates{}, None, nil},
		"idle for too long":                 {[]Conn{{Up: true, IdleMS: 101}}, 1, &Fates{}, Dial, []int{0}},
		"not yet up is not idle":            {[]Conn{{IdleMS: 101}}, 1, &Fates{}, 0, nil},
		"leaving":                           {[]Conn{{Up: true, Leaving: true, IdleMS: 101}}, 1, &Fates{}, Dial, nil},
		"where its id was ended":            {[]Conn{{Up: true, Barred: true}}, 1, &Fates{}, Dial, nil},
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
	f := &Fates{}
	assert.False(t, f.Wary())
	for range 30 {
		f.Tell(false, false)
		f.Tell(true, false)
	}
	f.Tell(false, true)
	assert.False(t, f.Wary())
	f.Tell(true, true)
	f.Tell(true, true)
	assert.True(t, f.Wary())
	for n := 0; f.Wary(); n++ {
		f.Tell(false, false)
		require.Less(t, n, 4*fatesRoom)
	}
}

func TestWhyAnAttemptMayNotLeave(t *testing.T) {
	for want, l := range map[Bar]Last{0: {NowMS: 5, ByMS: 5}, Forsaken: {Forsaken: true, Closed: true}, Closed: {Closed: true, Lawless: true},
		Late: {NowMS: 6, ByMS: 5, Lawless: true}, Lawless: {Lawless: true, NowMS: 6}} {
		assert.Equal(t, want, l.Bar())
	}
}
