// Package platform speaks to the platform's object service: versions as ETag,
// conditional updates by If-Match and If-None-Match, and watches by long poll.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// MaxValueBytes is the largest value that the object service accepts.
const MaxValueBytes = 1 << 20

const (
	callTimeout = 2 * time.Second
	listBytes   = 256 << 20
)

// Status is the result of one call as a value.
type Status int

const (
	// OK means that the call took effect.
	OK Status = iota
	// NotFound means that there is no such object.
	NotFound
	// Conflict means that the condition did not hold and nothing was changed.
	Conflict
	// Unavailable means that the call certainly had no effect.
	Unavailable
	// Lost means that the answer was lost: a write may have taken effect.
	Lost
)

var statusNames = [...]string{"ok", "notFound", "conflict", "unavailable", "lost"}

// String returns the camel-case name of the status.
func (s Status) String() string { return statusNames[s] }

// Object is one stored value.
type Object struct {
	// Key names the object.
	Key string `json:"key"`
	// Version grows with each change of any object in the store.
	Version int64 `json:"version"`
	// Value is the stored JSON document; empty when Deleted.
	Value json.RawMessage `json:"value,omitempty"`
	// Deleted is set in watch results for an object that is gone.
	Deleted bool `json:"deleted,omitempty"`
}

// Listing is a set of objects at one version of the store.
type Listing struct {
	// Version is the store's version when the listing was made.
	Version int64 `json:"version"`
	// Objects is ordered by key.
	Objects []Object `json:"objects"`
}

// Condition restricts a write to one version of an object.
type Condition struct {
	// Absent requires that the object does not exist. It excludes Version.
	Absent bool
	// Version, when not 0, requires this version.
	Version int64
}

// Client calls the object service. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// New returns a client for the service at base, an http or https URL.
func New(base string, h *http.Client) *Client {
	return &Client{base: strings.TrimRight(base, "/"), http: h}
}

// Get reads one object.
func (c *Client) Get(ctx context.Context, key string) (Object, Status) {
	resp, st := c.call(ctx, http.MethodGet, c.objectURL(key), nil, Condition{})
	if st != OK {
		return Object{}, readStatus(st)
	}
	defer discard(resp)
	value, err := io.ReadAll(io.LimitReader(resp.Body, MaxValueBytes+1))
	if err != nil {
		return Object{}, Unavailable
	}
	v, err := versionOf(resp)
	if err != nil {
		return Object{}, Unavailable
	}
	return Object{Key: key, Version: v, Value: value}, OK
}

// Put writes one object under a condition and returns its new version. Lost
// means that the write may have taken effect.
func (c *Client) Put(ctx context.Context, key string, value []byte, cond Condition) (int64, Status) {
	resp, st := c.call(ctx, http.MethodPut, c.objectURL(key), value, cond)
	if st != OK {
		return 0, st
	}
	defer discard(resp)
	v, err := versionOf(resp)
	if err != nil {
		return 0, Lost
	}
	return v, OK
}

// Delete removes one object under a condition. Lost means that it may be gone.
func (c *Client) Delete(ctx context.Context, key string, cond Condition) Status {
	resp, st := c.call(ctx, http.MethodDelete, c.objectURL(key), nil, cond)
	if st != OK {
		return st
	}
	discard(resp)
	return OK
}

// List reads all objects whose key has the prefix.
func (c *Client) List(ctx context.Context, prefix string) (Listing, Status) {
	return c.listing(ctx, url.Values{"prefix": {prefix}})
}

// Watch waits until deadline for changes after a version of the store and
// returns the objects that changed; none when the deadline passed.
func (c *Client) Watch(ctx context.Context, prefix string, after int64, deadline time.Time) (Listing, Status) {
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(callTimeout))
	defer cancel()
	return c.listing(ctx, url.Values{
		"prefix":         {prefix},
		"after":          {strconv.FormatInt(after, 10)},
		"deadlineUnixMs": {strconv.FormatInt(deadline.UnixMilli(), 10)},
	})
}

func (c *Client) listing(ctx context.Context, q url.Values) (Listing, Status) {
	resp, st := c.call(ctx, http.MethodGet, c.base+"/objects?"+q.Encode(), nil, Condition{})
	if st != OK {
		return Listing{}, readStatus(st)
	}
	defer discard(resp)
	var l Listing
	if err := json.NewDecoder(io.LimitReader(resp.Body, listBytes)).Decode(&l); err != nil {
		return Listing{}, Unavailable
	}
	return l, OK
}

// readStatus maps a lost answer of a read to Unavailable: a read has no effect.
func readStatus(st Status) Status {
	if st == Lost {
		return Unavailable
	}
	return st
}

func (c *Client) objectURL(key string) string {
	return c.base + "/objects/" + (&url.URL{Path: key}).EscapedPath()
}

func (c *Client) call(ctx context.Context, method, u string, body []byte, cond Condition) (*http.Response, Status) {
	cancel := context.CancelFunc(func() {})
	if _, bounded := ctx.Deadline(); !bounded {
		ctx, cancel = context.WithTimeout(ctx, callTimeout)
	}
	req, err := http.NewRequestWithContext(ctx, method, u, bytes.NewReader(body))
	if err != nil {
		cancel()
		return nil, Unavailable
	}
	// A retry inside the transport could apply a write twice.
	req.GetBody = nil
	if cond.Absent {
		req.Header.Set("If-None-Match", "*")
	}
	if cond.Version != 0 {
		req.Header.Set("If-Match", etag(cond.Version))
	}
	sent := &sentTrace{}
	resp, err := c.http.Do(req.WithContext(sent.with(ctx)))
	if err != nil {
		cancel()
		if !sent.any() {
			return nil, Unavailable
		}
		return nil, Lost
	}
	resp.Body = &cancelBody{ReadCloser: resp.Body, cancel: cancel}
	if st := statusOf(resp.StatusCode); st != OK {
		discard(resp)
		return nil, st
	}
	return resp, OK
}

func statusOf(code int) Status {
	switch {
	case code >= 200 && code < 300:
		return OK
	case code == http.StatusNotFound:
		return NotFound
	case code == http.StatusPreconditionFailed:
		return Conflict
	case code == http.StatusTooManyRequests, code == http.StatusServiceUnavailable:
		return Unavailable
	case code >= 400 && code < 500:
		return Unavailable
	}
	return Lost
}

func etag(v int64) string { return fmt.Sprintf("%q", strconv.FormatInt(v, 10)) }

func versionOf(resp *http.Response) (int64, error) {
	s := strings.Trim(resp.Header.Get("ETag"), `"`)
	v, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return 0, eris.Wrap(err, "read version")
	}
	return v, nil
}

func discard(resp *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 4096))
	_ = resp.Body.Close()
}
