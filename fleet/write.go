package fleet

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/zeebo/xxh3"
)

const (
	// maxSpec is the length of the longest spec in bytes.
	maxSpec = 256 << 10
	// maxKey is the length of the longest idempotency key in bytes.
	maxKey = 255
	// writeTimeout bounds a change; a lost answer is settled within it.
	writeTimeout = 8 * time.Second
	// anyVersion in If-Match stands for the present version.
	anyVersion = "*"
)

// Headers and parameters of writes.
const (
	headerMatch       = "If-Match"
	headerIdempotency = "Idempotency-Key"
	paramDryRun       = "dryrun"
	// paramAssume names a resource that a dry run takes as present.
	paramAssume = "assume"
)

// write is one change that an operator asks for.
type write struct {
	api      *API
	request  *http.Request
	body     []byte
	proposal Proposal
	// any is set if the change replaces whatever version there is.
	any bool
	dry bool
}

// put creates a resource or, with If-Match, replaces one.
func (a *API) put(w http.ResponseWriter, r *http.Request) {
	a.serveWrite(w, r, func(_ context.Context, wr *write) error {
		return wr.setSpec(wr.body)
	})
}

// patch changes the members of a spec that a merge patch names.
func (a *API) patch(w http.ResponseWriter, r *http.Request) {
	a.serveWrite(w, r, func(ctx context.Context, wr *write) error {
		media, _, _ := mime.ParseMediaType(r.Header.Get("Content-Type"))
		if media != "application/merge-patch+json" && media != contentJSON {
			return fmt.Errorf("%w: content type %q is not application/merge-patch+json", ErrInvalid, media)
		}
		if r.Header.Get(headerMatch) == "" {
			return ErrPrecondition
		}
		err := checkDocument(wr.body)
		if err != nil {
			return err
		}
		current, err := a.Store.Get(ctx, wr.proposal.ID)
		if err != nil {
			return err
		}
		if wr.any {
			wr.proposal.Expect = current.Version
		}
		if current.Version != wr.proposal.Expect {
			return ErrStale
		}
		spec, err := mergePatch(current.Spec, wr.body)
		if err != nil {
			return err
		}
		return wr.setSpec(spec)
	})
}

// remove deletes a resource.
func (a *API) remove(w http.ResponseWriter, r *http.Request) {
	a.serveWrite(w, r, func(context.Context, *write) error {
		if r.Header.Get(headerMatch) == "" {
			return ErrPrecondition
		}
		return nil
	})
}

// serveWrite prepares a change, commits it and answers.
func (a *API) serveWrite(w http.ResponseWriter, r *http.Request, prepare func(context.Context, *write) error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), writeTimeout)
	defer cancel()
	wr, err := a.newWrite(w, r)
	if err != nil {
		writeError(w, err)
		return
	}
	resource, err := wr.run(ctx, prepare)
	if err != nil {
		p := problemOf(err)
		if errors.Is(err, ErrStale) {
			current, _ := a.Store.Get(ctx, wr.proposal.ID)
			p.Version = visible(current)
		}
		writeProblem(w, p)
		return
	}
	status := http.StatusOK
	if resource.Version == 1 && !wr.dry {
		status = http.StatusCreated
	}
	a.writeResource(w, status, resource)
}

// newWrite checks who sends a change and reads it.
func (a *API) newWrite(w http.ResponseWriter, r *http.Request) (*write, error) {
	wr := &write{
		api:     a,
		request: r,
		proposal: Proposal{
			ID:         idOf(r),
			Delete:     r.Method == http.MethodDelete,
			References: true,
		},
	}
	who, err := a.identify(r)
	if err == nil {
		err = wr.proposal.ID.Check()
	}
	if err == nil {
		err = who.checkWrite(wr.proposal.ID)
	}
	if err == nil {
		err = wr.readConditions()
	}
	if err != nil {
		return nil, err
	}
	wr.body, err = readBody(w, r)
	if err != nil {
		return nil, err
	}
	return wr, wr.identify(who)
}

