// Command liftshift is one controller on sockets. Called plainly it serves, with the platform's configuration that
// RELAY_CONFIG names, and has nothing else in it: what the platform does not use costs it no memory. With any argument, or
// where LIFTSHIFT_FILE names an operators' file, it becomes liftshift-full, which stands beside it.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"liftshift/internal/service"
)

const full = "liftshift-full"

func main() {
	reload := make(chan os.Signal, 1) // first of all: unheeded, SIGHUP would end the process
	signal.Notify(reload, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE) // whoever reads the log may go: that must not end the process
	var err error
	if len(os.Args) > 1 || os.Getenv("LIFTSHIFT_FILE") != "" {
		err = become()
	} else {
		err = serve(reload)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "liftshift:", err)
		os.Exit(1)
	}
}

// become goes on as the full program, under the same process number.
func become() error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	path := filepath.Join(filepath.Dir(self), full)
	signal.Ignore(syscall.SIGHUP) // stays so until the other listens
	if err := syscall.Exec(path, os.Args, os.Environ()); err != nil {
		return fmt.Errorf("commands and the operators' file need %s beside this program: %w", full, err)
	}
	return nil
}

func serve(reload <-chan os.Signal) error {
	node, err := service.ReadConfig()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log, flush := service.NewLog(os.Stderr)
	defer flush()
	return service.Run(ctx, node, service.NoExtensions{}, reload, log)
}
