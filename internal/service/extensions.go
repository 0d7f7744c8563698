package service

import (
	"github.com/sirupsen/logrus"

	"liftshift/internal/dispatch"
	"liftshift/internal/settings"
)

// Extensions are the parts of a controller that the operators' file configures. Package service does not import them,
// so that a program without them does not link them.
type Extensions interface {
	// Open is called with the name of this controller before the event loop runs. It may register extensions of the
	// loop.
	Open(
		name string, loop *dispatch.Loop, settings *settings.Settings, clock dispatch.Clock, log logrus.FieldLogger,
	) error
	// Start is called once the event loop runs, before any other event reaches it.
	Start()
	// Reload reads and validates the configuration of the extensions without changing anything. The function apply puts
	// that configuration into force and returns the names of the fields that only a restart puts into force.
	Reload(settings *settings.Settings) (apply func() []string, err error)
	// LogCounters logs the counters of the extensions.
	LogCounters()
	// ShutdownStarted is called when a graceful shutdown begins.
	ShutdownStarted()
	// Close is called after the event loop has ended.
	Close()
}

// NoExtensions implements Extensions for a controller without an operators' file.
type NoExtensions struct{}

// Open does nothing.
func (NoExtensions) Open(string, *dispatch.Loop, *settings.Settings, dispatch.Clock, logrus.FieldLogger) error {
	return nil
}

// Start does nothing.
func (NoExtensions) Start() {}

// Reload returns an apply function that changes nothing.
func (NoExtensions) Reload(*settings.Settings) (apply func() []string, err error) {
	return func() []string { return nil }, nil
}

// LogCounters does nothing.
func (NoExtensions) LogCounters() {}

// ShutdownStarted does nothing.
func (NoExtensions) ShutdownStarted() {}

// Close does nothing.
func (NoExtensions) Close() {}
