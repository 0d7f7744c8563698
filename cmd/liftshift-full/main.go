// Command liftshift-full is the whole program: a controller with all its optional features, and the operators' tools.
// The environment variable RELAY_CONFIG names the platform's configuration; the flag --file or LIFTSHIFT_FILE names the
// operators' file. The program liftshift replaces itself with this one where it needs more than a plain controller.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"liftshift/internal/operatorconfig"
)

// Exit codes.
const (
	exitFailure = 1 // the command failed, or found a problem
	exitUsage   = 2
)

// errReported ends a command that has already printed what is wrong.
var errReported = errors.New("problem reported")

func main() {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP) // before anything else: an unhandled SIGHUP ends the process
	signal.Ignore(syscall.SIGPIPE)        // a write to a log that nobody reads any more must not end the process
	cmd := rootCommand(reload)
	cmd.SetArgs(renameDeprecated(os.Args[1:], os.Stderr))
	os.Exit(exitCode(cmd.Execute()))
}

// usageError is an error in how a command was called.
type usageError struct{ error }

// exitCode prints an error, unless that was done already, and returns the exit code for it.
func exitCode(err error) int {
	var usage usageError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &usage):
		fmt.Fprintln(os.Stderr, "liftshift:", err, "(see --help)")
		return exitUsage
	case !errors.Is(err, errReported):
		fmt.Fprintln(os.Stderr, "liftshift:", err)
	}
	return exitFailure
}

// operandCount limits the number of operands of a command.
func operandCount(min, max int) cobra.PositionalArgs {
	return func(cmd *cobra.Command, operands []string) error {
		if len(operands) < min || len(operands) > max {
			return usageError{fmt.Errorf("%s: got %d arguments, expected: %s", cmd.CommandPath(), len(operands), cmd.Use)}
		}
		return nil
	}
}

func rootCommand(reload <-chan os.Signal) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "liftshift",
		Short: "A workload manager before analytic engines",
		Long: "liftshift is one controller: it takes requests from clients, chooses the executor and the level of each\n" +
			"attempt, and gives every request one final answer. Without a command it serves, as `liftshift serve` does.",
		Example: "  RELAY_CONFIG=deploy/example.json liftshift\n" +
			"  liftshift check --file deploy/office.hcl\n" +
			"  liftshift store inspect /var/lib/liftshift",
		Args:          operandCount(0, 0),
		SilenceErrors: true, SilenceUsage: true,
	}
	cmd.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	cmd.PersistentFlags().String("file", os.Getenv(operatorconfig.PathVariable),
		"the operators' file (HCL); without it, all features that it configures are off")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error { return serve(cmd, reload) }
	cmd.AddCommand(
		serveCommand(reload),
		checkCommand(),
		versionCommand(),
		storeCommand(),
		quotasCommand(),
		waitsCommand(),
		topCommand(),
		membersCommand(),
		consensusCommand(),
		handoffCommand(),
		zonesCommand(),
		chaosCommand(),
	)
	return cmd
}
