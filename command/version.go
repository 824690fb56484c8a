package command

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// newVersion returns the command that prints the version.
func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			version, toolchain := "unknown", "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				version, toolchain = info.Main.Version, info.GoVersion
			}
			_, err := fmt.Fprintf(cmd.OutOrStdout(), "foxtailstack %s %s\n", version, toolchain)
			return err
		},
	}
}
