package command

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/foxtailstack/foxtailstack/keys"
	"github.com/spf13/cobra"
)

const (
	// privateMode is the file mode of private keys.
	privateMode = 0o600
	// publicMode is the file mode of certificates.
	publicMode = 0o644
	// dirMode is the mode of the directory that holds them.
	dirMode = 0o755
)

// newKeys returns the command that makes a test authority.
func newKeys() *cobra.Command {
	var dir string
	var hosts []string
	cmd := &cobra.Command{
		Use:     "keys",
		Short:   "Make a test authority and a certificate below it",
		Example: "  foxtailstack keys --dir keys --host 127.0.0.1",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			err := writeKeys(dir, hosts)
			if err == nil {
				fmt.Fprintf(cmd.OutOrStdout(), "wrote authority.pem, node.pem and node.key to %s\n", dir)
			}
			return err
		},
	}
	cmd.Flags().StringVar(&dir, "dir", "keys", "directory to write to")
	cmd.Flags().StringSliceVar(&hosts, "host", []string{"127.0.0.1", "localhost"}, "IP number or name that the certificate is for")
	return cmd
}

// writeKeys writes a new authority and one certificate to dir.
func writeKeys(dir string, hosts []string) error {
	authority, err := keys.NewAuthority()
	if err != nil {
		return err
	}
	pair, err := authority.Issue("node", hosts...)
	if err != nil {
		return err
	}
	err = os.MkdirAll(dir, dirMode)
	if err != nil {
		return fmt.Errorf("make directory of keys: %w", err)
	}
	files := []struct {
		name string
		data []byte
		mode os.FileMode
	}{
		{
			name: "authority.pem",
			data: authority.Cert,
			mode: publicMode,
		},
		{
			name: "node.pem",
			data: pair.Cert,
			mode: publicMode,
		},
		{
			name: "node.key",
			data: pair.Key,
			mode: privateMode,
		},
	}
	for _, file := range files {
		err = os.WriteFile(filepath.Join(dir, file.name), file.data, file.mode)
		if err != nil {
			return fmt.Errorf("write key: %w", err)
		}
	}
	return nil
}
