package command

import (
	"context"
	"io"
	"os"
	"syscall"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/keys"
	"github.com/foxtailstack/foxtailstack/node"
	"github.com/foxtailstack/foxtailstack/settings"
	"github.com/spf13/cobra"
	"go.uber.org/zap"
)

// newEntry returns the command that runs an entry.
func newEntry() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:     "entry",
		Short:   "Run an entry, which takes requests of callers and operators",
		Example: "  foxtailstack entry --settings entry.toml",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, config, log, err := prepare(cmd.Context(), path, foxtailstack.RoleEntry, cmd.ErrOrStderr())
			if err != nil {
				return err
			}
			entry, err := node.NewEntry(cfg, config, log)
			if err != nil {
				return err
			}
			return entry.Run(cmd.Context())
		},
	}
	cmd.Flags().StringVar(&path, "settings", "foxtailstack.toml", "settings file")
	return cmd
}

// newSidecar returns the command that runs a sidecar.
func newSidecar() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:     "sidecar",
		Short:   "Run a sidecar, the gate to one upstream",
		Example: "  foxtailstack sidecar --settings sidecar.toml",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, config, log, err := prepare(cmd.Context(), path, foxtailstack.RoleSidecar, cmd.ErrOrStderr())
			if err != nil {
				return err
			}
			sidecar, err := node.NewSidecar(cfg, config, log)
			if err != nil {
				return err
			}
			return sidecar.Run(cmd.Context())
		},
	}
	cmd.Flags().StringVar(&path, "settings", "foxtailstack.toml", "settings file")
	return cmd
}

// newStandin returns the command that runs stand-ins.
func newStandin() *cobra.Command {
	var platform, engine string
	var fencing bool
	cmd := &cobra.Command{
		Use:     "standin",
		Short:   "Run stand-ins for the platform's services and for an engine",
		Example: "  foxtailstack standin --platform 127.0.0.1:7000 --engine 127.0.0.1:7001",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s := &node.Standin{}
			s.Engine.Fencing = fencing
			s.Engine.Crash = func() { _ = syscall.Kill(os.Getpid(), syscall.SIGKILL) }
			err := s.Listen(foxtailstack.Address(platform), foxtailstack.Address(engine))
			if err != nil {
				return err
			}
			return s.Run(cmd.Context())
		},
	}
	cmd.Flags().StringVar(&platform, "platform", "", "address of the table, the object store and the list of instances")
	cmd.Flags().StringVar(&engine, "engine", "", "address of the engine")
	cmd.Flags().BoolVar(&fencing, "fencing", false, "let the engine refuse old fencing numbers")
	return cmd
}

// prepare reads the settings of a process and opens its log.
func prepare(
	ctx context.Context,
	path string,
	role foxtailstack.Role,
	stderr io.Writer,
) (settings.Settings, keys.Config, *zap.Logger, error) {
	cfg, err := settings.Load(path, role)
	if err != nil {
		return cfg, keys.Config{}, nil, err
	}
	log, err := node.NewLog(stderr, cfg.Log.Level)
	if err != nil {
		return cfg, keys.Config{}, nil, usage(err)
	}
	config, err := keys.Load(ctx, keys.Files{
		Cert:      cfg.TLS.Cert,
		Key:       cfg.TLS.Key,
		Authority: cfg.TLS.Authority,
	})
	if err != nil {
		return cfg, config, nil, usage(err)
	}
	return cfg, config, log.With(zap.String("instance", string(cfg.Name))), nil
}
