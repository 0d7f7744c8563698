// Package simproto reads and writes the text lines through which the simulator drives the scheduler. The names of that protocol
// end here: what leaves this package are events of package scheduler, and what enters are its actions. It decides nothing.
//
// A line is a tag and name=value fields, separated by tabs. The simulator sends batches of lines that carry one time; the answer
// to a batch are the actions, one a line, and the number of the batch.
package simproto

import (
	"fmt"

	"liftshift/scheduler"
)

// usPerMS is the unit of time of the protocol: microseconds.
const usPerMS = 1000

// Host runs the instances that batches are for.
type Host interface {
	// StartInstance starts an instance.
	StartInstance(instance int, seed uint64, settings scheduler.Settings) error
	// StopInstance ends an instance.
	StopInstance(instance int) error
	// HandleEvent hands an event to an instance. The event is valid until HandleEvent returns.
	HandleEvent(instance int, now float64, ev *scheduler.Event) error
}

// LineError is an error in a line of the input, or of the host at that line.
type LineError struct {
	Line int // from 1
	Err  error
}

// Error implements error.
func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns the error of the line.
func (e *LineError) Unwrap() error { return e.Err }
