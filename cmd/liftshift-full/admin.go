package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/user"

	"github.com/spf13/cobra"

	"liftshift/internal/adminapi"
	"liftshift/internal/operatorconfig"
)

// withControlFlags adds the flags of commands that talk to a running controller.
func withControlFlags(cmd *cobra.Command) *cobra.Command {
	cmd.PersistentFlags().String("socket", "", "the controller's control socket")
	cmd.PersistentFlags().Bool("json", false, "print JSON")
	return cmd
}

// groupCommand returns a command that only has subcommands. Without one it is a usage error, as it takes at least one
// and at most no operand.
func groupCommand(use, short string) *cobra.Command {
	return &cobra.Command{
		Use:   use,
		Short: short,
		Args:  operandCount(1, 0),
		RunE:  func(*cobra.Command, []string) error { return nil },
	}
}

// call calls an operation of the controller whose control socket --socket or the operators' file names.
func call[Reply any](cmd *cobra.Command, operation string, request any) (Reply, error) {
	var none Reply
	path, err := socketPath(cmd)
	if err != nil {
		return none, err
	}
	reply, err := adminapi.Ask[Reply](cmd.Context(), path, operation, request)
	var requestError adminapi.RequestError
	if errors.As(err, &requestError) {
		return none, usageError{err}
	}
	return reply, err
}

// socketPath returns the path of the control socket, from --socket or else from the operators' file.
func socketPath(cmd *cobra.Command) (string, error) {
	if path, _ := cmd.Flags().GetString("socket"); path != "" {
		return path, nil
	}
	name, _ := cmd.Flags().GetString("file")
	if name == "" {
		return "", usageError{errors.New("no controller given: use --socket, or --file with a block control")}
	}
	file, err := operatorconfig.Read(name)
	if err != nil {
		return "", err
	}
	if file.ControlSocket == "" {
		return "", usageError{fmt.Errorf("%s has no block control", name)}
	}
	return file.ControlSocket, nil
}

// runAndPrint returns the run function of a command that calls an operation without arguments and prints the reply.
func runAndPrint[Reply any](operation string, printText func(io.Writer, Reply)) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, _ []string) error {
		return callAndPrint(cmd, operation, adminapi.Empty{}, printText)
	}
}

// callAndPrint calls an operation and prints the reply.
func callAndPrint[Reply any](
	cmd *cobra.Command, operation string, request any, printText func(io.Writer, Reply),
) error {
	reply, err := call[Reply](cmd, operation, request)
	if err != nil {
		return err
	}
	return printReply(cmd, reply, printText)
}

// printReply prints a reply as JSON with --json, and by printText without.
func printReply[Reply any](cmd *cobra.Command, reply Reply, printText func(io.Writer, Reply)) error {
	if asJSON, _ := cmd.Flags().GetBool("json"); asJSON {
		return printJSON(cmd.OutOrStdout(), adminapi.Describe(reply))
	}
	printText(cmd.OutOrStdout(), reply)
	return nil
}

// currentUser returns the name of the user who runs the command, which controllers record as the author of orders.
func currentUser() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// isTerminal reports whether standard output is a terminal.
func isTerminal() bool {
	info, err := os.Stdout.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// clearTerminal clears the screen and moves the cursor to its top left corner.
func clearTerminal(out io.Writer) { fmt.Fprint(out, "\x1b[H\x1b[2J") }
