package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/foxtailstack/foxtailstack"
)

// references returns the resources that a checked spec refers to.
func references(id ID, spec Spec) []ID {
	parts := strings.Split(id.Name, "/")
	refs := []ID{}
	if len(parts) > 1 {
		refs = append(refs, ID{
			Kind: KindFleet,
			Name: parts[0],
		})
	}
	switch value := spec.(type) {
	case Service:
		refs = append(refs, ID{
			Kind: KindPolicy,
			Name: parts[0] + "/" + string(value.Policy),
		})
	case Upstream:
		refs = append(refs, ID{
			Kind: KindService,
			Name: parts[0] + "/" + parts[1],
		})
	}
	return refs
}

// checkReferences returns ErrReference if the proposal refers to an absent
// resource or deletes one that others refer to. As every commit is bound to the
// head that was read before, the check still holds when the change commits.
func (s Store) checkReferences(ctx context.Context, proposal Proposal) error {
	if proposal.Delete {
		return s.checkReferrers(ctx, proposal.ID)
	}
	spec, err := DecodeSpec(proposal.ID.Kind, proposal.Spec)
	if err != nil {
		return err
	}
	for _, ref := range references(proposal.ID, spec) {
		_, err := s.Get(ctx, ref)
		if errors.Is(err, ErrNotFound) && slices.Contains(proposal.Assume, ref) {
			continue
		}
		if errors.Is(err, ErrNotFound) {
			return fmt.Errorf("%w: %s refers to %s, which does not exist", ErrReference, proposal.ID, ref)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// checkReferrers returns ErrReference if a resource refers to id.
func (s Store) checkReferrers(ctx context.Context, id ID) error {
	kinds := map[Kind][]Kind{
		KindFleet:   {KindService, KindPolicy},
		KindService: {KindUpstream},
		KindPolicy:  {KindService},
	}
	scope := id.Name
	if id.Kind == KindPolicy {
		scope, _, _ = strings.Cut(id.Name, "/")
	}
	for _, kind := range kinds[id.Kind] {
		prefix := ID{
			Kind: kind,
			Name: scope + "/",
		}
		err := s.scan(ctx, prefix.String(), func(resource Resource) error { return refersTo(resource, id) })
		if err != nil {
			return err
		}
	}
	return nil
}

// refersTo returns ErrReference if a resource below the scope of id refers to it.
func refersTo(resource Resource, id ID) error {
	if id.Kind == KindPolicy {
		var service Service
		err := json.Unmarshal(resource.Spec, &service)
		_, policy, _ := strings.Cut(id.Name, "/")
		if err != nil || service.Policy != foxtailstack.PolicyName(policy) {
			return nil
		}
	}
	return fmt.Errorf("%w: %s refers to %s", ErrReference, resource.ID, id)
}

// scan calls visit with the resources whose path begins with prefix until it
// returns an error.
func (s Store) scan(ctx context.Context, prefix string, visit func(Resource) error) error {
	after := prefix
	for {
		rows, err := s.Table.Range(ctx, partitionResource, after, pageSize)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		for _, row := range rows {
			if !strings.HasPrefix(row.Key.Sort, prefix) {
				return nil
			}
			change, err := decodeChange(row)
			if err != nil {
				return err
			}
			if change.Resource.Deleted {
				continue
			}
			err = visit(change.Resource)
			if err != nil {
				return err
			}
		}
		if len(rows) < pageSize {
			return nil
		}
		after = rows[len(rows)-1].Key.Sort
	}
}
