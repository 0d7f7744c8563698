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

// readRetryTimeout bounds the retries of a read of the configuration file that fails with a transient error.
const readRetryTimeout = time.Second

// Config is the configuration of a controller, as the platform writes it.
type Config struct {
	Name   string `json:"name"`
	Listen string `json:"listen"` // address for clients; RELAY_LISTEN if empty
	Seed   string `json:"seed"`   // of the random numbers, 16 hex digits
	Limits struct {
		Cores    float64 `json:"cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	PeerListen       string          `json:"peer_listen"` // address for datagrams of other controllers; may be empty
	Peers            []string        `json:"peers"`       // addresses of all controllers, by number
	AllPeers         string          `json:"peers_all"`   // address that reaches every controller; may be empty
	DiscoveryAddress string          `json:"changelog"`
	InitialList      json.RawMessage `json:"known"` // changes of the endpoint list known at the start
	Settings         json.RawMessage `json:"settings"`

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

// readWithRetries reads a file, and retries after transient errors.
func readWithRetries(path string, read func(string) ([]byte, error)) (text []byte, err error) {
	err = retry.Do(readRetryTimeout, func() error {
		text, err = read(path)
		return err
	}, append([]error{syscall.EIO}, retry.Transient...)...)
	return text, err
}

// validate checks the fields and sets those that are derived from them.
func (c *Config) validate() (err error) {
	for _, field := range []struct{ name, address string }{{"listen", c.Listen}, {"changelog", c.DiscoveryAddress}} {
		if _, err := netip.ParseAddrPort(field.address); err != nil {
			return fmt.Errorf("%s is missing or not an IP address with a port: %q", field.name, field.address)
		}
	}
	if len(c.InitialList) == 0 {
		return errors.New("known is missing")
	}
	if len(c.Settings) == 0 {
		return errors.New("settings is missing")
	}
	if c.Limits.MemoryMB <= 0 || c.Limits.Sockets <= 0 {
		return fmt.Errorf("limits: memory_mb and sockets must be above 0, got %v and %d",
			c.Limits.MemoryMB, c.Limits.Sockets)
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
		return errors.New("settings: Classes has no request class")
	}
	// Each controller sends a warming-up executor at most the controller's share of the executor's warm-up budget. The
	// shares add up to no more than the budget only if no controller assumes too few controllers.
	c.settings.Scheduler.Controllers = max(c.settings.Scheduler.Controllers, len(c.Peers))
	c.settings.Scheduler.PresumedNotifiedAfterMS = float64(listPropagationTime) / float64(time.Millisecond)
	return nil
}
