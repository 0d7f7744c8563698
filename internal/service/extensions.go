package service

import (
	"github.com/sirupsen/logrus"

	"liftshift/internal/dispatch"
	"liftshift/internal/settings"
)

// Extensions is what a controller has besides the platform's side. Package service does not import it, so that a program that does
// not want it does not contain it.
type Extensions interface {
	// Open is called before the loop runs, with this controller's name, and may register extensions of the loop.
	Open(name string, loop *dispatch.Loop, settings *settings.Settings, clock dispatch.Clock, log logrus.FieldLogger) error
	// Start is called when the loop runs and has no events yet.
	Start()
	// Reload reads the extensions' configuration again and changes nothing; take puts it into force and returns the names of what
	// needs a restart.
	Reload(settings *settings.Settings) (take func() []string, err error)
	// LogCounters logs the extensions' counters.
	LogCounters()
	// ShutdownStarted is called when a graceful shutdown begins.
	ShutdownStarted()
	// Close is called at the end, when the loop has ended.
	Close()
}

// NoExtensions implements Extensions for a controller that has only the platform's side.
type NoExtensions struct{}

// Open does nothing.
func (NoExtensions) Open(string, *dispatch.Loop, *settings.Settings, dispatch.Clock, logrus.FieldLogger) error {
	return nil
}

// Start does nothing.
func (NoExtensions) Start() {}

// Reload finds nothing to reload.
func (NoExtensions) Reload(*settings.Settings) (func() []string, error) {
	return func() []string { return nil }, nil
}

// LogCounters does nothing.
func (NoExtensions) LogCounters() {}

// ShutdownStarted does nothing.
func (NoExtensions) ShutdownStarted() {}

// Close does nothing.
func (NoExtensions) Close() {}
