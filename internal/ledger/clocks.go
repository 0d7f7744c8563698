package ledger

import "math"

const incarnationIntervalMS = 1000 // between records of the time; what a crash loses of it counts as elapsed

// Clocks is a reading of the machine's clocks.
type Clocks struct {
	WallMS float64 // Unix time
	UpMS   float64 // since the machine was booted; 0: not known
	Boot   string  // names that boot
}

// interval is a duration of which only bounds are known.
type interval struct{ min, max float64 }

// incarnation is one run of a controller from start to end, as its records tell.
type incarnation struct {
	startedAt   float64 // log time; 0: there was none
	clocks      Clocks  // at the start
	persistedAt float64 // log time of its last record
	clean       bool    // it ended by a planned shutdown
}

// elapsedSince returns how long ago a log time of an earlier incarnation was. Only the machine's uptime, within one boot, is believed. The
// wall clock may have been set forward or back, so by itself it neither shortens a window nor proves one.
func (i *incarnation) elapsedSince(last float64, now Clocks) interval {
	if now.UpMS <= 0 || i.clocks.UpMS <= 0 || now.Boot == "" || now.Boot != i.clocks.Boot {
		return interval{0, math.Inf(1)}
	}
	elapsed := (now.UpMS - i.clocks.UpMS) - (last - i.startedAt)
	if elapsed < 0 {
		return interval{} // records run ahead of the uptime by the step of that clock
	}
	return interval{elapsed, elapsed}
}

var incarnationKey = recordKey('l', "")

func (l *Ledger) persistIncarnation() {
	l.incarnation.persistedAt = l.now
	w := l.newRecord(kindIncarnation)
	w.number(fieldIncarnationStartedAt, l.incarnation.startedAt)
	w.number(fieldWallClock, l.incarnation.clocks.WallMS)
	w.number(fieldUptime, l.incarnation.clocks.UpMS)
	w.text(fieldBoot, l.incarnation.clocks.Boot)
	w.flag(fieldClean, l.incarnation.clean)
	w.number(fieldInDoubtUntil, l.inDoubtUntil)
	w.persist(incarnationKey, 0)
}

func (i *incarnation) decode(r *decodedRecord) {
	*i = incarnation{
		startedAt:   r.number(fieldIncarnationStartedAt),
		clocks:      Clocks{WallMS: r.number(fieldWallClock), UpMS: r.number(fieldUptime), Boot: r.text(fieldBoot)},
		persistedAt: r.number(fieldAt),
		clean:       r.number(fieldClean) != 0,
	}
}
