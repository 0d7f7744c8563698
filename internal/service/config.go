// Package service starts the parts, keeps their limits and stops them.
package service

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"liftshift/internal/retry"
	"liftshift/internal/settings"
	"liftshift/internal/wire"
)

// readPatience is for how long a configuration is read again that can't be read for a moment.
const readPatience = time.Second

// Config is what a controller is told at its start.
type Config struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	Seed   string `json:"seed"`
	Limits struct {
		Cores    float64 `json:"cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	PeerListen string          `json:"peer_listen"`
	Peers      []string        `json:"peers"`
	AllPeers   string          `json:"peers_all"`
	Discovery  string          `json:"changelog"`
	Known      json.RawMessage `json:"known"`
	Settings   json.RawMessage `json:"settings"`

	seed     uint64
	settings *settings.Settings
}

// ReadConfig reads the configuration file whose path the environment names.
func ReadConfig() (*Config, error) {
	path := os.Getenv("RELAY_CONFIG")
	if path == "" {
		return nil, errors.New("RELAY_CONFIG names no configuration file")
	}
	text, err := readPatiently(path, os.ReadFile)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	n := &Config{}
	if err := json.Unmarshal(text, n); err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	if at := os.Getenv("RELAY_LISTEN"); n.Listen == "" {
		n.Listen = at
	}
	if err := n.check(); err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return n, nil
}

// readPatiently reads a file, and again where that fails for a moment.
func readPatiently(path string, read func(string) ([]byte, error)) (text []byte, err error) {
	err = retry.For(readPatience, func() error {
		text, err = read(path)
		return err
	}, append([]error{syscall.EIO}, retry.Momentary...)...)
	return text, err
}

// PlatformSettings returns the platform's settings in the program's terms.
func (n *Config) PlatformSettings() *settings.Settings { return n.settings }

func (n *Config) check() (err error) {
	for _, at := range []struct{ name, address string }{{"listen", n.Listen}, {"changelog", n.Discovery}} {
		if _, err := netip.ParseAddrPort(at.address); err != nil {
			return fmt.Errorf("%s is missing or no address: %q", at.name, at.address)
		}
	}
	if len(n.Known) == 0 {
		return errors.New("known is missing")
	}
	if len(n.Settings) == 0 {
		return errors.New("settings is missing")
	}
	if n.Limits.MemoryMB <= 0 || n.Limits.Sockets <= 0 {
		return errors.New("limits: memory_mb and sockets must be above 0")
	}
	if n.seed, err = strconv.ParseUint(n.Seed, 16, 64); err != nil {
		return fmt.Errorf("seed is not 16 hex digits: %q", n.Seed)
	}
	if n.settings, err = settings.Read(n.Settings); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	of := &n.settings.Scheduler
	if len(of.Classes) == 0 {
		return errors.New("settings: no request class")
	}
	// Parts of what all may send a cold executor add up only if nobody counts too few.
	of.Controllers = max(of.Controllers, len(n.Peers))
	of.NotifiedWithinMS = float64(toldWithin) / float64(time.Millisecond)
	return nil
}

// reload reads the configuration again, gives the one in force from then on, and whether that is what was read. It is taken
// whole or not at all. What moves is the change log; the rest is fixed at the start, and the log names what would need a restart.
func (n *Config) reload(feed *wire.DiscoveryClient, beside Extensions, log logrus.FieldLogger) (*Config, bool) {
	next, err := ReadConfig()
	var take func() []string
	if err == nil {
		take, err = beside.Reload(next.settings)
	}
	if err != nil {
		log.WithField("why", err).Error("reload: not read, the old configuration stays in force")
		return n, false
	}
	feed.Follow(next.Discovery)
	log.WithFields(logrus.Fields{"changelog": next.Discovery, "needs_restart": append(n.differs(next), take()...)}).Info("reload: done")
	return next, true
}

// differs names the fields that another configuration has otherwise and that only a restart heeds. The events known
// at the start and the seed are new in each file.
func (n *Config) differs(next *Config) []string {
	var names []string
	for name, same := range map[string]bool{"name": n.Name == next.Name, "listen": n.Listen == next.Listen,
		"limits": n.Limits == next.Limits, "peer_listen": n.PeerListen == next.PeerListen, "peers_all": n.AllPeers == next.AllPeers,
		"peers": slices.Equal(n.Peers, next.Peers), "settings": reflect.DeepEqual(n.settings, next.settings)} {
		if !same {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
