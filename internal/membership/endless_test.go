package membership

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/platform"
	"github.com/acacialock/acacialock/internal/servicelist"
	"github.com/acacialock/acacialock/internal/telemetry"
)

// endlessReader answers a follower with the start of a frame, and then sends repeat until the connection ends.
type endlessReader struct {
	repeat string
	pause  time.Duration
	sent   atomic.Int64
}

func (r *endlessReader) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	control := http.NewResponseController(w)
	if _, err := w.Write([]byte(`{"members":{"version":1,"rows":[{"key":"`)); err != nil {
		return
	}
	for {
		n, err := w.Write([]byte(r.repeat))
		r.sent.Add(int64(n))
		if err != nil || control.Flush() != nil {
			return
		}
		time.Sleep(r.pause)
	}
}

// Guards against a frame without end from another node: at full speed it filled the memory, and one byte at a time it kept
// this node from reading the store itself.
func TestEndlessFrameEnds(t *testing.T) {
	for name, reader := range map[string]*endlessReader{
		"fast": {repeat: strings.Repeat("x", 64<<10)},
		"slow": {repeat: "x", pause: 50 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(reader)
			t.Cleanup(server.Close)
			client := &http.Client{Transport: &http.Transport{}}
			t.Cleanup(client.CloseIdleConnections)
			d := New(Config{Name: "a", Self: cluster.Member{ID: "a@1"}, Peers: client, Metrics: telemetry.New()})
			_, err := d.connect(context.Background(), upstream{member: cluster.Member{ID: "b@1", PeerAddr: server.Listener.Addr().String()}})
			assert.ErrorContains(t, err, "read first frame")
			assert.Assert(t, reader.sent.Load() < 2*maxFrameBytes, "%d bytes were read", reader.sent.Load())
		})
	}
}

// Guards against a list whose parser panics: it ended every node of the fleet, and again after each restart. The list in
// force stays.
func TestPanickingParserRejectsTheList(t *testing.T) {
	d := New(Config{
		Name: "a", Self: cluster.Member{ID: "a@1"}, View: cluster.NewView(&cluster.Snapshot{}), Metrics: telemetry.New(),
		List: ListSource{Table: "op", Key: "config", Parse: func(value []byte) (*servicelist.List, error) {
			_ = value[9] // out of range
			return nil, nil
		}},
	})
	_, err := d.parseList([]byte("short"))
	var panicked *ListPanicError
	assert.Assert(t, errors.As(err, &panicked))
	d.applyList(context.Background(), []platform.FeedRow{{Key: "config", Version: 3, Value: []byte("short")}}, false, 3)
	assert.Equal(t, d.config.Metrics.Values()["list.rejected"], int64(1))
	assert.Equal(t, d.config.Metrics.Values()["panic.list"], int64(2))
}

// Guards against a frame or a row from another node or the store that ends the process.
func FuzzFrame(f *testing.F) {
	for _, value := range []string{"", "short", strings.Repeat("rule ", 4000)} {
		row := newRowFrame(platform.FeedRow{Key: "config", Version: 7, Value: []byte(value)})
		text, err := json.Marshal(frame{Members: tableFrame{Version: 7, Full: true, Rows: []rowFrame{row}}})
		assert.NilError(f, err)
		f.Add(text)
	}
	f.Add(encodeRow(Row{Member: cluster.Member{ID: "a@1", Service: "orders", PeerAddr: "10.0.0.1:1"}, Target: TargetStart{ID: "t", StartedAt: 1}}))
	f.Fuzz(func(t *testing.T, text []byte) {
		var decoded frame
		if json.Unmarshal(text, &decoded) == nil {
			for _, part := range []tableFrame{decoded.Members, decoded.List} {
				if rows, err := part.feedRows(); err == nil {
					assert.Equal(t, len(rows), len(part.Rows))
				}
			}
		}
		if row, err := DecodeRow("a", text); err == nil {
			again, err := DecodeRow("a", encodeRow(row))
			assert.NilError(t, err)
			assert.Equal(t, again, row)
		}
	})
}
