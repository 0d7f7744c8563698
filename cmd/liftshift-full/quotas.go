package main

import (
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"liftshift/internal/adminapi"
)

// minRefreshInterval is the shortest time between two views of a command that repeats them.
const minRefreshInterval = 100 * time.Millisecond

func quotasCommand() *cobra.Command {
	cmd := withControlFlags(groupCommand("quotas", "Show and set the quotas of a running controller"))
	cmd.AddCommand(
		&cobra.Command{
			Use:     "show",
			Short:   "Show what each team uses, borrows and lends",
			Example: "  liftshift quotas show --file office.hcl",
			Args:    operandCount(0, 0),
			RunE:    runAndPrint(adminapi.OperationQuotas, printTeams),
		},
		&cobra.Command{
			Use:     "explain REQ",
			Short:   "Show why a request is still queued",
			Example: "  liftshift quotas explain 9b1f03aa5c7e2d41 --file office.hcl",
			Args:    operandCount(1, 1),
			RunE: func(cmd *cobra.Command, operands []string) error {
				request := adminapi.QueueExplainRequest{ID: operands[0]}
				return callAndPrint(cmd, adminapi.OperationQueueExplain, request, printQueueReason)
			},
		},
		setQuotaCommand(),
	)
	return cmd
}

func printQueueReason(out io.Writer, reply adminapi.QueueExplainReply) {
	fmt.Fprintln(out, reply.Reason)
}

func setQuotaCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "set TEAM",
		Short: "Change a team's limits; with a store, the change survives a restart",
		Example: "  liftshift quotas set render --weight 2 --file office.hcl\n" +
			"  liftshift quotas set render --requests 20 --socket /run/liftshift.sock",
		Args: operandCount(1, 1),
	}
	request := adminapi.SetQuotaRequest{}
	limits := map[string]**float64{
		"weight":    &request.Weight,
		"ceiling":   &request.Ceiling,
		"threads":   &request.Threads,
		"memory-mb": &request.MemoryMB,
		"requests":  &request.Requests,
		"searches":  &request.Requests,
		"queue":     &request.Queue,
	}
	for name := range limits {
		cmd.Flags().Float64(name, 0, "new "+name)
	}
	_ = cmd.Flags().MarkDeprecated("searches", "use --requests")
	cmd.RunE = func(cmd *cobra.Command, operands []string) error {
		changed := 0
		for name, limit := range limits {
			if !cmd.Flags().Changed(name) {
				continue
			}
			value, _ := cmd.Flags().GetFloat64(name)
			*limit = &value
			changed++
		}
		if changed == 0 {
			return usageError{errors.New("nothing to set: give at least one limit, such as --weight")}
		}
		request.Team, request.Author = operands[0], currentUser()
		reply, err := call[adminapi.SetQuotaReply](cmd, adminapi.OperationSetQuota, request)
		if err != nil {
			return err
		}
		if reply.Lasts {
			fmt.Fprintln(cmd.OutOrStdout(), "set; it lasts")
		} else {
			fmt.Fprintln(cmd.OutOrStdout(), "set; it will not last through a restart, as there is no store")
		}
		return nil
	}
	return cmd
}

func printTeams(out io.Writer, reply adminapi.QuotasReply) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "team\tqueued\tin flight\tthreads\tfair share\tborrows\tlends\t"+
		"capped\toldest ms\twork ms\tblocked by\t")
	for _, team := range reply.Teams {
		fmt.Fprintf(table, "%s\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%d\t%.0f\t%.0f\t%s\t\n",
			team.Name, team.Queued, team.InFlight, team.Threads, team.FairShare,
			team.Borrows, team.Lends, team.Capped, team.OldestMS, team.WorkMS, team.Blocked)
	}
	_ = table.Flush()
	fmt.Fprintf(out, "queued %d, offered %d, for age %d, overdue %d, overflow %d, of no known team %d; "+
		"longest wait %.0f ms; share %.2f\n",
		reply.Queued, reply.Offered, reply.Aged, reply.Overdue, reply.Overflow, reply.Unknown,
		reply.LongestMS, reply.Share)
}

func waitsCommand() *cobra.Command {
	return withControlFlags(&cobra.Command{
		Use:     "waits",
		Short:   "Show the accuracy of the wait estimates given to clients",
		Example: "  liftshift waits --file office.hcl",
		Args:    operandCount(0, 0),
		RunE:    runAndPrint(adminapi.OperationWaits, printWaits),
	})
}

func printWaits(out io.Writer, reply adminapi.WaitsReply) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "team\tclass\tstarts told\twithin\tends told\twithin\t")
	for _, accuracy := range reply.Waits {
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t\n", accuracy.Team, accuracy.Class,
			accuracy.Starts, accuracy.StartsWithin, accuracy.Ends, accuracy.EndsWithin)
	}
	_ = table.Flush()
}

func topCommand() *cobra.Command {
	cmd := withControlFlags(&cobra.Command{
		Use:   "top",
		Short: "Watch the quotas of a running controller",
		Long:  "Watch the quotas of a running controller: the view is redrawn on a terminal, and appended to a pipe.",
		Example: "  liftshift top --file office.hcl\n" +
			"  liftshift top --every 10s --times 6 --file office.hcl > teams.txt",
		Args: operandCount(0, 0),
		RunE: watchQuotas,
	})
	cmd.Flags().Duration("every", time.Second, "time between two views")
	cmd.Flags().Int("times", 0, "number of views; 0: until Ctrl-C")
	return cmd
}

func watchQuotas(cmd *cobra.Command, _ []string) error {
	interval, _ := cmd.Flags().GetDuration("every")
	times, _ := cmd.Flags().GetInt("times")
	if interval < minRefreshInterval {
		return usageError{fmt.Errorf("--every must be at least %v", minRefreshInterval)}
	}
	for n := 0; times == 0 || n < times; n++ {
		if n > 0 {
			time.Sleep(interval)
		}
		reply, err := call[adminapi.QuotasReply](cmd, adminapi.OperationQuotas, adminapi.Empty{})
		if err != nil {
			return err
		}
		if isTerminal() {
			clearTerminal(cmd.OutOrStdout())
		}
		fmt.Fprintln(cmd.OutOrStdout(), time.Now().Format(time.TimeOnly))
		if err := printReply(cmd, reply, printTeams); err != nil {
			return err
		}
	}
	return nil
}
