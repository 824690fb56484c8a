package command

import (
	"fmt"
	"os"

	"github.com/foxtailstack/foxtailstack/explain"
	"github.com/spf13/cobra"
)

// newExplain returns the command that tells what happened to a request, or to all.
func newExplain() *cobra.Command {
	summary := false
	cmd := &cobra.Command{
		Use:   "explain {ID | --summary} FILE...",
		Short: "Tell from logs what happened to a request, or what kept all from being on time",
		Example: "  foxtailstack explain 9c41d07be2a35f68 entry-1.log sidecar-*.log\n" +
			"  foxtailstack explain --summary entry-*.log sidecar-*.log",
		RunE: func(cmd *cobra.Command, args []string) error {
			if summary {
				return explainAll(cmd, args)
			}
			return explainOne(cmd, args)
		},
	}
	cmd.Flags().BoolVar(&summary, "summary", false, "count all requests by what kept them from being served on time")
	return cmd
}

// explainOne writes the report on the request whose ID is the first argument.
func explainOne(cmd *cobra.Command, args []string) error {
	err := cobra.MinimumNArgs(2)(cmd, args)
	if err != nil {
		return err
	}
	lines, err := readLogs(args[1:])
	if err != nil {
		return err
	}
	return explain.NewReport(args[0], lines).Write(cmd.OutOrStdout())
}

// explainAll writes the summary of all requests.
func explainAll(cmd *cobra.Command, args []string) error {
	err := cobra.MinimumNArgs(1)(cmd, args)
	if err != nil {
		return err
	}
	lines, err := readLogs(args)
	if err != nil {
		return err
	}
	return explain.NewSummary(lines).Write(cmd.OutOrStdout())
}

// readLogs reads files, one after the other.
func readLogs(paths []string) ([]explain.Line, error) {
	var lines []explain.Line
	for _, path := range paths {
		read, err := readLog(path)
		if err != nil {
			return nil, err
		}
		lines = append(lines, read...)
	}
	return lines, nil
}

// readLog reads one file.
func readLog(path string) ([]explain.Line, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, usage(err)
	}
	defer file.Close()
	lines, err := explain.Read(file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return lines, nil
}
