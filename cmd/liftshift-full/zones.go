package main

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"liftshift/internal/adminapi"
)

func zonesCommand() *cobra.Command {
	cmd := withControlFlags(groupCommand("zones", "Show and control what controllers send to other zones"))
	cmd.AddCommand(
		&cobra.Command{
			Use:     "show",
			Short:   "Show the state of the zones, the plan between them and this controller's part in it",
			Example: "  liftshift zones show --file office.hcl",
			Args:    operandCount(0, 0),
			RunE:    runAndPrint(adminapi.OperationLocality, printZones),
		},
		&cobra.Command{
			Use:     "explain",
			Short:   "Show the reasons for the latest plan; only the leader of the consensus group has them",
			Example: "  liftshift zones explain --file office.hcl",
			Args:    operandCount(0, 0),
			RunE:    runAndPrint(adminapi.OperationLocality, printPlanExplanation),
		},
		&cobra.Command{
			Use:     "plan ZONE",
			Short:   "Show the plan that would follow if a zone or a region were lost now",
			Example: "  liftshift zones plan kurume-2 --file office.hcl",
			Args:    operandCount(1, 1),
			RunE: func(cmd *cobra.Command, operands []string) error {
				request := adminapi.ZoneRequest{Zone: operands[0]}
				return callAndPrint(cmd, adminapi.OperationZoneWhatIf, request, printWhatIf)
			},
		},
		zoneOrderCommand("evacuate", "30m", "Send no new requests to a zone for a time",
			"  liftshift zones evacuate kurume-2 --for 45m --why \"new switches\" --file office.hcl"),
		zoneOrderCommand("hold", "30m", "Pause a zone's recovery for a time",
			"  liftshift zones hold kurume-2 --for 10m --file office.hcl"),
		zoneOrderCommand("return", "", "End an evacuation or a hold; a lost zone that is reachable begins its recovery",
			"  liftshift zones return kurume-2 --file office.hcl"),
	)
	return cmd
}

// zoneOrderCommand returns a command that gives an order of a kind about a zone.
func zoneOrderCommand(kind, defaultDuration, short, example string) *cobra.Command {
	cmd := &cobra.Command{
		Use:     kind + " ZONE",
		Short:   short,
		Example: example,
		Args:    operandCount(1, 1),
		RunE: func(cmd *cobra.Command, operands []string) error {
			request := adminapi.ZoneOrderRequest{Kind: kind, Zone: operands[0], Author: currentUser()}
			request.For, _ = cmd.Flags().GetString("for")
			request.Reason, _ = cmd.Flags().GetString("why")
			reply, err := call[adminapi.ZoneOrderReply](cmd, adminapi.OperationZoneOrder, request)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "asked for, until %s; see: liftshift zones show\n", reply.Until)
			return nil
		},
	}
	cmd.Flags().String("for", defaultDuration, "how long the order is in force")
	cmd.Flags().String("why", "", "reason of the order, which zones show prints")
	return cmd
}

func printWhatIf(out io.Writer, reply adminapi.LinesReply) { printLines(out, reply.Lines) }

func printLines(out io.Writer, lines []string) {
	for _, line := range lines {
		fmt.Fprintln(out, line)
	}
}

func printPlanExplanation(out io.Writer, reply adminapi.LocalityReply) {
	printLines(out, reply.Explanations)
	if len(reply.Explanations) == 0 {
		fmt.Fprintf(out, "this controller makes no plans; %s leads\n", reply.Leader)
	}
}

func printZones(out io.Writer, reply adminapi.LocalityReply) {
	fmt.Fprintf(out, "plan %d; %s leads the consensus group; this controller holds its lease: %v\n",
		reply.Plan, reply.Leader, reply.LeaseHeld)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "zone\tregion\tstate\tstage\tcores\tcontrollers\treason")
	for _, zone := range reply.Zones {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%v\t%d\t%s\n",
			zone.Name, zone.Region, zone.State, zone.Stage, zone.Cores, zone.Controllers, zone.Reason)
	}
	_ = table.Flush()
	for _, pair := range reply.Pairs {
		fmt.Fprintf(out, "from %s to %s: %v threads at most, in %d shares\n", pair.From, pair.To, pair.Cap, pair.Shares)
	}
	for _, reach := range reply.Reaches {
		fmt.Fprintf(out, "from here to %s (tier %d): %v threads at most\n", reach.Zone, reach.Tier, reach.Threads)
	}
	for _, report := range reply.Reports {
		fmt.Fprintf(out, "%s: %d controllers report, their requests demand %v threads\n",
			report.Zone, report.Observers, report.DemandThreads)
	}
	for _, order := range reply.Orders {
		fmt.Fprintf(out, "order: %s %s until %s, by %s %s\n",
			order.Kind, order.Zone, order.Until, order.Author, order.Reason)
	}
}
