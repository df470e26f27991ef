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

// AdminClient controls the faults of a stand-in in another process through its admin paths. Safe for concurrent use.
type AdminClient struct {
	addr   string
	client *http.Client
}

// NewAdminClient returns a client for the stand-in at an IP:port. It opens a new connection for each request, so that its
// requests do not depend on a connection that was made silent.
func NewAdminClient(addr string) *AdminClient {
	return &AdminClient{addr: addr, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// AdminError reports a response of the stand-in with a status other than 200.
type AdminError struct {
	Status  int
	Message string
}

// Error implements error.
func (e *AdminError) Error() string {
	return fmt.Sprintf("the stand-in responded with status %d: %s", e.Status, e.Message)
}

// SetFaults replaces the current faults. It fails with *AdminError if the stand-in rejects them.
func (c *AdminClient) SetFaults(ctx context.Context, faults Faults) error {
	body, err := json.Marshal(faults)
	if err != nil {
		return eris.Wrap(err, "encode the faults")
	}
	return c.do(ctx, http.MethodPut, "/admin/faults", body, &Faults{})
}

// Faults returns the current faults.
func (c *AdminClient) Faults(ctx context.Context) (Faults, error) {
	var faults Faults
	err := c.do(ctx, http.MethodGet, "/admin/faults", nil, &faults)
	return faults, err
}

// SilenceConnections makes all open connections of the stand-in silent; see Server.SilenceConnections.
func (c *AdminClient) SilenceConnections(ctx context.Context) error {
	return c.do(ctx, http.MethodPost, "/admin/silence", nil, &struct{}{})
}

// Stats returns the counts since the start of the stand-in.
func (c *AdminClient) Stats(ctx context.Context) (Stats, error) {
	var stats Stats
	err := c.do(ctx, http.MethodGet, "/admin/stats", nil, &stats)
	return stats, err
}

// do sends an admin request and decodes the response into result.
func (c *AdminClient) do(ctx context.Context, method, path string, body []byte, result any) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.addr+path, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "build the request to the stand-in")
	}
	response, err := c.client.Do(request)
	if err != nil {
		return eris.Wrap(err, "send the request to the stand-in")
	}
	defer func() { _ = response.Body.Close() }() // the body was read, or its error is returned
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return eris.Wrap(err, "read the response of the stand-in")
	}
	if response.StatusCode != http.StatusOK {
		return &AdminError{Status: response.StatusCode, Message: string(text)}
	}
	return eris.Wrap(json.Unmarshal(text, result), "decode the response of the stand-in")
}
