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
