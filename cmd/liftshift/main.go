// Command liftshift is one controller. Without arguments it serves with the platform's configuration, which RELAY_CONFIG names, and
// contains nothing else: what the platform does not use costs it no memory. With any argument, or where LIFTSHIFT_FILE names an
// operators' file, it replaces itself by the program liftshift-full in the same folder.
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

const fullProgram = "liftshift-full"

func main() {
	reload := make(chan os.Signal, 1) // first of all: unhandled, SIGHUP would end the process
	signal.Notify(reload, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE) // the reader of the log may go: that must not end the process
	var err error
	if len(os.Args) > 1 || os.Getenv("LIFTSHIFT_FILE") != "" {
		err = execFull()
	} else {
		err = serve(reload)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "liftshift:", err)
		os.Exit(1)
	}
}

// execFull replaces this program by the full one, under the same process id.
func execFull() error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	path := filepath.Join(filepath.Dir(self), fullProgram)
	signal.Ignore(syscall.SIGHUP) // stays ignored until the other program handles it
	if err := syscall.Exec(path, os.Args, os.Environ()); err != nil {
		return fmt.Errorf("commands and the operators' file need %s beside this program: %w", fullProgram, err)
	}
	return nil
}

// serve runs a controller until SIGTERM or SIGINT.
func serve(reload <-chan os.Signal) error {
	config, err := service.ReadConfig()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log, flush := service.NewLog(os.Stderr)
	defer flush()
	return service.Run(ctx, config, service.NoExtensions{}, reload, log)
}
