// Package connpool decides on connections to executors: which one an attempt takes, which are used no more, and whether an attempt
// may still leave as its connection takes it. It owns no socket, clock or goroutine; who calls it carries that out.
package connpool

const (
	spare     = 4   // one connection in so many is kept for executors that have none yet
	fatesRoom = 256 // attempts that fates count before both counts are halved: some seconds' worth
)

// Conn is one connection to an executor, as its owner sees it.
type Conn struct {
	Up           bool    // connected
	Draining     bool    // gets nothing new
	Excluded     bool    // the attempt's id is open here, or was ended here but by its answer: a late word would pass for the new one's
	Attempts     int     // attempts
	HealthChecks int     //
	IdleMS       float64 // since it was used last
}

func (c *Conn) load() int { return c.Attempts + c.HealthChecks }

// Limits are the figures that a pool keeps to.
type Limits struct {
	MaxPerConn int     // attempts on one connection
	MaxConns   int     // connections, to all executors
	IdleMS     float64 // unused ones are closed here by then: the other side may be about to close them
}

// What Pick gives beside the place of a connection.
const (
	Dial   = -1 // a new one
	NoConn = -2 // there is none, and can't be one more
)

// Pick gives the place of the connection that an attempt takes, and appends those that get nothing new from now on. What shares a
// connection is lost with it: as long as there may be more of them, each attempt and each probe has one to itself, the one
// used last, as the others may close as idle; while used ones break more often, a new one. Past that they share, the least
// loaded first. All is how many there are to all executors.
func (l Limits) Pick(conns []Conn, all int, f *LossStats, retire []int) (int, []int) {
	alone, least := NoConn, NoConn
	for k := range conns {
		c := &conns[k]
		if c.Draining {
			continue
		}
		if c.Up && c.load() == 0 && c.IdleMS > l.IdleMS {
			retire = append(retire, k)
			continue
		}
		switch {
		case c.Excluded || c.Attempts >= l.MaxPerConn:
		case c.load() == 0 && (alone == NoConn || c.IdleMS < conns[alone].IdleMS):
			alone = k
		case c.load() > 0 && (least == NoConn || c.load() < conns[least].load()):
			least = k
		}
	}
	scarce := all >= l.MaxConns-l.MaxConns/spare
	switch {
	case alone != NoConn && (scarce || !f.PreferNew()):
		return alone, retire
	case alone != NoConn:
		return Dial, append(retire, alone) // it is not used again while used ones break
	case least != NoConn && scarce, all >= l.MaxConns:
		return least, retire
	}
	return Dial, retire
}

// LossStats count attempts on new and on used connections, and those of them that a break ended before any word came.
type LossStats struct{ New, Used LossCount }

// LossCount is the count of one kind.
type LossCount struct{ Attempts, Lost int }

// Record counts an attempt.
func (f *LossStats) Record(used, lost bool) {
	one := &f.New
	if used {
		one = &f.Used
	}
	if one.Attempts++; lost {
		one.Lost++
	}
	if one.Attempts >= fatesRoom {
		for _, one := range []*LossCount{&f.New, &f.Used} {
			one.Attempts, one.Lost = one.Attempts/2, one.Lost/2
		}
	}
}

// PreferNew tells that used connections break under attempts more often than new ones. They are tried again once that is so long
// ago that it counts for nothing.
func (f *LossStats) PreferNew() bool {
	return f.Used.Lost*max(1, f.New.Attempts) > f.New.Lost*max(1, f.Used.Attempts)
}

// BlockReason is why an attempt may not leave any more; 0: it may.
type BlockReason uint8

// The bars.
const (
	ClientGone     BlockReason = iota + 1 // its client has gone
	ExecutorClosed                        // its executor drains or is gone
	TooLate                               // the time until which it may begin is over
	LeaseLost                             // this controller may not act at this moment
)

// FinalCheck is what is known as a connection takes an attempt: nothing stands between it and the socket any more.
type FinalCheck struct {
	ClientGone, ExecutorClosed, LeaseLost bool
	NowMS, LatestStartMS                  float64 // ByMS 0: any time
}

// Bar looks once more at what may have changed since the attempt was decided: a connection can come up late, and a process can
// sleep in between.
func (l FinalCheck) Reason() BlockReason {
	switch {
	case l.ClientGone:
		return ClientGone
	case l.ExecutorClosed:
		return ExecutorClosed
	case l.LatestStartMS > 0 && l.NowMS > l.LatestStartMS:
		return TooLate
	case l.LeaseLost:
		return LeaseLost
	}
	return 0
}
