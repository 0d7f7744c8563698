package ledger

import (
	"math"
	"slices"
	"strconv"

	"liftshift/scheduler"
)

const (
	viewsIntervalMS      = 1000   // between looks at the scheduler's view of the executors
	executorStateTTLMS   = 600000 // for which the state of an executor is kept without being written again
	executorStateRefresh = 0.5    // share of the TTL after which it is written again
	warmupChangeMS       = 100    // by which the end of a warm-up must have moved to be worth a record
)

// executorState is what is remembered of an executor.
type executorState struct {
	id           uint32
	zone         string
	cell         int64
	warmupUntil  float64 // log time
	ejected      bool
	ejections    int
	drainVersion uint64 // of the endpoint list that first said draining; 0: it is not draining
	startedAt    float64
	persistedAt  float64
	draining     bool // the list of this incarnation says so
}

// updateEndpoints takes over zones, cells and drains from the endpoint list.
func (l *Ledger) updateEndpoints(ev *Event) {
	listed := map[uint32]bool{}
	for i := range ev.Endpoints {
		e := &ev.Endpoints[i]
		if e.Availability == scheduler.Removed {
			l.removeExecutor(e.Executor)
			continue
		}
		listed[e.Executor] = true
		l.updateExecutor(ev, e)
	}
	if !ev.Complete {
		return
	}
	for _, id := range l.executorIDs() {
		if !listed[id] {
			l.removeExecutor(id)
		}
	}
	if ev.Restored && !l.executorsRestored {
		l.executorsRestored = true
		l.restoreExecutors()
	}
}

func (l *Ledger) updateExecutor(ev *Event, e *scheduler.Endpoint) {
	x := l.executors[e.Executor]
	if x == nil {
		x = &executorState{id: e.Executor}
		l.executors[e.Executor] = x
	}
	drainVersion := x.drainVersionAfter(ev, e)
	changed := drainVersion != x.drainVersion || x.zone != e.Zone || x.cell != e.Cell || x.startedAt != e.StartedAt
	x.zone, x.cell = e.Zone, e.Cell
	x.startedAt = e.StartedAt
	x.drainVersion = drainVersion
	x.draining = e.Availability == scheduler.Draining
	if changed {
		l.persistExecutor(x)
	}
}

// drainVersionAfter returns the version of the list that first said draining, after this one. A list known at the start that is
// older than a drain on record does not end that drain.
func (x *executorState) drainVersionAfter(ev *Event, e *scheduler.Endpoint) uint64 {
	if e.Availability == scheduler.Draining {
		return max(1, ev.ListVersion)
	}
	olderList := ev.Restored && (ev.ListVersion == 0 || ev.ListVersion < x.drainVersion)
	if x.drainVersion > 0 && olderList && e.StartedAt <= x.startedAt {
		return x.drainVersion
	}
	return 0
}

func (l *Ledger) removeExecutor(id uint32) {
	if x := l.executors[id]; x != nil {
		delete(l.executors, id)
		l.emit(Effect{Kind: Delete, Key: x.key()})
	}
}

func (l *Ledger) executorIDs() []uint32 {
	ids := make([]uint32, 0, len(l.executors))
	for id := range l.executors {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// WantsExecutorViews tells whether the next Ticked should carry the scheduler's view of the executors and its estimates.
func (l *Ledger) WantsExecutorViews(now float64) bool {
	due := now+l.clockOffset >= l.viewsDueAt
	if due {
		l.viewsDueAt = now + l.clockOffset + viewsIntervalMS
	}
	return due
}

// persistViews records the scheduler's view of executors where it changed, and again before such a record expires.
func (l *Ledger) persistViews(views []scheduler.ExecutorView) {
	for _, v := range views {
		x := l.executors[v.Executor]
		if x == nil {
			continue
		}
		warmupUntil := 0.0
		if v.WarmingUp {
			warmupUntil = v.WarmupUntil + l.clockOffset
		}
		if !x.viewChanged(v, warmupUntil) && !l.needsRefresh(x, warmupUntil) {
			continue
		}
		x.ejected, x.ejections = v.Ejected, v.Ejections
		x.warmupUntil = warmupUntil
		l.persistExecutor(x)
	}
}

func (x *executorState) viewChanged(v scheduler.ExecutorView, warmupUntil float64) bool {
	return x.ejected != v.Ejected || v.Ejected && x.ejections != v.Ejections || math.Abs(x.warmupUntil-warmupUntil) > warmupChangeMS
}

// needsRefresh tells whether the record of a state that must not be forgotten gets old.
func (l *Ledger) needsRefresh(x *executorState, warmupUntil float64) bool {
	lasting := x.ejected || warmupUntil > 0 || x.drainVersion > 0
	return lasting && l.now > x.persistedAt+executorStateRefresh*executorStateTTLMS
}

// restoreExecutors tells the scheduler the states from before the start: ejected executors stay so until they have answered
// health checks, warm-ups go on, and drains that the first endpoint list does not know hold.
func (l *Ledger) restoreExecutors() {
	ev := scheduler.Event{Kind: scheduler.StateRestored}
	for _, id := range l.executorIDs() {
		x := l.executors[id]
		if x.ejected || x.warmupUntil > l.now || x.drainVersion > 0 {
			ev.RestoredExecutors = append(ev.RestoredExecutors, scheduler.RestoredExecutor{
				Executor:    id,
				WarmupUntil: x.warmupUntil - l.clockOffset,
				Ejected:     x.ejected,
				Ejections:   x.ejections,
				Draining:    x.drainVersion > 0 && !x.draining,
			})
		}
	}
	l.emit(Effect{Kind: RestoreState, SchedulerEvent: ev})
}

func (x *executorState) key() Key { return recordKey('e', strconv.FormatUint(uint64(x.id), 10)) }

func (l *Ledger) persistExecutor(x *executorState) {
	x.persistedAt = l.now
	w := l.newRecord(kindExecutor)
	w.number(fieldExecutor, float64(x.id))
	w.text(fieldZone, x.zone)
	w.number(fieldCell, float64(x.cell))
	w.number(fieldWarmupUntil, x.warmupUntil)
	w.flag(fieldEjected, x.ejected)
	w.number(fieldEjections, float64(x.ejections))
	w.number(fieldDrainVersion, float64(x.drainVersion))
	w.number(fieldExecutorStartedAt, x.startedAt)
	w.persist(x.key(), clampMS(l.now+executorStateTTLMS))
}

func (l *Ledger) restoreExecutor(r *decodedRecord) {
	x := &executorState{
		id:           uint32(r.number(fieldExecutor)),
		zone:         r.text(fieldZone),
		cell:         int64(r.number(fieldCell)),
		warmupUntil:  r.number(fieldWarmupUntil),
		ejected:      r.number(fieldEjected) != 0,
		ejections:    int(r.number(fieldEjections)),
		drainVersion: uint64(r.number(fieldDrainVersion)),
		startedAt:    r.number(fieldExecutorStartedAt),
		persistedAt:  r.number(fieldAt),
	}
	l.executors[x.id] = x
}
