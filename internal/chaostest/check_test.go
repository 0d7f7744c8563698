package chaostest

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"liftshift/internal/testservers"
)

// Check and RunsAfterDrain accept valid histories and report each kind of violation.
func TestCheck_ReportsViolations(t *testing.T) {
	at := time.Now()
	newRun := func(id, key string) testservers.Run { return testservers.Run{ID: id, IdempotencyKey: key, At: at} }
	assert.Empty(t, Check([]SentRequest{{ID: "1", Class: classIdempotent, Result: ResultHandled}},
		[]testservers.Run{newRun("1", "")}, 1), "a request that was handled and ran once is no violation")
	drained := map[string]time.Time{"s-1": at}
	assert.Empty(t, RunsAfterDrain([]testservers.Run{
		{ID: "1", Executor: "s-1", At: at.Add(time.Millisecond)},
		{ID: "2", Executor: "s-2", At: at.Add(time.Hour)},
	}, drained), "runs within the drain grace, and on an executor that does not drain, are no violations")
	assert.NotEmpty(t, RunsAfterDrain([]testservers.Run{{ID: "1", Executor: "s-1", At: at.Add(time.Second)}}, drained),
		"a run past the drain grace is reported")
	for name, test := range map[string]struct {
		sent []SentRequest
		runs []testservers.Run
	}{
		"two replies to one request": {
			[]SentRequest{
				{ID: "1", Class: classIdempotent, Result: ResultRejected},
				{ID: "1", Class: classIdempotent, Result: ResultRejected},
			},
			nil,
		},
		"idempotency key ran twice": {
			[]SentRequest{{ID: "1", Class: classKeyed, IdempotencyKey: "m", Result: ResultHandled}},
			[]testservers.Run{newRun("1", "m"), newRun("2", "m")},
		},
		"non-idempotent request ran twice": {
			[]SentRequest{{ID: "1", Class: classNonIdempotent, Result: ResultDisconnected}},
			[]testservers.Run{newRun("1", ""), newRun("1", "")},
		},
		"handled request never ran": {
			[]SentRequest{{ID: "1", Class: classIdempotent, Result: ResultHandled}},
			nil,
		},
		"rejected non-idempotent request ran": {
			[]SentRequest{{ID: "1", Class: classNonIdempotent, Result: ResultRejected}},
			[]testservers.Run{newRun("1", "")},
		},
		"more attempts than the retry budget": {
			[]SentRequest{{ID: "1", Class: classIdempotent, Result: ResultHandled}},
			[]testservers.Run{newRun("1", ""), newRun("1", ""), newRun("1", ""), newRun("1", ""), newRun("1", "")},
		},
	} {
		assert.NotEmpty(t, Check(test.sent, test.runs, 1), "not reported: %s", name)
	}
}
