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

// liveRecord describes a live record of a store, as export prints it.
type liveRecord struct {
	Key     string         `json:"key"` // hexadecimal
	Kind    string         `json:"kind"`
	Expires int64          `json:"expires_ms"`
	Bytes   int            `json:"bytes"`
	Fields  map[string]any `json:"fields,omitempty"`
}

func storeCommand() *cobra.Command {
	cmd := groupCommand("store", "Inspect, check and repair the directory of a store")
	cmd.Long = "Inspect, check and repair the directory of a store. inspect, verify and export only read, also while a\n" +
		"controller uses the store; compact and repair need it for themselves. Exit codes: 0 no problem, 1 failure or a\n" +
		"damaged store, 2 wrong usage."
	cmd.PersistentFlags().Bool("json", false, "print JSON")
	cmd.AddCommand(
		directoryCommand("inspect", "Show the number and size of the records, by kind",
			"  liftshift store inspect /var/lib/liftshift --json", inspect),
		directoryCommand("verify", "Check all files for damage",
			"  liftshift store verify /var/lib/liftshift", verify),
		directoryCommand("compact", "Write a snapshot and remove the files that it replaces",
			"  liftshift store compact /var/lib/liftshift", compact),
		directoryCommand("repair", "Rebuild a damaged store from all records that can be read",
			"  liftshift store verify /var/lib/liftshift || liftshift store repair /var/lib/liftshift", repair),
		directoryCommand("export", "Print each live record as a line of JSON",
			"  liftshift store export /var/lib/liftshift > records.jsonl", export),
	)
	return cmd
}

// directoryCommand returns a command whose operand is the directory of a store.
func directoryCommand(
	name, short, example string, run func(dir vfs.Dir, out io.Writer, asJSON bool) error,
) *cobra.Command {
	return &cobra.Command{
		Use:     name + " FOLDER",
		Short:   short,
		Example: example,
		Args:    operandCount(1, 1),
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

// readLiveRecords returns the live records of a store, sorted by key.
func readLiveRecords(dir vfs.Dir) ([]liveRecord, store.Report, error) {
	byKey := map[store.Key]liveRecord{}
	report, err := store.Survey(dir, func(key store.Key, expires int64, value []byte) {
		if value == nil {
			delete(byKey, key)
			return
		}
		record := liveRecord{Key: fmt.Sprintf("%x", key[:]), Kind: "?", Expires: expires, Bytes: len(value)}
		if kind, fields, ok := ledger.DescribeRecord(value); ok {
			record.Kind, record.Fields = kind, fields
		}
		byKey[key] = record
	})
	records := make([]liveRecord, 0, len(byKey))
	for _, record := range byKey {
		records = append(records, record)
	}
	slices.SortFunc(records, func(a, b liveRecord) int { return strings.Compare(a.Key, b.Key) })
	return records, report, err
}

func printJSON(out io.Writer, v any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// damageError returns errReported if a report, which the caller prints, says that the store is damaged.
func damageError(report store.Report) error {
	if report.Damage != "" {
		return errReported
	}
	return nil
}

func inspect(dir vfs.Dir, out io.Writer, asJSON bool) error {
	records, report, err := readLiveRecords(dir)
	if err != nil {
		return err
	}
	type total struct {
		Records int `json:"records"`
		Bytes   int `json:"bytes"`
	}
	kinds := map[string]total{}
	for _, record := range records {
		sum := kinds[record.Kind]
		kinds[record.Kind] = total{sum.Records + 1, sum.Bytes + record.Bytes}
	}
	if asJSON {
		return errors.Join(printJSON(out, map[string]any{"kinds": kinds, "report": report}), damageError(report))
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "kind\trecords\tbytes")
	names := make([]string, 0, len(kinds))
	for name := range kinds {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(table, "%s\t%d\t%d\n", name, kinds[name].Records, kinds[name].Bytes)
	}
	for _, record := range records {
		if record.Kind == "life" || record.Kind == "executor" {
			fmt.Fprintf(table, "%s\t%v\n", record.Kind, record.Fields)
		}
	}
	printFiles(table, report)
	return errors.Join(table.Flush(), damageError(report))
}

// printFiles prints the rows about the files of a store.
func printFiles(table io.Writer, report store.Report) {
	fmt.Fprintln(table, "file\trecords\tbytes\tcount\tproblem")
	for _, file := range report.Files {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%s\n",
			file.Name, file.Records, file.ValidBytes, file.CountedBytes, file.Problem)
	}
	for _, name := range report.Leftover {
		fmt.Fprintf(table, "%s\t\t\t\tleft over; removed at the next start\n", name)
	}
}

func verify(dir vfs.Dir, out io.Writer, asJSON bool) error {
	report, err := store.Survey(dir, nil)
	if err != nil {
		return err
	}
	if asJSON {
		return errors.Join(printJSON(out, report), damageError(report))
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	printFiles(table, report)
	switch {
	case report.Damage != "":
		fmt.Fprintln(table, "damaged: "+report.Damage+
			"; a controller does not start on it; see: liftshift store repair")
	case report.InDoubt:
		fmt.Fprintln(table, "in doubt: "+report.Reason+
			"; a controller starts, and rejects idempotency keys that it does not know for a window")
	default:
		fmt.Fprintln(table, "good")
	}
	return errors.Join(table.Flush(), damageError(report))
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
		return printJSON(out, map[string]any{
			"before_bytes": before.DiskBytes,
			"after_bytes":  after.DiskBytes,
			"records":      after.LiveRecords,
		})
	}
	fmt.Fprintf(out, "%d records; %d bytes before, %d after\n", after.LiveRecords, before.DiskBytes, after.DiskBytes)
	return nil
}

func repair(dir vfs.Dir, out io.Writer, asJSON bool) error {
	result, err := store.Repair(dir, store.Options{})
	if err != nil {
		return err
	}
	switch {
	case asJSON:
		return printJSON(out, result)
	case !result.Needed:
		fmt.Fprintln(out, "not needed: the store opens")
	default:
		fmt.Fprintf(out, "%d records saved, %d bytes could not be read; the old files are kept as %s\n",
			result.Records, result.SkippedBytes, strings.Join(result.Quarantined, ", "))
	}
	return nil
}

func export(dir vfs.Dir, out io.Writer, _ bool) error {
	records, report, err := readLiveRecords(dir)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(out)
	for _, record := range records {
		if err := encoder.Encode(record); err != nil {
			return err
		}
	}
	return damageError(report)
}
