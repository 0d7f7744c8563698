// Command liftshift-full is the whole program: one controller on sockets with all that an installation may have besides the
// platform's side, and the operators' tools. It finds the platform's configuration by RELAY_CONFIG, and the operators' own
// file by --file or LIFTSHIFT_FILE. The program liftshift becomes this one where it has to.
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
	exitFault = 1 // it failed, or something was found faulty
	exitUsage = 2
)

// errFaulty ends a command whose output has said already what is wrong.
var errFaulty = errors.New("found faulty")

func main() {
	reload := make(chan os.Signal, 1) // first of all: unheeded, SIGHUP would end the process
	signal.Notify(reload, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE) // whoever reads the log may go: that must not end the process
	cmd := root(reload)
	cmd.SetArgs(renameDeprecated(os.Args[1:], os.Stderr))
	os.Exit(exitOf(cmd.Execute()))
}

// usageError is an error in how a command was called.
type usageError struct{ error }

func exitOf(err error) int {
	var wrong usageError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &wrong):
		fmt.Fprintln(os.Stderr, "liftshift:", err, "(see --help)")
		return exitUsage
	case !errors.Is(err, errFaulty):
		fmt.Fprintln(os.Stderr, "liftshift:", err)
	}
	return exitFault
}

// args lets a command take from min to max operands.
func args(min, max int) cobra.PositionalArgs {
	return func(cmd *cobra.Command, operands []string) error {
		if len(operands) < min || len(operands) > max {
			return usageError{fmt.Errorf("%s: %d arguments, wanted %s", cmd.CommandPath(), len(operands), cmd.Use)}
		}
		return nil
	}
}

func root(reload <-chan os.Signal) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "liftshift",
		Short: "A workload manager before analytic engines",
		Long: "liftshift is one controller: it takes requests from clients, chooses the executor and the level of each attempt, and\n" +
			"gives every request one final answer. Without a command it serves, as `liftshift serve` does.",
		Example:       "  RELAY_CONFIG=deploy/example.json liftshift\n  liftshift check --file deploy/office.hcl\n  liftshift store inspect /var/lib/liftshift",
		Args:          args(0, 0),
		SilenceErrors: true, SilenceUsage: true,
	}
	cmd.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	cmd.PersistentFlags().String("file", os.Getenv(operatorconfig.PathVariable), "the operators' own file (HCL); without one nothing of it is on")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error { return serve(cmd, reload) }
	cmd.AddCommand(serveCommand(reload), checkCommand(), versionCommand(), storeCommand(), quotasCommand(), waitsCommand(), topCommand(),
		membersCommand(), consensusCommand(), handoffCommand(), zonesCommand(), chaosCommand())
	return cmd
}
