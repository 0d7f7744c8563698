package main

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"
)

func estateCommand() *cobra.Command {
	cmd := withSocket(&cobra.Command{Use: "estate", Short: "See and steer what becomes of the open work of lost controllers", Args: args(1, 0),
		RunE: func(*cobra.Command, []string) error { return nil }})
	asked := func(question, done string) func(*cobra.Command, []string) error {
		return func(cmd *cobra.Command, given []string) error {
			_, err := ask(cmd, question, map[string]any{"name": given[0], "who": author()})
			if err == nil {
				fmt.Fprintln(cmd.OutOrStdout(), done)
			}
			return err
		}
	}
	cmd.AddCommand(
		&cobra.Command{Use: "show", Short: "What is kept here for others, who keeps what, and what is claimed", Args: args(0, 0),
			Example: "  liftshift estate show --file office.hcl",
			RunE: func(cmd *cobra.Command, _ []string) error {
				a, err := ask(cmd, "estate", nil)
				if err != nil {
					return err
				}
				return show(cmd, a, estateTable)
			}},
		&cobra.Command{Use: "explain REQ", Short: "Say what is known here of a search, by its req or its opkey", Args: args(1, 1),
			Example: "  liftshift estate explain 51b2e4 --file office.hcl",
			RunE: func(cmd *cobra.Command, given []string) error {
				a, err := ask(cmd, "estate explain", map[string]any{"name": given[0]})
				if err != nil {
					return err
				}
				return show(cmd, a, func(out io.Writer, a map[string]any) {
					for _, c := range items(a["copies"]) {
						fmt.Fprintf(out, "search %v, mark %v, offering %v: %v\n  owner %v (life %v), word %v; outcome %v; %v", c["id"], c["mark"], c["offering"],
							c["state"], c["owner"], c["life"], c["number"], c["outcome"], c["ran"])
						if c["place"] != "" {
							fmt.Fprintf(out, ", in %v", c["place"])
						}
						fmt.Fprintf(out, "; %s to its hard limit; answer kept: %v\n", ms(c["left_ms"]), c["answer"])
					}
				})
			}},
		&cobra.Command{Use: "adopt NAME", Short: "Have this controller take over what a lost one left and nobody has claimed", Args: args(1, 1),
			Example: "  liftshift estate adopt n3 --file office.hcl",
			RunE:    asked("estate adopt", "asked for; see: liftshift estate show")},
		&cobra.Command{Use: "release REQ", Short: "Give up a search that a lost controller left: it is written off", Args: args(1, 1),
			Example: "  liftshift estate release 51b2e4 --file office.hcl",
			RunE:    asked("estate release", "given up, where it was kept here and its owner is lost; see: liftshift estate explain")})
	return cmd
}

func estateTable(out io.Writer, a map[string]any) {
	fmt.Fprintf(out, "%v copies wanted, %v of %v parts settled; this controller holds its lease: %v\n", a["copies_wanted"], a["parts_settled"], a["parts"], a["held"])
	fmt.Fprintf(out, "copies here: %v, open %v; taken in so far: %v = %v settled + %v adopted + %v written off + %v dropped + %v open\n", a["copies"],
		a["open"], a["held_copies"], a["settled"], a["adopted"], a["written_off"], a["dropped"], a["open"])
	fmt.Fprintf(out, "own searches: %v registered, %v waited for another's, %v told, %v denied as too few could be asked, %v shots withheld, %v sent alone\n",
		a["registered"], a["waited"], a["told"], a["refused"], a["withheld"], a["alone"])
	fmt.Fprintf(out, "taken over here: %v in %v claimed parts, %v of them ended\n", a["taken"], a["claims"], a["taken_done"])
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "member\tsits in parts")
	for _, c := range items(a["chairs"]) {
		fmt.Fprintf(w, "%v\t%v\n", c["member"], c["parts"])
	}
	_ = w.Flush()
	for _, c := range items(a["claimed"]) {
		fmt.Fprintf(out, "%v (life %v): %v parts claimed by %v\n", c["member"], c["life"], c["parts"], c["heir"])
	}
	for _, o := range items(a["orphans"]) {
		fmt.Fprintf(out, "%v: %v open copies here whose owner is lost\n", o["member"], o["copies"])
	}
}
