package ledger

import "math"

// Clocks is what the clocks of the machine say at one time.
type Clocks struct {
	WallMS float64 // Unix time
	UpMS   float64 // since the machine started; 0: not known
	Boot   string  // which start of the machine that was
}

// Interval is how long something took, at least and at most.
type Interval struct{ Min, Max float64 }

// life is one life of a controller, from start to end, as its records tell.
type life struct {
	at     float64 // log time of its start
	moment Clocks  // the same time by the clocks of the machine
	told   float64 // log time of its last record
	clean  bool    // it ended by a planned stop
}

// since is how long ago a log time of an earlier life was. Only a clock that has run through tells: the machine's own,
// where it has not been started anew. The wall clock may have been set by anybody, forward or back, so that by itself
// it shortens no window and proves none.
func (l *life) since(last float64, now Clocks) Interval {
	if now.UpMS > 0 && l.moment.UpMS > 0 && now.Boot != "" && now.Boot == l.moment.Boot {
		if gone := (now.UpMS - l.moment.UpMS) - (last - l.at); gone >= 0 {
			return Interval{gone, gone}
		}
		return Interval{0, 0} // records run ahead of that clock by its own step
	}
	return Interval{0, math.Inf(1)}
}

func (l *life) read(r fields) {
	*l = life{at: r.num(fieldBegan), moment: Clocks{WallMS: r.num(fieldWall), UpMS: r.num(fieldUp), Boot: r.text(fieldBoot)},
		told: r.num(fieldAt), clean: r.num(fieldClean) != 0}
}
