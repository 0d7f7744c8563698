// Package connpool decides on connections to executors: which one an attempt takes, which are used no more, and whether an attempt
// may still leave as its connection takes it. It owns no socket, clock or goroutine; who calls it carries that out.
package connpool

const (
	spare     = 4   // one connection in so many is kept for executors that have none yet
	fatesRoom = 256 // attempts that fates count before both counts are halved: some seconds' worth
)

// Conn is one connection to an executor, as its owner sees it.
type Conn struct {
	Up      bool    // connected
	Leaving bool    // gets nothing new
	Barred  bool    // the attempt's id is open here, or was ended here but by its answer: a late word would pass for the new one's
	Open    int     // attempts
	Probes  int     //
	IdleMS  float64 // since it was used last
}

func (c *Conn) load() int { return c.Open + c.Probes }

// Limits are the figures that a pool keeps to.
type Limits struct {
	PerConn int     // attempts on one connection
	Most    int     // connections, to all executors
	IdleMS  float64 // unused ones are closed here by then: the other side may be about to close them
}

// What Pick gives beside the place of a connection.
const (
	Dial = -1 // a new one
	None = -2 // there is none, and can't be one more
)

// Pick gives the place of the connection that an attempt takes, and appends those that get nothing new from now on. What shares a
// connection is lost with it: as long as there may be more of them, each attempt and each probe has one to itself, the one
// used last, as the others may close as idle; while used ones break more often, a new one. Past that they share, the least
// loaded first. All is how many there are to all executors.
func (l Limits) Pick(conns []Conn, all int, f *Fates, retire []int) (int, []int) {
	alone, least := None, None
	for k := range conns {
		c := &conns[k]
		if c.Leaving {
			continue
		}
		if c.Up && c.load() == 0 && c.IdleMS > l.IdleMS {
			retire = append(retire, k)
			continue
		}
		switch {
		case c.Barred || c.Open >= l.PerConn:
		case c.load() == 0 && (alone == None || c.IdleMS < conns[alone].IdleMS):
			alone = k
		case c.load() > 0 && (least == None || c.load() < conns[least].load()):
			least = k
		}
	}
	scarce := all >= l.Most-l.Most/spare
	switch {
	case alone != None && (scarce || !f.Wary()):
		return alone, retire
	case alone != None:
		return Dial, append(retire, alone) // it is not used again while used ones break
	case least != None && scarce, all >= l.Most:
		return least, retire
	}
	return Dial, retire
}

// Fates count attempts on new and on used connections, and those of them that a break ended before any word came.
type Fates struct{ New, Used Fate }

// Fate is the count of one kind.
type Fate struct{ Attempts, Lost int }

// Tell counts an attempt.
func (f *Fates) Tell(used, lost bool) {
	one := &f.New
	if used {
		one = &f.Used
	}
	if one.Attempts++; lost {
		one.Lost++
	}
	if one.Attempts >= fatesRoom {
		for _, one := range []*Fate{&f.New, &f.Used} {
			one.Attempts, one.Lost = one.Attempts/2, one.Lost/2
		}
	}
}

// Wary tells that used connections break under attempts more often than new ones. They are tried again once that is so long
// ago that it counts for nothing.
func (f *Fates) Wary() bool {
	return f.Used.Lost*max(1, f.New.Attempts) > f.New.Lost*max(1, f.Used.Attempts)
}

// Bar is why an attempt may not leave any more; 0: it may.
type Bar uint8

// The bars.
const (
	Forsaken Bar = iota + 1 // its client has gone
	Closed                  // its executor drains or is gone
	Late                    // the time until which it may begin is over
	Lawless                 // this controller may not act at this moment
)

// Last is what is known as a connection takes an attempt: nothing stands between it and the socket any more.
type Last struct {
	Forsaken, Closed, Lawless bool
	NowMS, ByMS               float64 // ByMS 0: any time
}

// Bar looks once more at what may have changed since the attempt was decided: a connection can come up late, and a process can
// sleep in between.
func (l Last) Bar() Bar {
	switch {
	case l.Forsaken:
		return Forsaken
	case l.Closed:
		return Closed
	case l.ByMS > 0 && l.NowMS > l.ByMS:
		return Late
	case l.Lawless:
		return Lawless
	}
	return 0
}
