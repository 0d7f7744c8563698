package service

import (
	"github.com/sirupsen/logrus"

	"liftshift/internal/dispatch"
	"liftshift/scheduler"
)

// Beside is what an installation has besides the platform's side. Package service knows nothing of it, so that where it is
// not wanted it is not even in the program.
type Beside interface {
	// Open is called before the desk runs, with this controller's name, and may give it a memory.
	Open(name string, d *dispatch.Desk, given scheduler.Given, clock dispatch.Clock, log logrus.FieldLogger) error
	// Begin is called when the desk runs and has been told nothing yet.
	Begin()
	// Reread reads again what belongs to it and changes nothing; take makes it count, and names what needs a restart.
	Reread(given scheduler.Given) (take func() []string, err error)
	// Count logs its counters.
	Count()
	// Stopping is called when a planned stop begins.
	Stopping()
	// Close is called at the end, when the desk has ended.
	Close()
}

// Nothing is an installation that has nothing besides the platform's side.
type Nothing struct{}

// Open does nothing, as all of these.
func (Nothing) Open(string, *dispatch.Desk, scheduler.Given, dispatch.Clock, logrus.FieldLogger) error {
	return nil
}

// Begin does nothing.
func (Nothing) Begin() {}

// Reread finds nothing.
func (Nothing) Reread(scheduler.Given) (func() []string, error) {
	return func() []string { return nil }, nil
}

// Count does nothing.
func (Nothing) Count() {}

// Stopping does nothing.
func (Nothing) Stopping() {}

// Close does nothing.
func (Nothing) Close() {}
