package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"liftshift/internal/chaostest"
)

func chaosCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use: "chaos FILE", Short: "Play a drill with several real controllers on this machine", Args: args(1, 1),
		Long: "Play a drill: several real controllers with test servers for executors, discovery and clients, on loopback, with the failures that\n" +
			"FILE (HCL) lists. What clients and executors saw is checked; a failed drill prints its seed and exits with 1.",
		Example: "  liftshift chaos deploy/drill.hcl --report drill.html",
		RunE: func(cmd *cobra.Command, operands []string) error {
			script, err := chaostest.ReadScript(operands[0])
			if err != nil {
				return err
			}
			if seed, _ := cmd.Flags().GetInt("seed"); seed != 0 {
				script.Seed = seed
			}
			self, err := os.Executable()
			if err != nil {
				return err
			}
			folder, err := os.MkdirTemp("", "chaos-")
			if err != nil {
				return err
			}
			defer os.RemoveAll(folder)
			o, err := chaostest.Play(script, filepath.Join(filepath.Dir(self), "liftshift"), folder, cmd.OutOrStdout())
			if err != nil {
				return err
			}
			if path, _ := cmd.Flags().GetString("report"); path != "" {
				file, err := os.Create(path)
				if err != nil {
					return err
				}
				if err := errors.Join(chaostest.Report(file, o), file.Close()); err != nil {
					return err
				}
			}
			if len(o.Violations) > 0 {
				fmt.Fprintf(cmd.OutOrStdout(), "again: liftshift chaos %s --seed %d\n", operands[0], o.Seed)
				return errFaulty
			}
			return nil
		},
	}
	cmd.Flags().Int("seed", 0, "play it with this seed")
	cmd.Flags().String("report", "", "write a report with plots (HTML)")
	return cmd
}
