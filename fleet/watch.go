package fleet

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

const (
	// watchCheck is the time between two looks at the state of a watch.
	watchCheck = 250 * time.Millisecond
	// watchKeepAlive is the time between two comments without events.
	watchKeepAlive = 10 * time.Second
)

// Events of a watch.
const (
	// EventChange carries a View, whose revision is the event's id.
	EventChange = "change"
	// EventState carries a Progress.
	EventState = "state"
)

// Progress tells how far the last revision of a watch has spread.
type Progress struct {
	Revision foxtailstack.Revision `json:"revision"`
	InForce  int                   `json:"inforce"`
	Total    int                   `json:"total"`
}

// watcher sends the changes from a revision on to one operator.
type watcher struct {
	api      *API
	w        http.ResponseWriter
	who      principal
	kind     Kind
	revision foxtailstack.Revision
	last     Progress
	sent     time.Time
}

// watch sends changes as server-sent events. It begins behind the revision in
// Last-Event-ID or from, or behind the one in force.
func (a *API) watch(w http.ResponseWriter, r *http.Request) {
	who, err := a.identify(r)
	if err != nil {
		writeError(w, err)
		return
	}
	watcher := &watcher{
		api:      a,
		w:        w,
		who:      who,
		kind:     Kind(r.URL.Query().Get("kind")),
		revision: a.Replica.Snapshot().Revision,
	}
	changes, err := watcher.resume(r)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	watcher.run(r, changes)
}

// resume returns the changes that the operator has missed. It returns ErrGap if
// they are no longer kept.
func (wt *watcher) resume(r *http.Request) ([]Change, error) {
	text := r.Header.Get("Last-Event-ID")
	if text == "" {
		text = r.URL.Query().Get("from")
	}
	if text == "" {
		return nil, nil
	}
	from, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return nil, fmt.Errorf("%w: revision %q is not a number", ErrInvalid, text)
	}
	wt.revision = foxtailstack.Revision(from)
	changes, ok := wt.api.Replica.Since(wt.revision)
	if ok {
		return changes, nil
	}
	return wt.api.Store.Since(r.Context(), wt.revision)
}

// run sends changes until the operator leaves or the API closes.
func (wt *watcher) run(r *http.Request, changes []Change) {
	ticker := time.NewTicker(watchCheck)
	defer ticker.Stop()
	controller := http.NewResponseController(wt.w)
	for {
		changed := wt.api.Replica.Changed()
		err := wt.send(changes)
		if err != nil || controller.Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-wt.api.ended():
			return
		case <-changed:
		case <-ticker.C:
		}
		var ok bool
		changes, ok = wt.api.Replica.Since(wt.revision)
		if !ok {
			return // the operator resumes from the last event's id
		}
	}
}

// send sends changes and, if it has moved, how far the last one has spread.
func (wt *watcher) send(changes []Change) error {
	for _, change := range changes {
		resource := change.Resource
		if resource.Revision <= wt.revision {
			continue
		}
		wt.revision = resource.Revision
		if wt.kind != "" && wt.kind != resource.Kind || !wt.who.mayRead(resource.ID) {
			continue
		}
		err := wt.event(EventChange, wt.api.view(resource))
		if err != nil {
			return err
		}
	}
	state := wt.api.state(wt.revision)
	progress := Progress{
		Revision: wt.revision,
		InForce:  state.InForce,
		Total:    state.Total,
	}
	if progress != wt.last {
		wt.last = progress
		return wt.event(EventState, progress)
	}
	if time.Since(wt.sent) < watchKeepAlive {
		return nil
	}
	wt.sent = time.Now()
	_, err := fmt.Fprint(wt.w, ": alive\n\n")
	return err
}

// event sends one event under the revision that the watch has reached.
func (wt *watcher) event(name string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	wt.sent = time.Now()
	_, err = fmt.Fprintf(wt.w, "id: %d\nevent: %s\ndata: %s\n\n", wt.revision, name, data)
	return err
}
