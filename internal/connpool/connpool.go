// Package connpool decides which connection to an executor an attempt takes, which connections are retired, and whether
// an attempt may still be sent when its connection is about to write it. It owns no socket, clock or goroutine; the
// caller carries out the decisions.
package connpool

const (
	// reserveDivisor sets the connections that are reserved for executors without one: 1/reserveDivisor of all.
	reserveDivisor = 4
	// lossWindow is the number of attempts on one kind of connection at which all counts of LossStats are halved.
	lossWindow = 256
)

// Conn is the state of one connection to an executor.
type Conn struct {
	Up       bool // established
	Draining bool // takes no new attempts
	// Excluded tells that the request of the attempt has another attempt open on this connection, or had one that ended
	// without an answer. A late reply to that attempt would be taken for a reply to the new one.
	Excluded     bool
	Attempts     int     // in flight
	HealthChecks int     // in flight
	IdleMS       float64 // time since the last use
}

func (c *Conn) inUse() int { return c.Attempts + c.HealthChecks }

// Limits are the limits of a pool.
type Limits struct {
	MaxPerConn int     // attempts on one connection
	MaxConns   int     // connections to all executors
	IdleMS     float64 // time after which an unused connection is retired, because the executor may be about to close it
}

// Results of Pick other than the index of a connection.
const (
	Dial   = -1 // open a new connection
	NoConn = -2 // no connection is usable, and the limit of connections is reached
)

// Pick returns the index of the connection that an attempt or a health check takes, or Dial or NoConn. It appends to
// retire the indices of the connections that must take no new attempts from now on. Total is the number of connections
// to all executors.
//
// Attempts that share a connection are lost together. So each attempt and each health check gets a connection of its
// own while connections are available: the one used last, so that the others become idle, or a new one while used
// connections break more often. Once connections are scarce, attempts share the least loaded connection.
func (l Limits) Pick(conns []Conn, total int, losses *LossStats, retire []int) (int, []int) {
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
	scarce := total >= l.MaxConns-l.MaxConns/reserveDivisor
	switch {
	case unused != NoConn && (scarce || !losses.PreferNew()):
		return unused, retire
	case unused != NoConn:
		return Dial, append(retire, unused)
	case leastLoaded != NoConn && scarce, total >= l.MaxConns:
		return leastLoaded, retire
	}
	return Dial, retire
}

// LossStats counts attempts on new and on used connections, and how many of them lost their connection before any
// reply.
type LossStats struct{ New, Used LossCount }

// LossCount counts the attempts on one kind of connection.
type LossCount struct{ Attempts, Lost int }

// Record counts an attempt on a used or a new connection.
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

// PreferNew returns whether attempts on used connections lose their connection more often than those on new ones. As
// Record halves the counts, used connections are tried again after a while.
func (s *LossStats) PreferNew() bool {
	return s.Used.Lost*max(1, s.New.Attempts) > s.New.Lost*max(1, s.Used.Attempts)
}

// BlockReason tells why an attempt must no longer be sent. The zero value permits sending it.
type BlockReason uint8

// Reasons, in the order in which they are checked.
const (
	ClientGone     BlockReason = iota + 1 // the client of the request has disconnected
	ExecutorClosed                        // the executor drains or was removed
	ExecutorMoved                         // the executor is listed at another location than the attempt was decided for
	TooLate                               // the latest start time has passed
	LeaseLost                             // this controller has lost its lease
)

var blockReasonNames = [...]string{
	"none",
	ClientGone:     "client gone",
	ExecutorClosed: "executor closed",
	ExecutorMoved:  "executor moved",
	TooLate:        "too late",
	LeaseLost:      "lease lost",
}

// String returns the name of the reason.
func (r BlockReason) String() string { return blockReasonNames[r] }

// FinalCheck is the state that is checked right before an attempt is written to its connection.
type FinalCheck struct {
	ClientGone, ExecutorClosed, ExecutorMoved, LeaseLost bool

	NowMS, LatestStartMS float64 // LatestStartMS 0: no limit
}

// Reason returns why the attempt must not be sent, or 0. The state may have changed since the scheduler started the
// attempt, as establishing a connection takes time and the process may stall.
func (c FinalCheck) Reason() BlockReason {
	switch {
	case c.ClientGone:
		return ClientGone
	case c.ExecutorClosed:
		return ExecutorClosed
	case c.ExecutorMoved:
		return ExecutorMoved
	case c.LatestStartMS > 0 && c.NowMS > c.LatestStartMS:
		return TooLate
	case c.LeaseLost:
		return LeaseLost
	}
	return 0
}
