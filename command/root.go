package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// Exit codes of the command.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
)

// errUsage marks errors of the command line and of settings.
var errUsage = errors.New("usage")

// Main runs the command with its arguments and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx := stopped()
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintf(stderr, "foxtailstack: %v\n", err)
	if isUsage(err) {
		return ExitUsage
	}
	return ExitFailure
}

// stopped returns a context that ends when the process is told to stop. Later
// signals have no effect, so that a planned stop always exits in its own way.
func stopped() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cancel()
	}()
	return ctx
}

// newRoot returns the command with all its subcommands.
func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "foxtailstack",
		Short:         "Load balancer for expert-parallel model groups",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usage(err) })
	root.AddCommand(newEntry(), newSidecar(), newStandin(), newDemo(), newKeys())
	root.AddCommand(newApply(), newGet(), newDelete(), newWatch())
	root.AddCommand(newMeasure(), newCheck(), newVersion(), newTimeline(), newLoad())
	root.AddCommand(newBooking(), newMachine(), newExplain())
	return root
}

// usage marks err as an error of the command line or of settings.
func usage(err error) error {
	return fmt.Errorf("%w: %w", errUsage, err)
}
