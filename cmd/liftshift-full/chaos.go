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
		Use:   "chaos FILE",
		Short: "Run a fault drill with several controllers on this machine",
		Long: "Run a fault drill: several controllers with test servers for executors, discovery and clients, on\n" +
			"loopback, with the faults that FILE (HCL) lists. What clients and executors saw is checked; a failed drill\n" +
			"prints its seed and exits with 1.",
		Example: "  liftshift chaos deploy/drill.hcl --report drill.html",
		Args:    operandCount(1, 1),
		RunE: func(cmd *cobra.Command, operands []string) error {
			script, err := chaostest.ReadScript(operands[0])
			if err != nil {
				return err
			}
			if seed, _ := cmd.Flags().GetInt("seed"); seed != 0 {
				script.Seed = seed
			}
			executable, err := os.Executable()
			if err != nil {
				return err
			}
			directory, err := os.MkdirTemp("", "chaos-")
			if err != nil {
				return err
			}
			defer os.RemoveAll(directory)
			program := filepath.Join(filepath.Dir(executable), "liftshift")
			result, err := chaostest.Play(script, program, directory, cmd.OutOrStdout())
			if err != nil {
				return err
			}
			if path, _ := cmd.Flags().GetString("report"); path != "" {
				file, err := os.Create(path)
				if err != nil {
					return err
				}
				if err := errors.Join(chaostest.Report(file, result), file.Close()); err != nil {
					return err
				}
			}
			if len(result.Violations) > 0 {
				fmt.Fprintf(cmd.OutOrStdout(), "again: liftshift chaos %s --seed %d\n", operands[0], result.Seed)
				return errReported
			}
			return nil
		},
	}
	cmd.Flags().Int("seed", 0, "random seed; 0: the seed of FILE, or else a new one")
	cmd.Flags().String("report", "", "write an HTML report with plots to this file")
	return cmd
}
