package service

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"syscall"
	"time"

	"liftshift/internal/retry"
	"liftshift/internal/settings"
)

// readPatience is for how long a configuration is read again that can't be read for a moment.
const readRetryTime = time.Second

// Config is the configuration of a controller, as the platform writes it.
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

// ReadConfig reads and validates the configuration file that the environment variable RELAY_CONFIG names.
func ReadConfig() (*Config, error) {
	path := os.Getenv("RELAY_CONFIG")
	if path == "" {
		return nil, errors.New("RELAY_CONFIG names no configuration file")
	}
	text, err := readWithRetries(path, os.ReadFile)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	c := &Config{}
	if err := json.Unmarshal(text, c); err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	if c.Listen == "" {
		c.Listen = os.Getenv("RELAY_LISTEN")
	}
	if err := c.validate(); err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return c, nil
}

// readWithRetries reads a file, and again after transient errors.
func readWithRetries(path string, read func(string) ([]byte, error)) (text []byte, err error) {
	err = retry.Do(readRetryTime, func() error {
		text, err = read(path)
		return err
	}, append([]error{syscall.EIO}, retry.Transient...)...)
	return text, err
}

// PlatformSettings returns the platform's settings, typed and validated.
func (c *Config) PlatformSettings() *settings.Settings { return c.settings }

// validate checks the fields and completes what is derived from them.
func (c *Config) validate() (err error) {
	for _, field := range []struct{ name, address string }{{"listen", c.Listen}, {"changelog", c.Discovery}} {
		if _, err := netip.ParseAddrPort(field.address); err != nil {
			return fmt.Errorf("%s is missing or no address: %q", field.name, field.address)
		}
	}
	if len(c.Known) == 0 {
		return errors.New("known is missing")
	}
	if len(c.Settings) == 0 {
		return errors.New("settings is missing")
	}
	if c.Limits.MemoryMB <= 0 || c.Limits.Sockets <= 0 {
		return errors.New("limits: memory_mb and sockets must be above 0")
	}
	c.seed, err = strconv.ParseUint(c.Seed, 16, 64)
	if err != nil {
		return fmt.Errorf("seed is not 16 hex digits: %q", c.Seed)
	}
	c.settings, err = settings.Read(c.Settings)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if len(c.settings.Scheduler.Classes) == 0 {
		return errors.New("settings: no request class")
	}
	// Controllers share what a warming-up executor may get: the shares add up only if none counts too few controllers.
	c.settings.Scheduler.Controllers = max(c.settings.Scheduler.Controllers, len(c.Peers))
	c.settings.Scheduler.NotifiedWithinMS = float64(notifiedWithin) / float64(time.Millisecond)
	return nil
}
