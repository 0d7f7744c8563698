package scheduler

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestStates_HaveNames(t *testing.T) {
	for want, value := range map[string]fmt.Stringer{
		"cancelling":          requestCancelling,
		"unservable":          inputUnservable,
		"warming up":          executorWarmingUp,
		"probes answered":     inputProbesAnswered,
		"elsewhere":           sendElsewhere,
		"local failure":       LocalFailure,
		"waiting":             Waiting,
		"return request":      ReturnRequest,
		"unavailable":         ListUnavailable,
		"cell":                DedupCell,
		"idempotent":          Idempotent,
		"controllers counted": ControllersCounted,
		"unknown":             EventKind(200),
	} {
		assert.Equal(t, want, value.String(), "name of %T %d", value, value)
	}
}
