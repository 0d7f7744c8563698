// Package testlog has loggers for tests.
package testlog

import (
	"io"

	"github.com/sirupsen/logrus"
)

// Discard returns a logger without output.
func Discard() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}
