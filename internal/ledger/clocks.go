package ledger

import "math"

// incarnationIntervalMS is the time between records of the current log time. The time between the last such record
// and a crash counts as elapsed after the restart.
const incarnationIntervalMS = 1000

// Clocks is a reading of the machine's clocks.
type Clocks struct {
	WallMS   float64 // Unix time
	UptimeMS float64 // time since the machine was booted; 0: unknown
	BootID   string  // identifies the boot since which the uptime counts
}

// interval is a duration of which only bounds are known.
type interval struct{ min, max float64 }

// incarnation is one run of a controller from start to end, as described by its records.
type incarnation struct {
	startedAt   float64 // log time of the start; 0: no previous incarnation
	clocks      Clocks  // the clocks at the start
	persistedAt float64 // log time of the last incarnation record
	clean       bool    // the incarnation ended by a planned shutdown
}

// elapsedSince returns how much time has passed since the log time last of an earlier incarnation. It relies only on
// the machine's uptime, and only within one boot: the wall clock may have been set forward or back, so it can neither
// shorten a deduplication window nor prove that one is still open.
func (i *incarnation) elapsedSince(last float64, now Clocks) interval {
	if now.UptimeMS <= 0 || i.clocks.UptimeMS <= 0 || now.BootID == "" || now.BootID != i.clocks.BootID {
		return interval{0, math.Inf(1)}
	}
	elapsed := (now.UptimeMS - i.clocks.UptimeMS) - (last - i.startedAt)
	if elapsed < 0 {
		return interval{} // the uptime clock has a coarser resolution than log time
	}
	return interval{elapsed, elapsed}
}

var incarnationKey = recordKey('l', "")

func (l *Ledger) persistIncarnation() {
	l.incarnation.persistedAt = l.now
	w := l.newRecord(kindIncarnation)
	w.number(fieldIncarnationStartedAt, l.incarnation.startedAt)
	w.number(fieldWallClock, l.incarnation.clocks.WallMS)
	w.number(fieldUptime, l.incarnation.clocks.UptimeMS)
	w.text(fieldBoot, l.incarnation.clocks.BootID)
	w.flag(fieldClean, l.incarnation.clean)
	w.number(fieldInDoubtUntil, l.inDoubtUntil)
	w.persist(incarnationKey, 0)
}

func (i *incarnation) decode(record *decodedRecord) {
	*i = incarnation{
		startedAt: record.number(fieldIncarnationStartedAt),
		clocks: Clocks{
			WallMS:   record.number(fieldWallClock),
			UptimeMS: record.number(fieldUptime),
			BootID:   record.text(fieldBoot),
		},
		persistedAt: record.number(fieldAt),
		clean:       record.number(fieldClean) != 0,
	}
}
