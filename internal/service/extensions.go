package service

import (
	"github.com/sirupsen/logrus"

	"liftshift/internal/dispatch"
	"liftshift/internal/settings"
)

// Extensions is what an installation has besides the platform's side. Package service knows nothing of it, so that where it is
// not wanted it is not even in the program.
type Extensions interface {
	// Open is called before the desk runs, with this controller's name, and may give it a memory.
	Open(name string, d *dispatch.Loop, settings *settings.Settings, clock dispatch.Clock, log logrus.FieldLogger) error
	// Start is called when the desk runs and has been told nothing yet.
	Start()
	// Reload reads again what belongs to it and changes nothing; take makes it count, and names what needs a restart.
	Reload(settings *settings.Settings) (take func() []string, err error)
	// LogCounters logs its counters.
	LogCounters()
	// ShutdownStarted is called when a planned stop begins.
	ShutdownStarted()
	// Close is called at the end, when the desk has ended.
	Close()
}

// NoExtensions is an installation that has nothing besides the platform's side.
type NoExtensions struct{}

// Open does nothing, as all of these.
func (NoExtensions) Open(string, *dispatch.Loop, *settings.Settings, dispatch.Clock, logrus.FieldLogger) error {
	return nil
}

// Start does nothing.
func (NoExtensions) Start() {}

// Reload finds nothing.
func (NoExtensions) Reload(*settings.Settings) (func() []string, error) {
	return func() []string { return nil }, nil
}

// LogCounters does nothing.
func (NoExtensions) LogCounters() {}

// ShutdownStarted does nothing.
func (NoExtensions) ShutdownStarted() {}

// Close does nothing.
func (NoExtensions) Close() {}
