package service

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// The times of a shutdown count from the earliest time at which its signal may have been sent, as the process is killed
// by that time. New connections are taken for as long as they may come if the signal was sent only when it was noticed.
func TestNewShutdownSchedule(t *testing.T) {
	for _, test := range []struct {
		name                         string
		stall, maxDeadline           time.Duration
		answersDue, drainFrom, endBy time.Duration // from when the signal was noticed
	}{
		{"no stall", 0, 200 * time.Millisecond, 600 * time.Millisecond, 700 * time.Millisecond, 750 * time.Millisecond},
		{"long deadlines", 0, 20 * time.Second, 3400 * time.Millisecond, 700 * time.Millisecond, 3550 * time.Millisecond},
		{"stall", 200 * time.Millisecond, 200 * time.Millisecond,
			400 * time.Millisecond, 500 * time.Millisecond, 550 * time.Millisecond},
		{"new connections outlast it", 500 * time.Millisecond, 200 * time.Millisecond,
			250 * time.Millisecond, 400 * time.Millisecond, 400 * time.Millisecond},
		{"stall with long deadlines", 2 * time.Second, 20 * time.Second,
			1400 * time.Millisecond, 400 * time.Millisecond, 1550 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			noticed := time.Now()
			schedule := newShutdownSchedule(stopRequest{noticed.Add(-test.stall), noticed}, test.maxDeadline)
			assert.Equal(t, test.answersDue, schedule.answersDue.Sub(noticed), "answers due")
			assert.Equal(t, test.drainFrom, schedule.drainFrom.Sub(noticed), "drain from")
			assert.Equal(t, test.endBy, schedule.endBy.Sub(noticed), "end by")
		})
	}
}
