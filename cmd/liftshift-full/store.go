package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"liftshift/internal/ledger"
	"liftshift/internal/store"
	"liftshift/internal/vfs"
)

// row is a live record, for people.
type row struct {
	Key     string         `json:"key"`
	Kind    string         `json:"kind"`
	Expires int64          `json:"expires_ms"`
	Bytes   int            `json:"bytes"`
	Fields  map[string]any `json:"fields,omitempty"`
}

func storeCommand() *cobra.Command {
	cmd := group("store", "Work on the folder of a store")
	cmd.Long = "Work on the folder of a store. inspect and verify only read, also while a controller uses it; the others need it for\n" +
		"themselves. Exit codes: 0 all is well, 1 something is faulty, 2 wrong usage."
	cmd.PersistentFlags().Bool("json", false, "print JSON")
	cmd.AddCommand(
		onFolder("inspect", "Show what a store holds, by kind", "  liftshift store inspect /var/lib/liftshift --json", inspect),
		onFolder("verify", "Read every byte and say whether it is as it was written", "  liftshift store verify /var/lib/liftshift", verify),
		onFolder("compact", "Make a snapshot and remove what it stands for", "  liftshift store compact /var/lib/liftshift", compact),
		onFolder("repair", "Make a damaged store open again, with all that can be read",
			"  liftshift store verify /var/lib/liftshift || liftshift store repair /var/lib/liftshift", repair),
		onFolder("export", "Print every live record, a JSON object a line", "  liftshift store export /var/lib/liftshift > records.jsonl", export),
	)
	return cmd
}

func onFolder(name, short, example string, run func(dir vfs.Dir, out io.Writer, asJSON bool) error) *cobra.Command {
	return &cobra.Command{
		Use: name + " FOLDER", Short: short, Example: example, Args: args(1, 1),
		RunE: func(cmd *cobra.Command, operands []string) error {
			dir, err := vfs.OpenDir(operands[0], false)
			if err != nil {
				return err
			}
			asJSON, _ := cmd.Flags().GetBool("json")
			return run(dir, cmd.OutOrStdout(), asJSON)
		},
	}
}

// records gives the live records in the order of their keys.
func records(dir vfs.Dir) ([]row, store.Report, error) {
	live := map[store.Key]row{}
	report, err := store.Survey(dir, func(k store.Key, expires int64, value []byte) {
		if value == nil {
			delete(live, k)
			return
		}
		r := row{Key: fmt.Sprintf("%x", k[:]), Kind: "?", Expires: expires, Bytes: len(value)}
		if kind, fields, ok := ledger.DescribeRecord(value); ok {
			r.Kind, r.Fields = kind, fields
		}
		live[k] = r
	})
	rows := make([]row, 0, len(live))
	for _, r := range live {
		rows = append(rows, r)
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	return rows, report, err
}

func printJSON(out io.Writer, v any) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// faulty ends a command by what a look at the store found.
func faulty(r store.Report) error {
	if r.Damage != "" {
		return errFaulty
	}
	return nil
}

func inspect(dir vfs.Dir, out io.Writer, asJSON bool) error {
	rows, report, err := records(dir)
	if err != nil {
		return err
	}
	type sum struct {
		Records int `json:"records"`
		Bytes   int `json:"bytes"`
	}
	kinds := map[string]sum{}
	for _, r := range rows {
		s := kinds[r.Kind]
		kinds[r.Kind] = sum{s.Records + 1, s.Bytes + r.Bytes}
	}
	if asJSON {
		return errors.Join(printJSON(out, map[string]any{"kinds": kinds, "report": report}), faulty(report))
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "kind\trecords\tbytes")
	names := make([]string, 0, len(kinds))
	for name := range kinds {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(w, "%s\t%d\t%d\n", name, kinds[name].Records, kinds[name].Bytes)
	}
	for _, r := range rows {
		if r.Kind == "life" || r.Kind == "executor" {
			fmt.Fprintf(w, "%s\t%v\n", r.Kind, r.Fields)
		}
	}
	parts(w, report)
	return errors.Join(w.Flush(), faulty(report))
}

func parts(w io.Writer, report store.Report) {
	fmt.Fprintln(w, "file\trecords\tbytes\tcount\tproblem")
	for _, p := range report.Files {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%s\n", p.Name, p.Records, p.ValidBytes, p.CountedBytes, p.Problem)
	}
	for _, name := range report.Leftover {
		fmt.Fprintf(w, "%s\t\t\t\tleft over; removed at the next start\n", name)
	}
}

func verify(dir vfs.Dir, out io.Writer, asJSON bool) error {
	report, err := store.Survey(dir, nil)
	if err != nil {
		return err
	}
	if asJSON {
		return errors.Join(printJSON(out, report), faulty(report))
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	parts(w, report)
	switch {
	case report.Damage != "":
		fmt.Fprintln(w, "damaged: "+report.Damage+"; a controller does not start on it; see: liftshift store repair")
	case report.InDoubt:
		fmt.Fprintln(w, "in doubt: "+report.Reason+"; a controller starts, and rejects idempotency keys that it does not know for a window")
	default:
		fmt.Fprintln(w, "good")
	}
	return errors.Join(w.Flush(), faulty(report))
}

func compact(dir vfs.Dir, out io.Writer, asJSON bool) error {
	s, _, err := store.Open(dir, store.Options{}, nil)
	if err != nil {
		return err
	}
	before := s.Stats()
	err = s.Snapshot()
	after := s.Stats()
	if err = errors.Join(err, s.Close()); err != nil {
		return err
	}
	if asJSON {
		return printJSON(out, map[string]any{"before_bytes": before.DiskBytes, "after_bytes": after.DiskBytes, "records": after.LiveRecords})
	}
	fmt.Fprintf(out, "%d records; %d bytes before, %d after\n", after.LiveRecords, before.DiskBytes, after.DiskBytes)
	return nil
}

func repair(dir vfs.Dir, out io.Writer, asJSON bool) error {
	done, err := store.Repair(dir, store.Options{})
	if err != nil {
		return err
	}
	switch {
	case asJSON:
		return printJSON(out, done)
	case !done.Needed:
		fmt.Fprintln(out, "not needed: the store opens")
	default:
		fmt.Fprintf(out, "%d records saved, %d bytes could not be read; the old files are kept as %s\n", done.Records, done.SkippedBytes,
			strings.Join(done.Quarantined, ", "))
	}
	return nil
}

func export(dir vfs.Dir, out io.Writer, _ bool) error {
	rows, report, err := records(dir)
	if err != nil {
		return err
	}
	e := json.NewEncoder(out)
	for _, r := range rows {
		if err := e.Encode(r); err != nil {
			return err
		}
	}
	return faulty(report)
}
