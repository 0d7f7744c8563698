package ledger

import (
	"math"
	"slices"
	"strconv"

	"liftshift/scheduler"
)

const (
	viewsIntervalMS    = 1000   // between readings of the scheduler's executor views and estimates
	executorStateTTLMS = 600000 // lifetime of an executor record that is not rewritten

	executorStateRefresh = 0.5 // share of the lifetime after which a state that must not expire is rewritten
	warmupChangeMS       = 100 // smaller changes of the end of a warm-up are not recorded
)

// executorState is the recorded state of an executor.
type executorState struct {
	id           uint32
	zone         string  // for operators alone: where attempts run is told by their events
	cell         int64   // likewise
	warmupUntil  float64 // log time
	ejected      bool
	ejections    int
	drainVersion uint64  // version of the endpoint list with the draining state; 0: not draining
	startedAt    float64 // as reported by the endpoint list
	persistedAt  float64 // log time of the last record
	draining     bool    // the endpoint list of this incarnation marks it as draining
}

// updateEndpoints applies the zones, cells and draining states of an endpoint list.
func (l *Ledger) updateEndpoints(ev *Event) {
	listed := map[uint32]bool{}
	for i := range ev.Endpoints {
		endpoint := &ev.Endpoints[i]
		if endpoint.Availability == scheduler.Removed {
			l.removeExecutor(endpoint.Executor)
			continue
		}
		listed[endpoint.Executor] = true
		l.updateExecutor(ev, endpoint)
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

func (l *Ledger) updateExecutor(ev *Event, endpoint *scheduler.Endpoint) {
	executor := l.executors[endpoint.Executor]
	if executor == nil {
		executor = &executorState{id: endpoint.Executor}
		l.executors[endpoint.Executor] = executor
	}
	drainVersion := executor.drainVersionAfter(ev, endpoint)
	changed := drainVersion != executor.drainVersion || executor.zone != endpoint.Zone ||
		executor.cell != endpoint.Cell || executor.startedAt != endpoint.StartedAt
	executor.zone, executor.cell = endpoint.Zone, endpoint.Cell
	executor.startedAt = endpoint.StartedAt
	executor.drainVersion = drainVersion
	executor.draining = endpoint.Availability == scheduler.Draining
	if changed {
		l.persistExecutor(executor)
	}
}

// drainVersionAfter returns the drainVersion of the executor after an endpoint list. A list known at the start that
// is older than the recorded drain does not end that drain, unless the executor has been restarted since.
func (x *executorState) drainVersionAfter(ev *Event, endpoint *scheduler.Endpoint) uint64 {
	if endpoint.Availability == scheduler.Draining {
		return max(1, ev.ListVersion)
	}
	olderList := ev.Restored && (ev.ListVersion == 0 || ev.ListVersion < x.drainVersion)
	if x.drainVersion > 0 && olderList && endpoint.StartedAt <= x.startedAt {
		return x.drainVersion
	}
	return 0
}

func (l *Ledger) removeExecutor(id uint32) {
	if executor := l.executors[id]; executor != nil {
		delete(l.executors, id)
		l.emit(Effect{Kind: Delete, Key: executor.key()})
	}
}

// executorIDs returns the ids of all known executors in ascending order.
func (l *Ledger) executorIDs() []uint32 {
	ids := make([]uint32, 0, len(l.executors))
	for id := range l.executors {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// WantsExecutorViews returns whether the next Ticked event has to carry the scheduler's executor views and estimates.
// It returns true once per viewsIntervalMS.
func (l *Ledger) WantsExecutorViews(now float64) bool {
	due := now+l.clockOffset >= l.viewsDueAt
	if due {
		l.viewsDueAt = now + l.clockOffset + viewsIntervalMS
	}
	return due
}

// persistViews records the executor views that have changed, and rewrites records that must not expire.
func (l *Ledger) persistViews(views []scheduler.ExecutorView) {
	for _, view := range views {
		executor := l.executors[view.Executor]
		if executor == nil {
			continue
		}
		warmupUntil := 0.0
		if view.WarmingUp {
			warmupUntil = view.WarmupUntil + l.clockOffset
		}
		if !executor.viewChanged(view, warmupUntil) && !l.needsRefresh(executor, warmupUntil) {
			continue
		}
		executor.ejected, executor.ejections = view.Ejected, view.Ejections
		executor.warmupUntil = warmupUntil
		l.persistExecutor(executor)
	}
}

func (x *executorState) viewChanged(view scheduler.ExecutorView, warmupUntil float64) bool {
	return x.ejected != view.Ejected || view.Ejected && x.ejections != view.Ejections ||
		math.Abs(x.warmupUntil-warmupUntil) > warmupChangeMS
}

// needsRefresh returns whether an executor is ejected, warming up or draining and its record is due to be rewritten
// before it expires.
func (l *Ledger) needsRefresh(executor *executorState, warmupUntil float64) bool {
	mustNotExpire := executor.ejected || warmupUntil > 0 || executor.drainVersion > 0
	return mustNotExpire && l.now > executor.persistedAt+executorStateRefresh*executorStateTTLMS
}

// restoreExecutors passes the executor states from before the start to the scheduler: executors stay ejected until they
// have passed health checks, warm-ups continue, and drains that the first endpoint list does not contain stay in force.
func (l *Ledger) restoreExecutors() {
	ev := scheduler.Event{Kind: scheduler.StateRestored}
	for _, id := range l.executorIDs() {
		executor := l.executors[id]
		if executor.ejected || executor.warmupUntil > l.now || executor.drainVersion > 0 {
			ev.RestoredExecutors = append(ev.RestoredExecutors, scheduler.RestoredExecutor{
				Executor:    id,
				WarmupUntil: executor.warmupUntil - l.clockOffset,
				Ejected:     executor.ejected,
				Ejections:   executor.ejections,
				Draining:    executor.drainVersion > 0 && !executor.draining,
			})
		}
	}
	l.emit(Effect{Kind: RestoreState, SchedulerEvent: ev})
}

func (x *executorState) key() Key { return recordKey('e', strconv.FormatUint(uint64(x.id), 10)) }

func (l *Ledger) persistExecutor(executor *executorState) {
	executor.persistedAt = l.now
	w := l.newRecord(kindExecutor)
	w.number(fieldExecutor, float64(executor.id))
	w.text(fieldZone, executor.zone)
	w.number(fieldCell, float64(executor.cell))
	w.number(fieldWarmupUntil, executor.warmupUntil)
	w.flag(fieldEjected, executor.ejected)
	w.number(fieldEjections, float64(executor.ejections))
	w.number(fieldDrainVersion, float64(executor.drainVersion))
	w.number(fieldExecutorStartedAt, executor.startedAt)
	w.persist(executor.key(), clampMS(l.now+executorStateTTLMS))
}

func (l *Ledger) restoreExecutor(record *decodedRecord) {
	executor := &executorState{
		id:           uint32(record.number(fieldExecutor)),
		zone:         record.text(fieldZone),
		cell:         int64(record.number(fieldCell)),
		warmupUntil:  record.number(fieldWarmupUntil),
		ejected:      record.number(fieldEjected) != 0,
		ejections:    int(record.number(fieldEjections)),
		drainVersion: uint64(record.number(fieldDrainVersion)),
		startedAt:    record.number(fieldExecutorStartedAt),
		persistedAt:  record.number(fieldAt),
	}
	l.executors[executor.id] = executor
}
