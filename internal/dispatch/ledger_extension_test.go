package dispatch

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"liftshift/internal/ledger"
	"liftshift/internal/testlog"
	"liftshift/scheduler"
)

// recordingLedger is a RequestLedger that keeps the records of its ledger.
type recordingLedger struct {
	*ledger.Ledger
	records map[ledger.Key]ledger.Effect
}

// newRecordingLedger returns a ledger that has recovered from the given records.
func newRecordingLedger(settings ledger.Settings, now float64, records map[ledger.Key]ledger.Effect) *recordingLedger {
	l := &recordingLedger{ledger.New(settings), records}
	for key, record := range records {
		l.Ledger.Step(0, &ledger.Event{Kind: ledger.RecordRead, Key: key, Expires: record.Expires, Value: record.Value})
	}
	l.Step(now, &ledger.Event{Kind: ledger.RecoveryDone, Clocks: ledger.Clocks{WallMS: now, UptimeMS: now, BootID: "b"}})
	return l
}

func (l *recordingLedger) Step(now float64, event *ledger.Event) []ledger.Effect {
	effects := l.Ledger.Step(now, event)
	for _, effect := range effects {
		if effect.Kind == ledger.Persist {
			effect.Value = append([]byte(nil), effect.Value...)
			l.records[effect.Key] = effect
		}
	}
	return effects
}

// dedupSettings returns the settings of a scheduler and a ledger with one keyed class whose repeats the executors of
// one scope drop.
func dedupSettings(scope scheduler.DedupScope) (scheduler.Settings, ledger.Settings) {
	class := scheduler.RequestClass{
		Name:          "load",
		Idempotency:   scheduler.Keyed,
		DedupScope:    scope,
		DedupWindowMS: 5000,
		DeadlineMS:    20000,

		SoftDeadlineMS: 20000,
		Value:          1,
		LateValueShare: 0.5,
		Threads:        1,
	}
	settings := scheduler.DefaultSettings()
	settings.Kinds = []scheduler.ExecutorKind{{Name: "std", Cores: 8, MemoryMB: 16000}}
	settings.Classes = []scheduler.RequestClass{class}
	recorded := ledger.DefaultSettings()
	recorded.Classes = settings.Classes
	return settings, recorded
}

// listChanged returns the event of a changed entry of the endpoint list.
func listChanged(kind scheduler.ListKind, endpoints ...scheduler.Endpoint) QueueItem {
	return QueueItem{Event: scheduler.Event{Kind: scheduler.EndpointsUpdated, List: kind, Endpoints: endpoints}}
}

// A keyed attempt that starts in the very step of a new endpoint list was recorded with the zone and cell of an earlier
// list. After a crash the key was sent to that group and ran twice.
func TestLedgerExtension_RecordsWhereExecutorOfNewListRuns(t *testing.T) {
	endpoint := func(executor uint32, availability scheduler.Availability, zone string, cell int64) scheduler.Endpoint {
		return scheduler.Endpoint{Executor: executor, Availability: availability, Zone: zone, Kind: "std", Cell: cell}
	}
	for name, c := range map[string]struct {
		before, joins scheduler.Endpoint
	}{
		"first executor":          {endpoint(1, scheduler.Removed, "", 0), endpoint(2, scheduler.Active, "room-2", 2)},
		"while another is full":   {endpoint(1, scheduler.Active, "room-1", 1), endpoint(2, scheduler.Active, "room-2", 2)},
		"known from another zone": {endpoint(1, scheduler.Draining, "room-1", 1), endpoint(1, scheduler.Active, "room-2", 2)},
	} {
		for _, scope := range []scheduler.DedupScope{scheduler.DedupZone, scheduler.DedupCell} {
			t.Run(name+", "+scope.String(), func(t *testing.T) {
				settings, recorded := dedupSettings(scope)
				transport := &fakeTransport{}
				loop := New(NewClock(), scheduler.New(7, settings), testlog.Discard())
				loop.Executors = transport
				written := newRecordingLedger(recorded, loop.clock.Now(), map[ledger.Key]ledger.Effect{})
				loop.Register(LedgerExtension(written))
				loop.process(listChanged(scheduler.ListRestored, c.before))
				request := newRequest(loop, transport)
				request.Class, request.IdempotencyKey, request.Deadline = "load", "key", loop.clock.Now()+20000
				loop.openCount.Add(1)
				loop.process(requestArrived(request))
				sentBefore := len(transport.sent)
				if sentBefore > 0 {
					loop.process(attemptEnded(scheduler.Overloaded))
				}
				loop.process(listChanged(scheduler.ListDelta, c.joins))
				require.Len(t, transport.sent, sentBefore+1, "the request starts in the step of the list")
				assert.Equal(t, c.joins.Location(), transport.sent[sentBefore].Target)

				now := loop.clock.Now() + 1000
				restarted := newRecordingLedger(recorded, now, written.records)
				prior := priorOf(t, restarted, now, "key")
				assert.Equal(t, []any{"room-2", int64(2)}, []any{prior.Zone, prior.Cell})
			})
		}
	}
}

