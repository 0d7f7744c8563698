package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// runCommand returns the command with which the deploy file starts a controller.
func runCommand() (string, error) {
	file, err := os.Open(filepath.Join("deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		name, value, found := strings.Cut(lines.Text(), "=")
		if !found || strings.TrimSpace(name) != "run" {
			continue
		}
		parts := strings.Split(value, `"`)
		if len(parts) < 3 {
			return "", errors.New("deploy/balancer.toml: run is not a quoted text")
		}
		return parts[1], nil
	}
	return "", errors.New("deploy/balancer.toml has no key run")
}

// controller is one process of the project's program.
type controller struct {
	name    string
	listen  string
	config  string // path of the platform's configuration
	operate string // path of the operators' file; empty: none
	logPath string

	mu     sync.Mutex
	closed bool // it is not started any more
	cmd    *exec.Cmd
	exited chan struct{}
}

// start starts the process by the deploy file's command. The shell replaces itself by the program, so signals to the
// process reach the program.
func (c *controller) start() error {
	command, err := runCommand()
	if err != nil {
		return err
	}
	logFile, err := os.OpenFile(c.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close()
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Env = append(os.Environ(), "RELAY_NAME="+c.name, "RELAY_LISTEN="+c.listen, "RELAY_CONFIG="+c.config)
	if c.operate != "" {
		cmd.Env = append(cmd.Env, "LIFTSHIFT_FILE="+c.operate)
	}
	cmd.Stdout, cmd.Stderr = logFile, logFile
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return fmt.Errorf("%s is closed", c.name)
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	c.cmd, c.exited = cmd, exited
	go func() {
		defer close(exited)
		_ = cmd.Wait()
	}()
	return nil
}

// process returns the running process and what is closed at its end, or nil.
func (c *controller) process() (*os.Process, chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cmd == nil {
		return nil, nil
	}
	return c.cmd.Process, c.exited
}

// end ends the process, if it runs, and keeps it from being started again.
func (c *controller) end() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.kill()
}

// running reports whether the process has been started and has not ended.
func (c *controller) running() bool {
	_, exited := c.process()
	if exited == nil {
		return false
	}
	select {
	case <-exited:
		return false
	default:
		return true
	}
}

// signal sends a signal to the process.
func (c *controller) signal(s syscall.Signal) {
	if c.running() {
		process, _ := c.process()
		_ = process.Signal(s)
	}
}

// kill ends the process without notice, also a stopped one, and waits until it has ended.
func (c *controller) kill() {
	if !c.running() {
		return
	}
	process, exited := c.process()
	_ = process.Kill()
	<-exited
}

// waitReady waits until the controller answers the method probe with fit.
func (c *controller) waitReady(within time.Duration) error {
	for start := time.Now(); time.Since(start) < within; time.Sleep(20 * time.Millisecond) {
		if !c.running() {
			return fmt.Errorf("%s has ended, see %s", c.name, c.logPath)
		}
		if probe(c.listen) {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready within %v", c.name, within)
}

// freeAddress returns a loopback address that is free for TCP and UDP at the moment. Its port is below those that the
// system takes for outgoing connections, so that none of them takes it while a controller is away.
func freeAddress() (string, error) {
	for range 50 {
		address := fmt.Sprintf("127.0.0.1:%d", 10000+rand.IntN(20000))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		packets, err := net.ListenPacket("udp", address)
		_ = listener.Close()
		if err != nil {
			continue
		}
		_ = packets.Close()
		return address, nil
	}
	return "", errors.New("no free loopback address")
}
