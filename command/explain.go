package command

import (
	"fmt"
	"os"

	"github.com/foxtailstack/foxtailstack/explain"
	"github.com/spf13/cobra"
)

// newExplain returns the command that tells what happened to a request.
func newExplain() *cobra.Command {
	return &cobra.Command{
		Use:     "explain ID FILE...",
		Short:   "Tell from logs what happened to a request",
		Example: "  foxtailstack explain 9c41d07be2a35f68 entry-1.log sidecar-*.log",
		Args:    cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			var lines []explain.Line
			for _, path := range args[1:] {
				read, err := readLog(path)
				if err != nil {
					return err
				}
				lines = append(lines, read...)
			}
			return explain.NewReport(args[0], lines).Write(cmd.OutOrStdout())
		},
	}
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
