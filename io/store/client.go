package store

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Client calls the platform's object API. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
	// calls counts all calls, waiting watches included.
	calls atomic.Int64
}

// maxObject bounds what is read of an answer, in bytes.
const maxObject = 16 << 20

// New returns a client for the API at the address, "ip:port". Transport is a
// seam for fleets that simulate latency.
func New(address string, transport http.RoundTripper) *Client {
	return &Client{base: "http://" + address, http: &http.Client{Transport: transport}}
}

// Calls returns how many calls were made.
func (cl *Client) Calls() int64 { return cl.calls.Load() }

// Get reads one object.
func (cl *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	var obj Object
	err := cl.call(ctx, http.MethodGet, "/v1/objects/"+kind+"/"+url.PathEscape(name), nil, "", &obj)
	if isStatus(err, http.StatusNotFound) {
		return Object{Kind: kind, Name: name}, ErrObjectNotExist{Kind: kind, Name: name}
	}
	return obj, err
}

// List reads all objects of a kind.
func (cl *Client) List(ctx context.Context, kind string) ([]Object, error) {
	var objs []Object
	return objs, cl.call(ctx, http.MethodGet, "/v1/objects/"+kind, nil, "", &objs)
}

// Put writes an object if its version is still the one expected; 0 expects
// that it does not exist. It returns the new version.
func (cl *Client) Put(ctx context.Context, kind, name string, expected uint64, value any) (uint64, error) {
	return cl.write(ctx, kind, name, strconv.FormatUint(expected, 10), value)
}

// PutAlways writes an object whatever its version is.
func (cl *Client) PutAlways(ctx context.Context, kind, name string, value any) (uint64, error) {
	return cl.write(ctx, kind, name, "*", value)
}

func (cl *Client) write(ctx context.Context, kind, name, match string, value any) (uint64, error) {
	raw, err := json.Marshal(value)
	if err != nil {
		return 0, err
	}
	var obj Object
	err = cl.call(ctx, http.MethodPut, "/v1/objects/"+kind+"/"+url.PathEscape(name), raw, match, &obj)
	if isStatus(err, http.StatusConflict) {
		return 0, ErrVersionConflict{Kind: kind, Name: name, Current: obj.Version}
	}
	return obj.Version, err
}

// Watch waits until objects of the kind have changed past the version, or the
// wait has passed, and returns the changed ones.
func (cl *Client) Watch(ctx context.Context, kind string, after uint64, wait time.Duration) ([]Object, error) {
	var objs []Object
	path := fmt.Sprintf("/v1/watch/%s?after=%d&wait=%s", kind, after, wait)
	return objs, cl.call(ctx, http.MethodGet, path, nil, "", &objs)
}

// Instances reads the platform's list of daemons, which lags.
func (cl *Client) Instances(ctx context.Context) ([]Instance, error) {
	var ins []Instance
	return ins, cl.call(ctx, http.MethodGet, "/v1/instances", nil, "", &ins)
}

type statusError struct {
	status int
	text   string
}

func (er *statusError) Error() string {
	return fmt.Sprintf("platform answered %d: %s", er.status, er.text)
}

func isStatus(err error, status int) bool {
	var er *statusError
	return errors.As(err, &er) && er.status == status
}

func (cl *Client) call(ctx context.Context, method, path string, body []byte, match string, out any) error {
	cl.calls.Add(1)
	rq, err := http.NewRequestWithContext(ctx, method, cl.base+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	if match != "" {
		rq.Header.Set("If-Match", match)
	}
	rs, err := cl.http.Do(rq)
	if err != nil {
		return errors.Wrap(err, "platform")
	}
	defer func() { _ = rs.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(rs.Body, maxObject))
	if err != nil {
		return errors.Wrap(err, "platform")
	}
	if rs.StatusCode != http.StatusOK {
		_ = json.Unmarshal(raw, out)
		return &statusError{status: rs.StatusCode, text: string(raw)}
	}
	return errors.Wrap(json.Unmarshal(raw, out), "platform")
}
