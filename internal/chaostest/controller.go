package chaostest

import (
	"bytes"
	"fmt"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Controller is one controller process with its files.
type Controller struct {
	Name          string
	ClientAddress string // where clients connect
	ControlSocket string
	Directory     string
	env           []string
	cmd           *exec.Cmd     // nil: it does not run
	exited        chan struct{} // closed at the end of cmd

	mu  sync.Mutex
	log bytes.Buffer
}

func (c *Controller) nodeFile() string       { return filepath.Join(c.Directory, "node.json") }
func (c *Controller) operatorFile() string   { return filepath.Join(c.Directory, "office.hcl") }
func (c *Controller) diskFile() string       { return filepath.Join(c.Directory, "disk") }
func (c *Controller) storeDirectory() string { return filepath.Join(c.Directory, "store") }

// Write appends to the log of the controller; its process writes there.
func (c *Controller) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.log.Write(b)
}

// Log returns what the controller has logged so far.
func (c *Controller) Log() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.log.String()
}

// Running reports whether the controller was started and not ended since.
func (c *Controller) Running() bool { return c.cmd != nil }

func (c *Controller) start(program string) error {
	if c.Running() {
		return fmt.Errorf("%s runs already", c.Name)
	}
	cmd := exec.Command(program)
	cmd.Env, cmd.Stderr = c.env, c
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

func (c *Controller) kill() {
	if !c.Running() {
		return
	}
	_ = c.cmd.Process.Kill()
	<-c.exited
	c.cmd = nil
}

func (c *Controller) terminate() (exitCode int) {
	if !c.Running() {
		return -1
	}
	_ = c.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-c.exited:
	case <-time.After(terminateTimeout):
		_ = c.cmd.Process.Kill()
		<-c.exited
	}
	exitCode = c.cmd.ProcessState.ExitCode()
	c.cmd = nil
	return exitCode
}
