package main

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"liftshift/internal/operatorconfig"
	"liftshift/internal/service"
)

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check",
		Short: "Validate configurations",
		Long: "Validate the platform's configuration, if RELAY_CONFIG names one, and the operators' file, if --file or\n" +
			"LIFTSHIFT_FILE does. Errors in the operators' file name their position. Exit code 1: a file is invalid.",
		Example: "  RELAY_CONFIG=config.json liftshift check --file office.hcl",
		Args:    operandCount(0, 0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			var problems []error
			checked := false
			if path := os.Getenv("RELAY_CONFIG"); path != "" {
				checked = true
				if _, err := service.ReadConfig(); err != nil {
					problems = append(problems, err)
				} else {
					fmt.Fprintln(cmd.OutOrStdout(), path+": good")
				}
			}
			if path, _ := cmd.Flags().GetString("file"); path != "" {
				checked = true
				if file, err := operatorconfig.Read(path); err != nil {
					problems = append(problems, err)
				} else {
					fmt.Fprintln(cmd.OutOrStdout(), path+": good")
					if len(file.Deprecated) > 0 {
						fmt.Fprintf(cmd.ErrOrStderr(), "liftshift: %s uses deprecated names: %s\n",
							path, strings.Join(file.Deprecated, ", "))
					}
				}
			}
			if !checked {
				return usageError{errors.New("nothing to check: neither RELAY_CONFIG nor --file is given")}
			}
			return errors.Join(problems...)
		},
	}
}