// readConditions reads If-Match and dryrun.
func (wr *write) readConditions() error {
	switch match := wr.request.Header.Get(headerMatch); match {
	case "":
	case anyVersion:
		wr.any = true
	default:
		text, err := strconv.Unquote(match)
		if err != nil {
			text = match
		}
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return fmt.Errorf("%w: If-Match %q is not an entity tag of this API", ErrInvalid, match)
		}
		wr.proposal.Expect = foxtailstack.Version(n)
	}
	query := wr.request.URL.Query()
	switch text := query.Get(paramDryRun); text {
	case "", "false":
	case "true":
		wr.dry = true
		for _, path := range query[paramAssume] {
			kind, name, _ := strings.Cut(path, "/")
			wr.proposal.Assume = append(wr.proposal.Assume, ID{
				Kind: Kind(kind),
				Name: name,
			})
		}
	default:
		return fmt.Errorf("%w: dryrun %q is not true or false", ErrInvalid, text)
	}
	return nil
}

// identify gives the change its ChangeID: that of the idempotency key, or a
// random one.
func (wr *write) identify(who principal) error {
	r := wr.request
	digest := xxh3.New()
	for _, text := range []string{r.Method, wr.proposal.ID.String(), r.Header.Get(headerMatch), string(wr.body)} {
		_, _ = digest.WriteString(strconv.Itoa(len(text)) + ":" + text) // never fails
	}
	wr.proposal.Digest = Digest(digest.Sum64())
	key := r.Header.Get(headerIdempotency)
	if key == "" {
		wr.proposal.ChangeID = foxtailstack.NewChangeID()
		return nil
	}
	if len(key) > maxKey {
		return fmt.Errorf("%w: idempotency key is longer than %d bytes", ErrInvalid, maxKey)
	}
	sum := sha256.Sum256([]byte(who.name + "\x00" + key))
	copy(wr.proposal.ChangeID[:], sum[:])
	return nil
}

// run commits the change, or checks it only, and returns the resource after it.
func (wr *write) run(ctx context.Context, prepare func(context.Context, *write) error) (Resource, error) {
	if wr.request.Header.Get(headerIdempotency) != "" {
		change, err := wr.api.Store.Find(ctx, wr.proposal.ChangeID)
		if err == nil && change.Digest != wr.proposal.Digest {
			return Resource{}, ErrRepeated
		}
		if !errors.Is(err, ErrNotFound) {
			return change.Resource, err
		}
	}
	err := prepare(ctx, wr)
	if err == nil && wr.any && wr.request.Method != http.MethodPatch {
		err = wr.expectPresent(ctx)
	}
	if err != nil {
		return Resource{}, err
	}
	if wr.dry {
		return wr.api.Store.Check(ctx, wr.proposal)
	}
	change, err := wr.api.Store.Commit(ctx, wr.proposal)
	return change.Resource, err
}

// expectPresent makes the change replace the present version, if there is one.
func (wr *write) expectPresent(ctx context.Context) error {
	current, err := wr.api.Store.Get(ctx, wr.proposal.ID)
	if errors.Is(err, ErrNotFound) {
		return fmt.Errorf("%w: %s does not exist", ErrStale, wr.proposal.ID)
	}
	wr.proposal.Expect = current.Version
	return err
}

// setSpec checks the spec of the change.
func (wr *write) setSpec(spec []byte) error {
	_, err := DecodeSpec(wr.proposal.ID.Kind, spec)
	if err != nil {
		return err
	}
	var compact bytes.Buffer
	err = json.Compact(&compact, spec)
	if err != nil {
		return syntax(err)
	}
	wr.proposal.Spec = compact.Bytes()
	return nil
}

// readBody reads the body of a request up to the limit of a spec.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxSpec))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, fmt.Errorf("%w: longer than %d bytes", ErrTooLarge, maxSpec)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: body is cut short", ErrInvalid)
	}
	return data, nil
}
