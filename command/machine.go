package command

import (
	"context"
	"errors"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/logbook"
	"github.com/foxtailstack/foxtailstack/machine"
	"github.com/foxtailstack/foxtailstack/node"
	"github.com/foxtailstack/foxtailstack/platform"
	"github.com/spf13/cobra"
	"go.uber.org/zap"
)

const (
	// flushTimeout bounds the writing of the last lines of the log.
	flushTimeout = 200 * time.Millisecond
	// collectAt is the growth of the heap in percent after which the garbage
	// collector runs. Processes here are small and many, so memory counts more
	// than the time of the collector.
	collectAt = 25
	// softLimitPercent is the part of the memory of the process near which the collector runs
	// as often as it has to. The rest is for what is not the runtime's: the program itself
	// and the C library.
	softLimitPercent = 70
)

// newMachine returns the command that runs a process on a machine of the platform.
func newMachine() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "machine",
		Short: "Run a process on a machine of the platform",
		Long: "Run a process on a machine of the platform. The settings file is the one that the\n" +
			"environment variable " + platform.EnvSettings + " names. SIGHUP reads it again.",
	}
	var level string
	cmd.PersistentFlags().StringVar(&level, "log-level", "info", "least level of the lines of the log")
	cmd.AddCommand(
		newMachineRole("entry", "Take requests of callers", foxtailstack.RoleEntry, &level,
			func(ctx context.Context, cfg platform.Settings, log *zap.Logger) error {
				entry, err := machine.NewEntry(cfg, log)
				if err != nil {
					return err
				}
				return entry.Run(ctx)
			}),
		newMachineRole("sidecar", "Keep the expert maps of the group beside an upstream", foxtailstack.RoleSidecar, &level,
			func(ctx context.Context, cfg platform.Settings, log *zap.Logger) error {
				sidecar, err := machine.NewSidecar(cfg, log)
				if err != nil {
					return err
				}
				return sidecar.Run(ctx)
			}),
	)
	return cmd
}

// newMachineRole returns the command that runs one role.
func newMachineRole(
	use, short string,
	role foxtailstack.Role,
	level *string,
	run func(ctx context.Context, cfg platform.Settings, log *zap.Logger) error,
) *cobra.Command {
	return &cobra.Command{
		Use:     use,
		Short:   short,
		Example: "  " + platform.EnvSettings + "=settings.toml foxtailstack machine " + use,
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			path := os.Getenv(platform.EnvSettings)
			cfg, err := platform.LoadSettings(path, role)
			if err != nil {
				return usage(err)
			}
			return runLogged(cmd.Context(), cmd.OutOrStdout(), *level, cfg, func(ctx context.Context, log *zap.Logger) error {
				go reload(ctx, path, role, log)
				return run(ctx, cfg, log)
			})
		},
	}
}

// runLogged runs a process with a log on w that never holds it up.
func runLogged(
	ctx context.Context,
	w io.Writer,
	level string,
	cfg platform.Settings,
	run func(ctx context.Context, log *zap.Logger) error,
) error {
	lines := logbook.NewWriter(w)
	defer lines.Close(flushTimeout)
	log, err := node.NewLog(lines, level)
	if err != nil {
		return usage(err)
	}
	metrics.GetOrCreateGauge("foxtailstack_log_dropped_lines", func() float64 { return float64(lines.Dropped()) })
	log = log.With(zap.String("instance", string(cfg.Name)))
	debug.SetGCPercent(collectAt)
	if cfg.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(cfg.MemoryLimit) * softLimitPercent / 100)
	}
	err = run(ctx, log)
	if err != nil && !errors.Is(err, context.Canceled) {
		log.Error("process failed", zap.Error(err))
	}
	return err
}

// reload reads the settings file again at each SIGHUP and says whether it can be
// used. A process keeps its addresses and bounds until its next start.
func reload(ctx context.Context, path string, role foxtailstack.Role, log *zap.Logger) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		_, err := platform.LoadSettings(path, role)
		if err != nil {
			log.Error("settings rejected", zap.Error(err))
			continue
		}
		log.Info("settings read again")
	}
}
