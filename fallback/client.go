package fallback

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"go.uber.org/zap"
)

const (
	// avoidTime is how long a sidecar that did not answer is not used.
	avoidTime = 5 * time.Second
	// callTimeout bounds a call, in addition to the time that it may wait for changes.
	callTimeout = time.Second
	// maxReplyBytes bounds a reply.
	maxReplyBytes = 4 << 20
)

// Client reads and writes the fallback store of the first of some sidecars that answers. It
// implements foxtailstack.Feed and foxtailstack.RecordWriter for one table, whose name it
// ignores. Its exported fields must be set before use. A Client must not be copied after
// first use.
type Client struct {
	HTTP *http.Client
	// Sidecars returns the addresses of the sidecars, in an order that is the same at all
	// entries.
	Sidecars func() []foxtailstack.Address
	Log      *zap.Logger

	mu sync.Mutex
	// avoided holds the sidecars that did not answer, with the time from which they are
	// used again.
	avoided map[foxtailstack.Address]time.Time
	// current is the sidecar whose store was read last, and incarnation that fallback store.
	current     foxtailstack.Address
	incarnation incarnation
}

// errNoSidecar means that there is no sidecar that may be used.
var errNoSidecar = fmt.Errorf("%w: no sidecar with a fallback store", foxtailstack.ErrUnavailable)

// choose returns the first sidecar that is not avoided.
func (c *Client) choose() (foxtailstack.Address, error) {
	sidecars := c.Sidecars()
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, address := range sidecars {
		if !now.Before(c.avoided[address]) {
			return address, nil
		}
	}
	return "", errNoSidecar
}

// avoid lets a sidecar be unused for avoidTime.
func (c *Client) avoid(address foxtailstack.Address, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for old, until := range c.avoided {
		if now.After(until) {
			delete(c.avoided, old)
		}
	}
	if c.avoided == nil {
		c.avoided = make(map[foxtailstack.Address]time.Time)
	}
	c.avoided[address] = now.Add(avoidTime)
	c.Log.Info("fallback store lost", zap.String("sidecar", string(address)), zap.Error(err))
}

// Read returns all rows of the fallback store.
func (c *Client) Read(ctx context.Context, _ string) ([]foxtailstack.Record, foxtailstack.StoreVersion, error) {
	address, err := c.choose()
	if err != nil {
		return nil, 0, err
	}
	var reply rowsReply
	err = c.call(ctx, address, PathRead, callTimeout, struct{}{}, &reply)
	if err != nil {
		return nil, 0, err
	}
	c.mu.Lock()
	c.current = address
	c.incarnation = reply.Incarnation
	c.mu.Unlock()
	c.Log.Info("fallback store read", zap.String("sidecar", string(address)), zap.Int("rows", len(reply.Rows)))
	return reply.records(), foxtailstack.StoreVersion(reply.Version), nil
}

// Changes returns the rows that changed after a version. It returns
// foxtailstack.ErrHistoryGone if another fallback store is to be used.
func (c *Client) Changes(
	ctx context.Context,
	_ string,
	after foxtailstack.StoreVersion,
	wait time.Duration,
) ([]foxtailstack.Record, foxtailstack.StoreVersion, error) {
	address, err := c.choose()
	if err != nil {
		return nil, 0, err
	}
	c.mu.Lock()
	changed := address != c.current
	request := changesRequest{
		Incarnation: c.incarnation,
		After:       version(after),
		Wait:        wait,
	}
	c.mu.Unlock()
	if changed {
		return nil, 0, foxtailstack.ErrHistoryGone
	}
	var reply rowsReply
	err = c.call(ctx, address, PathChanges, wait+callTimeout, request, &reply)
	if err != nil {
		return nil, 0, err
	}
	return reply.records(), foxtailstack.StoreVersion(reply.Version), nil
}

// Write writes and removes rows of the fallback store.
func (c *Client) Write(ctx context.Context, _ string, records []foxtailstack.Record, remove []string) error {
	address, err := c.choose()
	if err != nil {
		return err
	}
	var request writeRequest
	for _, record := range records {
		request.Rows = append(request.Rows, row{
			Name:  record.Name,
			Value: record.Value,
		})
	}
	for _, name := range remove {
		request.Rows = append(request.Rows, row{
			Name:    name,
			Deleted: true,
		})
	}
	return c.call(ctx, address, PathWrite, callTimeout, request, nil)
}

// records returns the rows of the reply as records.
func (r *rowsReply) records() []foxtailstack.Record {
	records := make([]foxtailstack.Record, 0, len(r.Rows))
	for _, row := range r.Rows {
		records = append(records, foxtailstack.Record{
			Name:    row.Name,
			Version: foxtailstack.StoreVersion(r.Version),
			Value:   row.Value,
			Deleted: row.Deleted,
		})
	}
	return records
}

// call sends a message to a sidecar and decodes the reply unless it is nil. A sidecar
// that does not answer is avoided. The error wraps foxtailstack.ErrUncertain, or
// foxtailstack.ErrHistoryGone for a fallback store of another incarnation.
func (c *Client) call(
	ctx context.Context,
	address foxtailstack.Address,
	path string,
	timeout time.Duration,
	message, reply any,
) error {
	err := c.post(ctx, address, path, timeout, message, reply)
	if err != nil && ctx.Err() == nil && !errors.Is(err, foxtailstack.ErrHistoryGone) {
		c.avoid(address, err)
	}
	return err
}

// post is call for one request, without its effect on the choice of the sidecar.
func (c *Client) post(
	ctx context.Context,
	address foxtailstack.Address,
	path string,
	timeout time.Duration,
	message, reply any,
) error {
	body, err := json.Marshal(message)
	if err != nil {
		return fmt.Errorf("encode request to fallback store: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(address)+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("create request to fallback store: %w", err)
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return fmt.Errorf("%w: %w", foxtailstack.ErrUncertain, err)
	}
	defer response.Body.Close()
	switch {
	case response.StatusCode == http.StatusGone:
		return foxtailstack.ErrHistoryGone
	case response.StatusCode/100 != 2:
		return fmt.Errorf("%w: fallback store answered with status %d", foxtailstack.ErrUncertain, response.StatusCode)
	case reply == nil:
		return nil
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes)).Decode(reply)
	if err != nil {
		return fmt.Errorf("%w: decode reply of fallback store: %w", foxtailstack.ErrUncertain, err)
	}
	return nil
}
