package platformtest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/rotisserie/eris"
)

// Remote switches the faults of a stand-in that runs in another process. Safe for concurrent use.
type Remote struct {
	addr   string
	client *http.Client
}

// NewRemote returns a remote for the stand-in at an IP:port. It opens a new connection for each request, so a silent
// connection never concerns it.
func NewRemote(addr string) *Remote {
	return &Remote{addr: addr, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// RemoteError reports a request that the stand-in refused.
type RemoteError struct {
	Status  int
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("the stand-in answered with status %d: %s", e.Status, e.Message)
}

// SetFaults replaces the faults in force.
func (r *Remote) SetFaults(ctx context.Context, faults Faults) error {
	body, err := json.Marshal(faults)
	if err != nil {
		return eris.Wrap(err, "encode the faults")
	}
	return r.do(ctx, http.MethodPut, "/admin/faults", body, &Faults{})
}

// Faults returns the faults in force.
func (r *Remote) Faults(ctx context.Context) (Faults, error) {
	var faults Faults
	err := r.do(ctx, http.MethodGet, "/admin/faults", nil, &faults)
	return faults, err
}

// SilenceConnections makes all connections that are open now silent.
func (r *Remote) SilenceConnections(ctx context.Context) error {
	return r.do(ctx, http.MethodPost, "/admin/silence", nil, &struct{}{})
}

// Stats returns the counts so far.
func (r *Remote) Stats(ctx context.Context) (Stats, error) {
	var stats Stats
	err := r.do(ctx, http.MethodGet, "/admin/stats", nil, &stats)
	return stats, err
}

func (r *Remote) do(ctx context.Context, method, path string, body []byte, answer any) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+r.addr+path, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "build the request to the stand-in")
	}
	response, err := r.client.Do(request)
	if err != nil {
		return eris.Wrap(err, "reach the stand-in")
	}
	defer func() { _ = response.Body.Close() }() // the body was read, or its error is returned
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return eris.Wrap(err, "read the stand-in's answer")
	}
	if response.StatusCode != http.StatusOK {
		return &RemoteError{Status: response.StatusCode, Message: string(text)}
	}
	return eris.Wrap(json.Unmarshal(text, answer), "decode the stand-in's answer")
}
