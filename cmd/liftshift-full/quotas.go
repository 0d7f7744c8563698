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

// shortestView is the shortest time between two views of a command that repeats them.
const shortestView = 100 * time.Millisecond

func quotasCommand() *cobra.Command {
	cmd := withSocket(group("quotas", "See and set the quotas of a running controller"))
	cmd.AddCommand(
		&cobra.Command{Use: "show", Short: "Who has what, and who borrows from whom", Args: args(0, 0),
			Example: "  liftshift quotas show --file office.hcl", RunE: showReply(adminapi.QuestionQuotas, teamTable)},
		&cobra.Command{Use: "explain REQ", Short: "Say why a request waits", Args: args(1, 1),
			Example: "  liftshift quotas explain 9b1f03aa5c7e2d41 --file office.hcl",
			RunE: func(cmd *cobra.Command, operands []string) error {
				request := adminapi.QueueExplainRequest{ID: operands[0]}
				return askAndShow(cmd, adminapi.QuestionQueueExplain, request, func(out io.Writer, reply adminapi.QueueExplainReply) {
					fmt.Fprintln(out, reply.Reason)
				})
			}},
		setQuotaCommand())
	return cmd
}

func setQuotaCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use: "set TEAM", Short: "Change a team's limits; with a store they last", Args: args(1, 1),
		Example: "  liftshift quotas set render --weight 2 --file office.hcl\n  liftshift quotas set render --requests 20 --socket /run/liftshift.sock",
	}
	request := adminapi.SetQuotaRequest{}
	limits := map[string]**float64{"weight": &request.Weight, "ceiling": &request.Ceiling, "threads": &request.Threads,
		"memory-mb": &request.MemoryMB, "requests": &request.Requests, "searches": &request.Requests, "queue": &request.Queue}
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
			return usageError{errors.New("nothing to set: see the flags")}
		}
		request.Team, request.Author = operands[0], author()
		reply, err := ask[adminapi.SetQuotaReply](cmd, adminapi.QuestionSetQuota, request)
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

func teamTable(out io.Writer, reply adminapi.QuotasReply) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "team\tqueued\tin flight\tthreads\tfair share\tborrows\tlends\tcapped\toldest ms\twork ms\tblocked by\t")
	for _, t := range reply.Teams {
		fmt.Fprintf(w, "%s\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%d\t%.0f\t%.0f\t%s\t\n", t.Name, t.Queued, t.InFlight, t.Threads, t.FairShare,
			t.Borrows, t.Lends, t.Capped, t.OldestMS, t.WorkMS, t.Blocked)
	}
	_ = w.Flush()
	fmt.Fprintf(out, "queued %d, offered %d, for age %d, overdue %d, overflow %d, of no known team %d; longest wait %.0f ms; share %.2f\n",
		reply.Queued, reply.Offered, reply.Aged, reply.Overdue, reply.Overflow, reply.Unknown, reply.LongestMS, reply.Share)
}

func waitsCommand() *cobra.Command {
	return withSocket(&cobra.Command{
		Use: "waits", Short: "Show how well the waits told to clients hold", Args: args(0, 0),
		Example: "  liftshift waits --file office.hcl",
		RunE:    showReply(adminapi.QuestionWaits, waitsTable),
	})
}

func waitsTable(out io.Writer, reply adminapi.WaitsReply) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "team\tclass\tstarts told\twithin\tends told\twithin\t")
	for _, a := range reply.Waits {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t\n", a.Team, a.Class, a.Starts, a.StartsWithin, a.Ends, a.EndsWithin)
	}
	_ = w.Flush()
}

func topCommand() *cobra.Command {
	cmd := withSocket(&cobra.Command{
		Use: "top", Short: "Watch the quotas of a running controller", Args: args(0, 0),
		Long:    "Watch the quotas: on a terminal the view is drawn anew, into a pipe it goes on line by line.",
		Example: "  liftshift top --file office.hcl\n  liftshift top --every 10s --times 6 --file office.hcl > teams.txt",
		RunE:    top,
	})
	cmd.Flags().Duration("every", time.Second, "time between two views")
	cmd.Flags().Int("times", 0, "how many views; 0: until Ctrl-C")
	return cmd
}

func top(cmd *cobra.Command, _ []string) error {
	every, _ := cmd.Flags().GetDuration("every")
	times, _ := cmd.Flags().GetInt("times")
	if every < shortestView {
		return usageError{fmt.Errorf("--every must be %v at least", shortestView)}
	}
	for n := 0; times == 0 || n < times; n++ {
		if n > 0 {
			time.Sleep(every)
		}
		reply, err := ask[adminapi.QuotasReply](cmd, adminapi.QuestionQuotas, adminapi.Empty{})
		if err != nil {
			return err
		}
		if isTerminal() {
			clearTerminal(cmd.OutOrStdout())
		}
		fmt.Fprintln(cmd.OutOrStdout(), time.Now().Format(time.TimeOnly))
		if err := show(cmd, reply, teamTable); err != nil {
			return err
		}
	}
	return nil
}
