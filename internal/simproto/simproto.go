// Package simproto implements the text protocol through which the simulator drives the scheduler. It turns the lines of
// the simulator into events of package scheduler, and the scheduler's actions into lines. The names of the protocol are
// used in this package only.
//
// A line is a tag and name=value fields, separated by tabs. The simulator sends batches of lines, each with the time of
// all its events. The reply to a batch has one line for each action, and ends with a line with the number of the batch.
package simproto

import (
	"fmt"

	"liftshift/scheduler"
)

// microsecondsPerMS converts the protocol's times, which are in microseconds, to milliseconds.
const microsecondsPerMS = 1000

// Host runs the scheduler instances that the lines of a batch are for. Instances are identified by number.
type Host interface {
	// StartInstance starts an instance with a seed for its random choices.
	StartInstance(instance int, seed uint64, settings scheduler.Settings) error
	// StopInstance stops an instance.
	StopInstance(instance int) error
	// HandleEvent passes an event to an instance at a time in milliseconds. The event is valid until HandleEvent returns.
	HandleEvent(instance int, now float64, event *scheduler.Event) error
}

// LineError is an error in a line of the input, or an error that the host returned for that line.
type LineError struct {
	Line int // number of the line; the first one is 1
	Err  error
}

// Error implements error.
func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns the error without the line number.
func (e *LineError) Unwrap() error { return e.Err }
