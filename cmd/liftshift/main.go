// Command liftshift runs one controller.
//
// Without arguments it serves with the platform's configuration, the file that the environment variable RELAY_CONFIG
// names. It links only what this needs, to keep the process small. With any argument, or if LIFTSHIFT_FILE names an
// operators' file, it replaces itself with the program liftshift-full in the same directory.
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
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP) // before anything else: an unhandled SIGHUP ends the process
	signal.Ignore(syscall.SIGPIPE)        // a write to a log that nobody reads any more must not end the process
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

// execFull replaces this process with the full program. It returns only if that fails.
func execFull() error {
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	path := filepath.Join(filepath.Dir(executable), fullProgram)
	signal.Ignore(syscall.SIGHUP) // exec keeps it ignored until the full program installs its handler
	if err := syscall.Exec(path, os.Args, os.Environ()); err != nil {
		return fmt.Errorf("commands and LIFTSHIFT_FILE need the program %s: %w", path, err)
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
