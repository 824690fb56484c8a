package command

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/foxtailstack/foxtailstack/measure"
	"github.com/spf13/cobra"
)

// newMeasure returns the command that runs experiments.
func newMeasure() *cobra.Command {
	var seed uint64
	var asJSON bool
	var file string
	var given measure.Axes
	cmd := &cobra.Command{
		Use:       "measure experiment",
		Short:     "Run an experiment on the decisions of the system",
		Example:   "  foxtailstack measure expert --seed 1",
		Args:      cobra.ExactArgs(1),
		ValidArgs: measure.Names(),
		RunE: func(cmd *cobra.Command, args []string) error {
			var lines []measure.Line
			report := reporter(cmd.OutOrStdout(), asJSON)
			err := measure.Run(cmd.Context(), args[0], measure.Options{
				Seed: seed,
				Report: func(line measure.Line) error {
					lines = append(lines, line)
					return report(line)
				},
			})
			if err != nil || file == "" {
				return err
			}
			return measure.Plot(lines, measure.AxesOf(args[0], given), file)
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the run")
	cmd.Flags().BoolVar(&asJSON, "json", false, "write one JSON object a line")
	cmd.Flags().StringVar(&file, "plot", "", "draw a picture into this file, such as route.png")
	cmd.Flags().StringVar(&given.X, "x", "", "key of the horizontal axis of the picture")
	cmd.Flags().StringVar(&given.Y, "y", "", "key of the vertical axis of the picture")
	return cmd
}

// reporter returns a function that writes lines of results to out.
func reporter(out io.Writer, asJSON bool) func(measure.Line) error {
	return func(line measure.Line) error {
		if !asJSON {
			_, err := fmt.Fprintln(out, line)
			return err
		}
		object := map[string]any{}
		for _, field := range line {
			object[field.Key] = field.Value
		}
		return json.NewEncoder(out).Encode(object)
	}
}
