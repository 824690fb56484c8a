package fleet

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/foxtailstack/foxtailstack"
)

// principal is who sends a request to the resource API.
type principal struct {
	// name tells the idempotency keys of operators apart.
	name   string
	team   foxtailstack.TeamName
	access Access
	// fleets are those that the operator may change; empty means all.
	fleets []foxtailstack.FleetName
}

// identify returns the principal of a request, ErrUnauthorized if its token is
// unknown, or ErrUnavailable if the process has no configuration to tell by.
func (a *API) identify(r *http.Request) (principal, error) {
	if a.Open {
		return principal{access: AccessAdmin}, nil
	}
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return principal{}, ErrUnauthorized
	}
	sum := sha256.Sum256([]byte(token))
	hash := hex.EncodeToString(sum[:])
	if a.Hash != "" && equal(hash, a.Hash) {
		return principal{
			name:   hash,
			access: AccessAdmin,
		}, nil
	}
	found, ok := a.operator(hash)
	if ok {
		return found, nil
	}
	if a.Ready != nil && !a.Ready() {
		return principal{}, fmt.Errorf("%w: no configuration yet", ErrUnavailable)
	}
	return principal{}, ErrUnauthorized
}

// Guard lets operators through to next: those with access to read for GET and
// HEAD, those with access to write for all methods.
func (a *API) Guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		who, err := a.identify(r)
		reads := r.Method == http.MethodGet || r.Method == http.MethodHead
		if err == nil && !reads && who.access == AccessRead {
			err = fmt.Errorf("%w: access is %s", ErrForbidden, who.access)
		}
		if err != nil {
			writeError(w, err)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// operator returns the operator whose token has the hash. It looks at all of
// them, whichever matches.
func (a *API) operator(hash string) (found principal, ok bool) {
	for name, team := range a.Replica.Snapshot().Teams {
		for _, operator := range team.Operators {
			if equal(hash, operator.Hash) {
				ok = true
				found = principal{
					name:   hash,
					team:   name,
					access: operator.Access,
					fleets: team.Fleets,
				}
			}
		}
	}
	return found, ok
}

// equal compares two hashes in hexadecimal in constant time.
func equal(hash, known string) bool {
	return subtle.ConstantTimeCompare([]byte(hash), []byte(strings.ToLower(known))) == 1
}

// mayRead reports whether p may see a resource. Teams hold the hashes of
// tokens, so that others do not see them.
func (p principal) mayRead(id ID) bool {
	return id.Kind != KindTeam || p.access == AccessAdmin || id.Name == string(p.team)
}

// checkWrite returns ErrForbidden if p may not change a resource.
func (p principal) checkWrite(id ID) error {
	if p.access == AccessAdmin {
		return nil
	}
	fleet, _, _ := strings.Cut(id.Name, "/")
	switch {
	case p.access != AccessWrite:
		return fmt.Errorf("%w: access is %s", ErrForbidden, p.access)
	case id.Kind == KindTeam:
		return fmt.Errorf("%w: teams are changed by admins", ErrForbidden)
	case len(p.fleets) > 0 && !slices.Contains(p.fleets, foxtailstack.FleetName(fleet)):
		return fmt.Errorf("%w: fleet %q is not one of team %q", ErrForbidden, fleet, p.team)
	}
	return nil
}
