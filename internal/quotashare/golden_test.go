package quotashare

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"liftshift/internal/goldenfile"
)

// TestGolden_ShareMessages guards the wire format of loan requests and loans.
func TestGolden_ShareMessages(t *testing.T) {
	borrower, lender := New(0, 2, 0, true, 0x0123456789abcdef), New(0, 2, 1, true, 7)
	request := borrower.Tick(10000, 1, true)
	require.Len(t, request, 1)
	assert.Equal(t, -1, request[0].To)
	lender.Tick(10000, 0.1, false)
	answer := lender.HandleMessage(10000, 0, goldenfile.Compare(t, "ask.bin", request[0].Data))
	require.Len(t, answer, 1)
	assert.Equal(t, 0, answer[0].To)
	borrower.HandleMessage(10001, 1, goldenfile.Compare(t, "loan.bin", answer[0].Data))
	assert.Equal(t, []float64{0.7, 0.3}, []float64{borrower.Share(10001), lender.Share(10001)})
}