// Guards against keys that run in two zones: an attempt that another process may have got, which took the address of its
// executor, was recorded with the executor's zone. After a crash, or once its request had failed, the key was sent there.
func TestLedgerExtension_KeySentInDoubtIsNotSentAgain(t *testing.T) {
	for scope, want := range map[scheduler.DedupScope]ledger.EffectKind{
		scheduler.DedupZone: ledger.AnswerFromRecord,
		scheduler.DedupCell: ledger.AnswerFromRecord,
		scheduler.DedupAll:  ledger.Admit, // any executor drops the repeat
	} {
		t.Run(scope.String(), func(t *testing.T) {
			settings, recorded := dedupSettings(scope)
			settings.PresumedNotifiedAfterMS = 7000
			transport := &fakeTransport{}
			loop := New(NewClock(), scheduler.New(7, settings), testlog.Discard())
			loop.Executors = transport
			written := newRecordingLedger(recorded, loop.clock.Now(), map[ledger.Key]ledger.Effect{})
			loop.Register(LedgerExtension(written))
			loop.process(listChanged(scheduler.ListRestored, scheduler.Endpoint{Executor: 1, Zone: "room-1", Kind: "std", Cell: 1}))
			loop.process(QueueItem{Event: scheduler.Event{Kind: scheduler.LastConnectionLost, Executor: 1}})
			request := newRequest(loop, transport)
			request.Class, request.IdempotencyKey, request.Deadline = "load", "key", loop.clock.Now()+20000
			loop.openCount.Add(1)
			loop.process(requestArrived(request))
			require.Len(t, transport.sent, 1)

			now := loop.clock.Now() + 1000
			restarted := newRecordingLedger(recorded, now, written.records)
			effects := restarted.Step(now, &ledger.Event{
				Kind: ledger.RequestReceived, ID: "b", IdempotencyKey: "key", Class: "load", Deadline: now + 5000,
			})
			require.NotEmpty(t, effects)
			assert.Equal(t, want, effects[0].Kind)
			if want == ledger.AnswerFromRecord {
				assert.Equal(t, ledger.Failed, effects[0].Outcome)
			}
		})
	}
}

// priorOf returns the attempt that a ledger knows of when it receives another request with an idempotency key.
func priorOf(t *testing.T, l *recordingLedger, now float64, key string) scheduler.PriorAttempt {
	effects := l.Step(now, &ledger.Event{
		Kind: ledger.RequestReceived, ID: "b", IdempotencyKey: key, Class: "load", Deadline: now + 5000,
	})
	require.NotEmpty(t, effects)
	require.Equal(t, ledger.Admit, effects[0].Kind)
	return effects[0].Prior
}
