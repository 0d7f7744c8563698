package quota

import "liftshift/scheduler"

// Settings are what a tree goes by.
type Settings struct {
	Controllers int // that share the installation
	Classes     []scheduler.RequestClass
	AgeMS       float64 // of waiting, past which the oldest requests get a share of their own
}

// DefaultSettings returns what holds where the operators say nothing.
func DefaultSettings() Settings { return Settings{Controllers: 1, AgeMS: usualAge} }
