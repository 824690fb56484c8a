package command

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sort"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/fleet"
	"github.com/spf13/cobra"
)

// waitPause is the time between two looks at a state that is waited for.
const waitPause = 200 * time.Millisecond

// errNotInForce means that a change was accepted but is not yet in force.
var errNotInForce = errors.New("accepted, but not in force everywhere in time")

// kindOrder is the order of kinds in which each refers to former ones only.
var kindOrder = []fleet.Kind{fleet.KindFleet, fleet.KindTeam, fleet.KindPolicy, fleet.KindService, fleet.KindUpstream}

// applyOptions are the options of apply and delete.
type applyOptions struct {
	dry     bool
	wait    bool
	timeout time.Duration
	// made are the resources that a dry run would have made.
	made []fleet.ID
}

// flags adds the flags of the options to cmd.
func (a *applyOptions) flags(cmd *cobra.Command) {
	cmd.Flags().BoolVar(&a.dry, "dry-run", false, "check the change and change nothing")
	cmd.Flags().BoolVar(&a.wait, "wait", false, "wait until the change is in force everywhere")
	cmd.Flags().DurationVar(&a.timeout, "timeout", 30*time.Second, "longest time to wait")
}

// query returns the query of a write.
func (a *applyOptions) query() string {
	if !a.dry {
		return ""
	}
	query := url.Values{}
	query.Set("dryrun", "true")
	for _, id := range a.made {
		query.Add("assume", id.String())
	}
	return "?" + query.Encode()
}

// newApply returns the command that declares resources.
func newApply() *cobra.Command {
	var o operator
	var options applyOptions
	var file string
	cmd := &cobra.Command{
		Use:     "apply",
		Short:   "Declare the resources in a TOML file",
		Example: "  foxtailstack apply -f fleet.toml --wait",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			err := o.check()
			if err != nil {
				return err
			}
			return o.apply(cmd.Context(), file, options, cmd.OutOrStdout())
		},
	}
	o.flags(cmd)
	o.outputFlag(cmd)
	options.flags(cmd)
	cmd.Flags().StringVarP(&file, "file", "f", "", "file of resources")
	return cmd
}

// apply declares the resources in a file, kind by kind.
func (o *operator) apply(ctx context.Context, file string, options applyOptions, out io.Writer) error {
	declared := map[fleet.Kind]map[string]map[string]any{}
	_, err := toml.DecodeFile(file, &declared)
	if err != nil {
		return usage(err)
	}
	var last fleet.View
	for _, kind := range kindOrder {
		for _, name := range sortedNames(declared[kind]) {
			id := fleet.ID{
				Kind: kind,
				Name: name,
			}
			view, done, err := o.put(ctx, id, declared[kind][name], options)
			if err != nil {
				return err
			}
			if view.Revision > last.Revision {
				last = view
			}
			if options.dry && kind != fleet.KindUpstream {
				options.made = append(options.made, id)
			}
			err = o.showWrite(out, view, done)
			if err != nil {
				return err
			}
		}
		delete(declared, kind)
	}
	for kind := range declared {
		return usage(fmt.Errorf("%s: unknown kind %q", file, kind))
	}
	return o.await(ctx, last, options, out)
}

// sortedNames returns the names of resources in order.
func sortedNames(specs map[string]map[string]any) []string {
	names := make([]string, 0, len(specs))
	for name := range specs {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// put declares one resource in place of its present version and says what was
// done.
func (o *operator) put(
	ctx context.Context,
	id fleet.ID,
	spec any,
	options applyOptions,
) (view fleet.View, done string, err error) {
	current, err := o.resource(ctx, id.String())
	if err != nil && !errors.Is(err, fleet.ErrNotFound) {
		return view, "", err
	}
	body, err := json.Marshal(spec)
	if err != nil {
		return view, "", usage(err)
	}
	if same(current.Spec, body) {
		return current, "unchanged", nil
	}
	done = "created"
	if current.Version > 0 {
		done = "changed"
	}
	err = o.call(ctx, call{
		method:  http.MethodPut,
		path:    fleet.PathConfig + id.String() + options.query(),
		body:    body,
		version: current.Version,
		key:     foxtailstack.NewChangeID().String(),
	}, &view)
	return view, done, err
}

// same reports whether two specs have the same members.
func same(a, b []byte) bool {
	var left, right any
	if json.Unmarshal(a, &left) != nil || json.Unmarshal(b, &right) != nil {
		return false
	}
	x, _ := json.Marshal(left)  // what was decoded encodes
	y, _ := json.Marshal(right) // what was decoded encodes
	return bytes.Equal(x, y)
}

// showWrite writes what was done to a resource.
func (o *operator) showWrite(out io.Writer, view fleet.View, done string) error {
	if o.json() {
		return json.NewEncoder(out).Encode(view)
	}
	_, err := fmt.Fprintf(out, "%s %s version=%d revision=%d\n", view.ID, done, view.Version, view.Revision)
	return err
}

// await waits until a change is in force everywhere, if the operator asks so.
func (o *operator) await(ctx context.Context, last fleet.View, options applyOptions, out io.Writer) error {
	if !options.wait || options.dry || last.Revision == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, options.timeout)
	defer cancel()
	state := last.State
	for {
		progress, err := o.progress(ctx, last.Revision)
		if err == nil {
			state = progress
		}
		if err == nil && state.Total > 0 && state.InForce == state.Total {
			if o.json() {
				return json.NewEncoder(out).Encode(state)
			}
			_, err = fmt.Fprintf(out, "revision %d %s\n", last.Revision, stateText(state))
			return err
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: %s", errNotInForce, stateText(state))
		case <-time.After(waitPause):
		}
	}
}

// progress returns how far a revision has spread.
func (o *operator) progress(ctx context.Context, revision foxtailstack.Revision) (fleet.State, error) {
	var state fleet.State
	err := o.call(ctx, call{
		method: http.MethodGet,
		path:   fmt.Sprintf("%s?revision=%d", fleet.PathState, revision),
	}, &state)
	return state, err
}
