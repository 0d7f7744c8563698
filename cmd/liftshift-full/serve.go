package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"liftshift/internal/assembly"
	"liftshift/internal/operatorconfig"
	"liftshift/internal/service"
)

func serveCommand(reload <-chan os.Signal) *cobra.Command {
	return &cobra.Command{
		Use:     "serve",
		Short:   "Run one controller",
		Long:    "Run one controller until SIGTERM or Ctrl-C, then stop as planned. SIGHUP makes it read its configuration again.",
		Example: "  RELAY_CONFIG=/run/balancer/config.json liftshift serve\n  RELAY_CONFIG=config.json liftshift serve --file office.hcl",
		Args:    args(0, 0),
		RunE:    func(cmd *cobra.Command, _ []string) error { return serve(cmd, reload) },
	}
}

func serve(cmd *cobra.Command, reload <-chan os.Signal) error {
	node, err := service.ReadConfig()
	if err != nil {
		return err
	}
	file, _ := cmd.Flags().GetString("file")
	beside, err := assembly.New(file)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log, flush := service.NewLog(os.Stderr)
	defer flush()
	return service.Run(ctx, node, beside, reload, log)
}

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check",
		Short: "Validate configurations",
		Long: "Validate the platform's configuration, if RELAY_CONFIG names one, and the operators' file, if --file or\n" +
			"LIFTSHIFT_FILE does. Each complaint names its place. Exit code 1: something is wrong.",
		Example: "  RELAY_CONFIG=config.json liftshift check --file office.hcl",
		Args:    args(0, 0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			var wrong []error
			looked := false
			if path := os.Getenv("RELAY_CONFIG"); path != "" {
				looked = true
				if _, err := service.ReadConfig(); err != nil {
					wrong = append(wrong, err)
				} else {
					fmt.Fprintln(cmd.OutOrStdout(), path+": good")
				}
			}
			if path, _ := cmd.Flags().GetString("file"); path != "" {
				looked = true
				if _, err := operatorconfig.Read(path); err != nil {
					wrong = append(wrong, err)
				} else {
					fmt.Fprintln(cmd.OutOrStdout(), path+": good")
				}
			}
			if !looked {
				return usage{errors.New("nothing to check: neither RELAY_CONFIG nor --file is given")}
			}
			return errors.Join(wrong...)
		},
	}
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  args(0, 0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			info, ok := debug.ReadBuildInfo()
			if !ok {
				return errors.New("built without build information")
			}
			revision, changed := "unknown", ""
			for _, s := range info.Settings {
				switch {
				case s.Key == "vcs.revision":
					revision = s.Value
				case s.Key == "vcs.modified" && s.Value == "true":
					changed = ", with changes"
				}
			}
			fmt.Fprintf(cmd.OutOrStdout(), "liftshift %s (commit %s%s, %s)\n", info.Main.Version, revision, changed, info.GoVersion)
			return nil
		},
	}
}
