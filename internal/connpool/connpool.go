// Package connpool decides on connections to executors: which one an attempt takes, which ones are retired, and whether an attempt
// may still leave as its connection takes it. It owns no socket, clock or goroutine; its caller carries the decisions out.
package connpool

const (
	newExecutorReserve = 4   // one connection in so many is kept for executors that have none yet
	lossWindow         = 256 // attempts that are counted before both counts are halved: some seconds' worth
)

// Conn is one connection to an executor, as its owner sees it.
type Conn struct {
	Up           bool    // connected
	Draining     bool    // gets nothing new
	Excluded     bool    // the attempt's id is open here, or was cancelled here: a late reply would pass for the new attempt's
	Attempts     int     // under way
	HealthChecks int     // under way
	IdleMS       float64 // since it was last used
}

func (c *Conn) inUse() int { return c.Attempts + c.HealthChecks }

// Limits are the limits of a pool.
type Limits struct {
	MaxPerConn int     // attempts on one connection
	MaxConns   int     // connections, to all executors
	IdleMS     float64 // after which an unused one is retired: the other side may be about to close it
}

// Results of Pick other than the index of a connection.
const (
	Dial   = -1 // make a new one
	NoConn = -2 // there is none, and there can be no more
)

// Pick returns the index of the connection that an attempt takes, or Dial or NoConn, and appends to retire the indices of those that
// get nothing new from now on. All is the number of connections to all executors.
//
// What shares a connection is lost with it. As long as there may be more connections, each attempt and each health check has one to
// itself: the one used last, so that the others become idle, or a new one while used ones break more often. Past that they share,
// the least loaded first.
func (l Limits) Pick(conns []Conn, all int, losses *LossStats, retire []int) (int, []int) {
	unused, leastLoaded := NoConn, NoConn
	for k := range conns {
		c := &conns[k]
		if c.Draining {
			continue
		}
		if c.Up && c.inUse() == 0 && c.IdleMS > l.IdleMS {
			retire = append(retire, k)
			continue
		}
		switch {
		case c.Excluded || c.Attempts >= l.MaxPerConn:
		case c.inUse() == 0 && (unused == NoConn || c.IdleMS < conns[unused].IdleMS):
			unused = k
		case c.inUse() > 0 && (leastLoaded == NoConn || c.inUse() < conns[leastLoaded].inUse()):
			leastLoaded = k
		}
	}
	scarce := all >= l.MaxConns-l.MaxConns/newExecutorReserve
	switch {
	case unused != NoConn && (scarce || !losses.PreferNew()):
		return unused, retire
	case unused != NoConn:
		return Dial, append(retire, unused)
	case leastLoaded != NoConn && scarce, all >= l.MaxConns:
		return leastLoaded, retire
	}
	return Dial, retire
}

// LossStats counts attempts on new and on used connections, and those of them that lost their connection before any reply.
type LossStats struct{ New, Used LossCount }

// LossCount counts the attempts on one kind of connection.
type LossCount struct{ Attempts, Lost int }

// Record counts an attempt.
func (s *LossStats) Record(used, lost bool) {
	count := &s.New
	if used {
		count = &s.Used
	}
	count.Attempts++
	if lost {
		count.Lost++
	}
	if count.Attempts >= lossWindow {
		s.New.halve()
		s.Used.halve()
	}
}

func (c *LossCount) halve() {
	c.Attempts /= 2
	c.Lost /= 2
}

// PreferNew returns whether used connections break under attempts more often than new ones. Halving the counts lets them be tried
// again in time.
func (s *LossStats) PreferNew() bool {
	return s.Used.Lost*max(1, s.New.Attempts) > s.New.Lost*max(1, s.Used.Attempts)
}

// BlockReason is why an attempt may not leave any more; 0: it may leave.
type BlockReason uint8

// Reasons, in the order in which they are checked.
const (
	ClientGone     BlockReason = iota + 1 // its client has gone
	ExecutorClosed                        // its executor drains or is removed
	TooLate                               // the latest time to start is over
	LeaseLost                             // this controller has lost its lease
)

var blockReasonNames = [...]string{"none", ClientGone: "client gone", ExecutorClosed: "executor closed", TooLate: "too late", LeaseLost: "lease lost"}

// String returns the name of the reason.
func (r BlockReason) String() string { return blockReasonNames[r] }

// FinalCheck is what is known as a connection takes an attempt, right before the socket.
type FinalCheck struct {
	ClientGone, ExecutorClosed, LeaseLost bool
	NowMS, LatestStartMS                  float64 // LatestStartMS 0: any time
}

// Reason checks once more what may have changed since the attempt was decided: a connection can come up late, and a process can
// stall in between.
func (c FinalCheck) Reason() BlockReason {
	switch {
	case c.ClientGone:
		return ClientGone
	case c.ExecutorClosed:
		return ExecutorClosed
	case c.LatestStartMS > 0 && c.NowMS > c.LatestStartMS:
		return TooLate
	case c.LeaseLost:
		return LeaseLost
	}
	return 0
}
