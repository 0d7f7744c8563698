package service

import (
	"reflect"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

// A reload that fails is retried, because the configuration file may still be being written.
const (
	reloadRetries       = 4
	reloadRetryInterval = 250 * time.Millisecond
)

// reload replaces the configuration. If that fails and retries are left, it schedules the next one.
func (c *controller) reload(retries int) {
	c.reloadRetryTimer = nil
	c.reloadRetriesLeft = 0
	if c.replaceConfig() || retries <= 0 {
		return
	}
	c.reloadRetriesLeft = retries
	c.reloadRetryTimer = time.After(reloadRetryInterval)
}

// replaceConfig puts the configuration file into force, or nothing of it if any part is invalid, and returns whether it
// did. Of the platform's configuration only the discovery address changes; the log names the other fields that differ.
func (c *controller) replaceConfig() bool {
	next, err := ReadConfig()
	var applyExtensions func() []string
	if err == nil {
		applyExtensions, err = c.extensions.Reload(next.settings)
	}
	if err != nil {
		c.log.WithField("error", err).Error("reload: not read, the old configuration stays in force")
		return false
	}
	c.discovery.SetAddress(next.DiscoveryAddress)
	needsRestart := append(c.config.changedFields(next), applyExtensions()...)
	c.log.WithFields(logrus.Fields{
		"changelog":     next.DiscoveryAddress,
		"needs_restart": needsRestart,
	}).Info("reload: done")
	c.config = next
	return true
}

// changedFields returns the sorted names of the fields that differ and that only a restart puts into force. It does not
// compare the initial endpoint list and the seed, which differ in every file.
func (c *Config) changedFields(next *Config) []string {
	var names []string
	for name, same := range map[string]bool{
		"name":        c.Name == next.Name,
		"listen":      c.Listen == next.Listen,
		"limits":      c.Limits == next.Limits,
		"peer_listen": c.PeerListen == next.PeerListen,
		"peers_all":   c.AllPeers == next.AllPeers,
		"peers":       slices.Equal(c.Peers, next.Peers),
		"settings":    reflect.DeepEqual(c.settings, next.settings),
	} {
		if !same {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
