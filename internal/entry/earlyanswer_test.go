package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// randomBytes returns bytes that differ at each position, so that a missing or moved part changes their digest.
func randomBytes(seed uint64, size int) []byte {
	source := rand.NewChaCha8([32]byte{byte(seed), byte(seed >> 8), 1})
	data := make([]byte, size)
	_, _ = source.Read(data) // never fails
	return data
}

// slowly returns the bytes in parts with pauses, so that an answer can begin in the middle of them.
type slowly struct{ io.Reader }

func (s slowly) Read(p []byte) (int, error) {
	time.Sleep(200 * time.Microsecond)
	return s.Reader.Read(p[:min(len(p), 8<<10)])
}

// Guards against a body that is changed because its target answers before it has read it: net/http discarded 256 KiB in the
// middle of chunked bodies, and both sides saw a success (case 1 of the review). A body that the target reads to its end must be
// the one that was sent, and the answer must arrive whole.
func TestEarlyAnswersChangeNoBody(t *testing.T) {
	var received sync.Map // order → digest of a body that was read to its end
	f := newFixture(t, 3, func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		number := func(name string) int {
			value, _ := strconv.Atoi(query.Get(name))
			return value
		}
		_ = http.NewResponseController(w).EnableFullDuplex()
		digest := sha256.New()
		_, err := io.CopyN(digest, r.Body, int64(number("early")))
		if query.Get("sized") != "" {
			w.Header().Set("Content-Length", query.Get("answer"))
		}
		_, _ = w.Write(randomBytes(uint64(number("seed")), number("answer")))
		_ = http.NewResponseController(w).Flush()
		if err == nil {
			_, err = io.Copy(digest, r.Body)
		}
		if err == nil || err == io.EOF {
			received.Store(r.Header.Get("X-Order"), string(digest.Sum(nil)))
		}
	})
	f.handler.config.ReadAheadBytes = 128 << 10
	const callers, callsPerCaller = 6, 25
	var running sync.WaitGroup
	for caller := range callers {
		random := rand.New(rand.NewPCG(uint64(caller), 7))
		running.Go(func() {
			for i := range callsPerCaller {
				seed := uint64(caller*callsPerCaller + i)
				size, answer := random.IntN(1<<20), random.IntN(300<<10)
				early := random.IntN(size + 1)
				order := fmt.Sprint("upload-", seed)
				path := fmt.Sprintf("/?seed=%d&early=%d&answer=%d", seed, early, answer)
				if random.IntN(2) == 0 {
					path += "&sized=1"
				}
				body := randomBytes(seed+1000, size)
				ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
				request, err := http.NewRequestWithContext(ctx, http.MethodPost, f.entry.URL+path, slowly{bytes.NewReader(body)})
				assert.Check(t, err)
				if random.IntN(2) == 0 {
					request.ContentLength = int64(size)
				}
				request.Host = "orders"
				request.Header.Set("X-Order", order)
				response, err := f.entry.Client().Do(request)
				if !assert.Check(t, err, "%s %s", order, path) {
					cancel()
					continue
				}
				got, err := io.ReadAll(response.Body)
				_ = response.Body.Close()
				cancel()
				if response.StatusCode == http.StatusOK {
					assert.Check(t, err == nil && bytes.Equal(got, randomBytes(seed, answer)), "%s %s: %d of %d bytes of the answer, %v", order, path, len(got), answer, err)
				}
				if digest, complete := received.Load(order); complete {
					sum := sha256.Sum256(body)
					assert.Check(t, digest == string(sum[:]), "%s %s: the target read another body of %d bytes to its end", order, path, size)
				}
				// The next request on the connection, or on a new one.
				next, text, err := f.call(http.MethodGet, "/?answer=3", "", nil)
				assert.Check(t, err)
				assert.Check(t, next != nil && next.StatusCode == http.StatusOK && len(text) == 3, "%s: the next request failed", order)
			}
		})
	}
	running.Wait()
}
