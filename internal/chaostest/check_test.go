package chaostest

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"liftshift/internal/testservers"
)

// The checks report what they must.
func TestCheck_ReportsViolations(t *testing.T) {
	at := time.Now()
	run := func(id, key string) testservers.Run { return testservers.Run{ID: id, IdempotencyKey: key, At: at} }
	assert.Empty(t, Check([]SentRequest{{ID: "1", Class: classIdempotent, Result: ResultHandled}}, []testservers.Run{run("1", "")}, 1))
	drained := map[string]time.Time{"s-1": at}
	assert.Empty(t, RunsAfterDrain([]testservers.Run{{ID: "1", Executor: "s-1", At: at.Add(time.Millisecond)}, {ID: "2", Executor: "s-2", At: at.Add(time.Hour)}}, drained))
	assert.NotEmpty(t, RunsAfterDrain([]testservers.Run{{ID: "1", Executor: "s-1", At: at.Add(time.Second)}}, drained), "a drain that is not kept")
	for name, c := range map[string]struct {
		sent []SentRequest
		runs []testservers.Run
	}{
		"two replies":            {[]SentRequest{{ID: "1", Class: classIdempotent, Result: ResultRejected}, {ID: "1", Class: classIdempotent, Result: ResultRejected}}, nil},
		"a key twice":            {[]SentRequest{{ID: "1", Class: classKeyed, IdempotencyKey: "m", Result: ResultHandled}}, []testservers.Run{run("1", "m"), run("2", "m")}},
		"non-idempotent, twice":  {[]SentRequest{{ID: "1", Class: classNonIdempotent, Result: ResultDisconnected}}, []testservers.Run{run("1", ""), run("1", "")}},
		"handled and never ran":  {[]SentRequest{{ID: "1", Class: classIdempotent, Result: ResultHandled}}, nil},
		"rejected though it ran": {[]SentRequest{{ID: "1", Class: classNonIdempotent, Result: ResultRejected}}, []testservers.Run{run("1", "")}},
		"past the retry budget": {[]SentRequest{{ID: "1", Class: classIdempotent, Result: ResultHandled}},
			[]testservers.Run{run("1", ""), run("1", ""), run("1", ""), run("1", ""), run("1", "")}},
	} {
		assert.NotEmpty(t, Check(c.sent, c.runs, 1), name)
	}
}
