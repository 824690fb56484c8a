package command

import (
	"fmt"

	"github.com/foxtailstack/foxtailstack/demo"
	"github.com/foxtailstack/foxtailstack/node"
	"github.com/spf13/cobra"
)

// newDemo returns the command that runs a demonstration.
func newDemo() *cobra.Command {
	var once bool
	var level string
	cmd := &cobra.Command{
		Use:     "demo",
		Short:   "Run all roles in one process against embedded stand-ins",
		Example: "  foxtailstack demo --once",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			log, err := node.NewLog(cmd.ErrOrStderr(), level)
			if err != nil {
				return usage(err)
			}
			system, err := demo.Start(cmd.Context(), log)
			if err != nil {
				return err
			}
			err = system.Once(cmd.Context(), cmd.OutOrStdout())
			if err == nil && !once {
				fmt.Fprintf(cmd.OutOrStdout(), "serving at %s with the token %s; end with control-C\n", system.URL("drafting"), demo.Token)
				<-cmd.Context().Done()
			}
			stopped := system.Stop()
			if err != nil {
				return err
			}
			return stopped
		},
	}
	cmd.Flags().BoolVar(&once, "once", false, "send four requests, check them and exit")
	cmd.Flags().StringVar(&level, "log", "warn", "level of the log")
	return cmd
}
