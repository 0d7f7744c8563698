package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"liftshift/internal/assembly"
	"liftshift/internal/service"
)

func serveCommand(reload <-chan os.Signal) *cobra.Command {
	return &cobra.Command{
		Use:   "serve",
		Short: "Run a controller",
		Long:  "Run a controller until SIGTERM or Ctrl-C, then shut it down gracefully. SIGHUP reloads its configuration.",
		Example: "  RELAY_CONFIG=/run/balancer/config.json liftshift serve\n" +
			"  RELAY_CONFIG=config.json liftshift serve --file office.hcl",
		Args: operandCount(0, 0),
		RunE: func(cmd *cobra.Command, _ []string) error { return serve(cmd, reload) },
	}
}

// serve runs a controller until SIGTERM or SIGINT.
func serve(cmd *cobra.Command, reload <-chan os.Signal) error {
	config, err := service.ReadConfig()
	if err != nil {
		return err
	}
	file, _ := cmd.Flags().GetString("file")
	extensions, err := assembly.New(file)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log, flush := service.NewLog(os.Stderr)
	defer flush()
	return service.Run(ctx, config, extensions, reload, log)
}
