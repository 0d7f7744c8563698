package main

import (
	"errors"
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  operandCount(0, 0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			info, ok := debug.ReadBuildInfo()
			if !ok {
				return errors.New("version: the program has no build information")
			}
			revision, changed := "unknown", ""
			for _, setting := range info.Settings {
				switch {
				case setting.Key == "vcs.revision":
					revision = setting.Value
				case setting.Key == "vcs.modified" && setting.Value == "true":
					changed = ", with changes"
				}
			}
			fmt.Fprintf(cmd.OutOrStdout(), "liftshift %s (commit %s%s, %s)\n",
				info.Main.Version, revision, changed, info.GoVersion)
			return nil
		},
	}
}
