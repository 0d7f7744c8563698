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

// Controller is a controller process and the files that it uses.
type Controller struct {
	Name string
	// ClientAddress is where the controller accepts the connections of clients.
	ClientAddress string
	ControlSocket string
	// Directory holds the files of the controller.
	Directory string
	env       []string
	// cmd is the running process; nil if the controller is not running.
	cmd *exec.Cmd
	// exited is closed when cmd has ended.
	exited chan struct{}

	mu  sync.Mutex
	log bytes.Buffer
}

func (c *Controller) nodeFile() string       { return filepath.Join(c.Directory, "node.json") }
func (c *Controller) operatorFile() string   { return filepath.Join(c.Directory, "office.hcl") }
func (c *Controller) diskFile() string       { return filepath.Join(c.Directory, "disk") }
func (c *Controller) storeDirectory() string { return filepath.Join(c.Directory, "store") }

// Write appends to the log of the controller. The standard error of its process is written here.
func (c *Controller) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.log.Write(b)
}

// Log returns everything that the controller has logged, over all its starts.
func (c *Controller) Log() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.log.String()
}

// Running reports whether the controller has been started and has not been stopped or killed since.
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
