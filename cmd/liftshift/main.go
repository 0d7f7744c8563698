// Command liftshift is one controller on sockets. It finds its configuration by RELAY_CONFIG.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"liftshift/internal/service"
)

func main() {
	reload := make(chan os.Signal, 1) // first of all: unheeded, SIGHUP would end the process
	signal.Notify(reload, syscall.SIGHUP)
	node, err := service.ReadNode()
	if err == nil {
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		log, flush := service.NewLog(os.Stderr)
		err = service.Run(ctx, node, reload, log)
		flush()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "liftshift:", err)
		os.Exit(1)
	}
}
