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

// withSocket gives a command the flags of those that ask a running controller.
func withSocket(cmd *cobra.Command) *cobra.Command {
	cmd.PersistentFlags().String("socket", "", "the controller's control socket")
	cmd.PersistentFlags().Bool("json", false, "print JSON")
	return cmd
}

// group makes a command that only holds others.
func group(use, short string) *cobra.Command {
	return &cobra.Command{Use: use, Short: short, Args: args(1, 0), RunE: func(*cobra.Command, []string) error { return nil }}
}

// ask asks the controller whose socket --socket or the operators' file names.
func ask[Reply any](cmd *cobra.Command, question string, request any) (Reply, error) {
	var none Reply
	path, err := socketPath(cmd)
	if err != nil {
		return none, err
	}
	reply, err := adminapi.Ask[Reply](cmd.Context(), path, question, request)
	var wrong adminapi.RequestError
	if errors.As(err, &wrong) {
		return none, usageError{err}
	}
	return reply, err
}

func socketPath(cmd *cobra.Command) (string, error) {
	if path, _ := cmd.Flags().GetString("socket"); path != "" {
		return path, nil
	}
	name, _ := cmd.Flags().GetString("file")
	if name == "" {
		return "", usageError{errors.New("which controller? give --socket, or --file with a block control")}
	}
	file, err := operatorconfig.Read(name)
	if err != nil {
		return "", err
	}
	if file.Control == "" {
		return "", usageError{fmt.Errorf("%s has no block control", name)}
	}
	return file.Control, nil
}

// showReply makes the run function of a command that asks a question without fields and prints the reply.
func showReply[Reply any](question string, table func(io.Writer, Reply)) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, _ []string) error { return askAndShow(cmd, question, adminapi.Empty{}, table) }
}

// askAndShow asks a question and prints the reply, as JSON or by a table.
func askAndShow[Reply any](cmd *cobra.Command, question string, request any, table func(io.Writer, Reply)) error {
	reply, err := ask[Reply](cmd, question, request)
	if err != nil {
		return err
	}
	return show(cmd, reply, table)
}

func show[Reply any](cmd *cobra.Command, reply Reply, table func(io.Writer, Reply)) error {
	if asJSON, _ := cmd.Flags().GetBool("json"); asJSON {
		return printJSON(cmd.OutOrStdout(), adminapi.Describe(reply))
	}
	table(cmd.OutOrStdout(), reply)
	return nil
}

// author is who gives an order.
func author() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// isTerminal tells whether standard output is one.
func isTerminal() bool {
	info, err := os.Stdout.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// clearTerminal has the next view drawn anew.
func clearTerminal(out io.Writer) { fmt.Fprint(out, "\x1b[H\x1b[2J") }
