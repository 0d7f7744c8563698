package main

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"liftshift/internal/adminapi"
)

func zonesCommand() *cobra.Command {
	cmd := withSocket(group("zones", "See and steer what goes from one zone to another"))
	cmd.AddCommand(
		&cobra.Command{Use: "show", Short: "How zones stand, what may go where, and this controller's part of it", Args: args(0, 0),
			Example: "  liftshift zones show --file office.hcl", RunE: showReply(adminapi.QuestionLocality, zonesTable)},
		&cobra.Command{Use: "explain", Short: "Why the latest plan is as it is, line by line, at the controller that leads", Args: args(0, 0),
			Example: "  liftshift zones explain --file office.hcl", RunE: showReply(adminapi.QuestionLocality, planExplanation)},
		&cobra.Command{Use: "plan ZONE", Short: "What if a zone, or a region, were lost now", Args: args(1, 1),
			Example: "  liftshift zones plan kurume-2 --file office.hcl",
			RunE: func(cmd *cobra.Command, operands []string) error {
				request := adminapi.ZoneRequest{Zone: operands[0]}
				return askAndShow(cmd, adminapi.QuestionZoneWhatIf, request, func(out io.Writer, reply adminapi.LinesReply) {
					printLines(out, reply.Lines)
				})
			}},
		zoneOrderCommand("evacuate", "30m", "Have nothing new go to a zone, for a time",
			"  liftshift zones evacuate kurume-2 --for 45m --why \"new switches\" --file office.hcl"),
		zoneOrderCommand("hold", "30m", "Have a zone's recovery not go on, for a time", "  liftshift zones hold kurume-2 --for 10m --file office.hcl"),
		zoneOrderCommand("return", "", "End an evacuation or a hold; a lost zone that is in reach begins its recovery",
			"  liftshift zones return kurume-2 --file office.hcl"))
	return cmd
}

func zoneOrderCommand(kind, usual, short, example string) *cobra.Command {
	cmd := &cobra.Command{Use: kind + " ZONE", Short: short, Args: args(1, 1), Example: example,
		RunE: func(cmd *cobra.Command, operands []string) error {
			request := adminapi.ZoneOrderRequest{Kind: kind, Zone: operands[0], Author: author()}
			request.For, _ = cmd.Flags().GetString("for")
			request.Reason, _ = cmd.Flags().GetString("why")
			reply, err := ask[adminapi.ZoneOrderReply](cmd, adminapi.QuestionZoneOrder, request)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "asked for, until %s; see: liftshift zones show\n", reply.Until)
			return nil
		}}
	cmd.Flags().String("for", usual, "how long the order holds")
	cmd.Flags().String("why", "", "why, for those who look later")
	return cmd
}

func printLines(out io.Writer, lines []string) {
	for _, line := range lines {
		fmt.Fprintln(out, line)
	}
}

func planExplanation(out io.Writer, reply adminapi.LocalityReply) {
	printLines(out, reply.Explanations)
	if len(reply.Explanations) == 0 {
		fmt.Fprintf(out, "this controller makes no plans; %s leads\n", reply.Leader)
	}
}

func zonesTable(out io.Writer, reply adminapi.LocalityReply) {
	fmt.Fprintf(out, "plan %d; %s leads the consensus group; this controller holds its lease: %v\n", reply.Plan, reply.Leader, reply.LeaseHeld)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "zone\tregion\tstate\tstage\tcores\tcontrollers\treason")
	for _, z := range reply.Zones {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%v\t%d\t%s\n", z.Name, z.Region, z.State, z.Stage, z.Cores, z.Controllers, z.Reason)
	}
	_ = w.Flush()
	for _, p := range reply.Pairs {
		fmt.Fprintf(out, "from %s to %s: %v threads at most, in %d shares\n", p.From, p.To, p.Cap, p.Shares)
	}
	for _, r := range reply.Reaches {
		fmt.Fprintf(out, "from here to %s (tier %d): %v threads at most\n", r.Zone, r.Tier, r.Threads)
	}
	for _, r := range reply.Reports {
		fmt.Fprintf(out, "%s: %d controllers report, their requests demand %v threads\n", r.Zone, r.Observers, r.DemandThreads)
	}
	for _, o := range reply.Orders {
		fmt.Fprintf(out, "order: %s %s until %s, by %s %s\n", o.Kind, o.Zone, o.Until, o.Author, o.Reason)
	}
}
