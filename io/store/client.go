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

// Client calls the platform's object API over HTTP. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
	// calls counts all calls, including watches in flight.
	calls atomic.Int64
}

// maxResponseBytes limits how much of a response body is read.
const maxResponseBytes = 16 << 20

// New returns a client for the API at the address, "ip:port". Fleets pass a
// transport that simulates latency.
func New(address string, transport http.RoundTripper) *Client {
	return &Client{base: "http://" + address, http: &http.Client{Transport: transport}}
}

// Calls returns the number of calls made so far.
func (cl *Client) Calls() int64 { return cl.calls.Load() }

// Get reads one object. It returns ErrObjectNotExist if there is none.
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

// Put writes an object and returns its new version. It returns
// ErrVersionConflict if the object's version is not the expected one; 0 expects
// that the object does not exist.
func (cl *Client) Put(ctx context.Context, kind, name string, expected uint64, value any) (uint64, error) {
	return cl.write(ctx, kind, name, strconv.FormatUint(expected, 10), value)
}

// PutAlways writes an object regardless of its version and returns the new
// version.
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

// Watch waits for objects of a kind with a version above after and returns
// them, or none when the wait has passed.
func (cl *Client) Watch(ctx context.Context, kind string, after uint64, wait time.Duration) ([]Object, error) {
	var objs []Object
	path := fmt.Sprintf("/v1/watch/%s?after=%d&wait=%s", kind, after, wait)
	return objs, cl.call(ctx, http.MethodGet, path, nil, "", &objs)
}

// Instances reads the platform's list of daemons, which lags behind their actual
// state.
func (cl *Client) Instances(ctx context.Context) ([]Instance, error) {
	var ins []Instance
	return ins, cl.call(ctx, http.MethodGet, "/v1/instances", nil, "", &ins)
}

// statusError is an answer of the platform with a status other than 200.
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
	raw, err := io.ReadAll(io.LimitReader(rs.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrap(err, "platform")
	}
	if rs.StatusCode != http.StatusOK {
		_ = json.Unmarshal(raw, out)
		return &statusError{status: rs.StatusCode, text: string(raw)}
	}
	return errors.Wrap(json.Unmarshal(raw, out), "platform")
}
