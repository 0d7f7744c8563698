package service

import (
	"reflect"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	reloadRetries       = 4 // of a configuration that could not be read: its file may still be being written
	reloadRetryInterval = 250 * time.Millisecond
)

// reload reads the configuration again. Where that fails, it sets the time of the next retry, if there are any left.
func (c *controller) reload(retries int) {
	c.retryReload = nil
	c.reloadRetriesLeft = 0
	if c.replaceConfig() || retries <= 0 {
		return
	}
	c.reloadRetriesLeft = retries
	c.retryReload = time.After(reloadRetryInterval)
}

// replaceConfig puts the configuration file into force, whole or not at all, and returns whether it did. Of the platform's side only
// the discovery address changes; the log names the other fields that differ.
func (c *controller) replaceConfig() bool {
	next, err := ReadConfig()
	var take func() []string
	if err == nil {
		take, err = c.extensions.Reload(next.settings)
	}
	if err != nil {
		c.log.WithField("error", err).Error("reload: not read, the old configuration stays in force")
		return false
	}
	c.discovery.Follow(next.Discovery)
	needsRestart := append(c.config.changedFields(next), take()...)
	c.log.WithFields(logrus.Fields{"changelog": next.Discovery, "needs_restart": needsRestart}).Info("reload: done")
	c.config = next
	return true
}

// changedFields returns the sorted names of the fields that differ and that only a restart puts into force. The endpoints known at
// the start and the seed are new in each file and not compared.
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
