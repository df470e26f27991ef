package membership

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/platform"
)

// invalidRows are values that another writer may leave in the table of the members, under the key "odd".
func invalidRows() map[string]string {
	row := func(change string) string {
		text := `{"member":{"ID":"odd@1.1","Service":"shop","Zone":"a","Region":"r","PeerAddr":"10.0.0.9:1","LinkMbps":1,"FullSpeed":3},"target":{"id":"t","born":1,"slots":9}}`
		field, value, _ := strings.Cut(change, "=")
		start := strings.Index(text, `"`+field+`":`) + len(field) + 3
		end := start + strings.IndexAny(text[start:], ",}")
		return text[:start] + value + text[end:]
	}
	return map[string]string{
		"empty": "", "not JSON": "\x00\xff", "a text": `"odd"`, "null": "null", "empty object": "{}", "a list": "[]",
		"deeply nested":          strings.Repeat(`{"member":`, 20000) + "1" + strings.Repeat("}", 20000),
		"deeply nested lists":    strings.Repeat("[", 60000),
		"deep unknown field":     `{"x":` + strings.Repeat("[", 9000) + strings.Repeat("]", 9000) + "}",
		"number too large":       row("FullSpeed=1e999"),
		"bandwidth too large":    row("LinkMbps=1e300"),
		"negative bandwidth":     row("LinkMbps=-1"),
		"number beyond int64":    row("FullSpeed=99999999999999999999"),
		"large number":           row("FullSpeed=9000000000000000000"),
		"negative number":        row("slots=-9000000000000000000"),
		"fraction":               row("born=1.5"),
		"port out of range":      row(`PeerAddr="10.0.0.9:99999"`),
		"negative port":          row(`PeerAddr="10.0.0.9:-1"`),
		"port 0":                 row(`PeerAddr="10.0.0.9:0"`),
		"no port":                row(`PeerAddr="10.0.0.9"`),
		"not an address":         row(`PeerAddr="a/b\r\n:1"`),
		"another node's id":      row(`ID="good@1.1"`),
		"no id":                  row(`ID=""`),
		"id with a line break":   row(`ID="odd@1\r\nX: y"`),
		"no service":             row(`Service=""`),
		"id of another type":     row("ID=7"),
		"address of a good node": strings.Replace(row(`ID="good@7"`), "10.0.0.9:1", "10.0.0.8:1", 1),
	}
}

// Guards against one row of another writer that ends the node, hides the rows of the others or is used as a member: the nodes
// of a region would end again and again, or follow a node that does not exist.
func TestInvalidRowsAreIgnored(t *testing.T) {
	for name, value := range invalidRows() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, err := DecodeRow("odd", []byte(value))
			assert.Assert(t, err != nil)
			feed := newMemoryFeed()
			feed.put(MembersTable, platform.FeedRow{Key: "odd", Value: []byte(value)}) // in the first read
			feed.put(MembersTable, platform.FeedRow{Key: "good", Value: encodeRow(Row{Member: member("good", "shop", "10.0.0.8:1")})})
			directory, view := startDirectory(t, feed)
			for i := range 2 { // as changes
				feed.mu.Lock()
				feed.put(MembersTable, platform.FeedRow{Key: "odd", Value: []byte(value)})
				feed.put(MembersTable, platform.FeedRow{Key: fmt.Sprint("good", i), Value: encodeRow(Row{Member: member(fmt.Sprint("good", i), "shop", fmt.Sprintf("10.0.1.%d:1", i))})})
				feed.mu.Unlock()
				eventually(t, "the good rows are known", func() bool { return len(view.Load().Members["shop"]) == 2+i })
			}
			assert.Equal(t, view.Load().Members["shop"][0].ID, "good0@1.1")
			for _, known := range view.Load().Members["shop"] {
				assert.Assert(t, strings.HasPrefix(known.ID, "good"), "%+v", known)
			}
			for _, ranked := range directory.ranking.Load().region {
				assert.Assert(t, !strings.HasPrefix(ranked.ID, "odd"), "%+v", ranked)
			}
		})
	}
	var invalid *RowError
	_, err := DecodeRow("odd", []byte(invalidRows()["port out of range"]))
	assert.Assert(t, errors.As(err, &invalid) && invalid.Field == "member.PeerAddr", "%v", err)
}

// Guards against a node that the others lose because another writer has overwritten its row: nodes that start later, and those
// that read the whole table again, would not know it.
func TestOverwrittenOwnRowIsWrittenAgain(t *testing.T) {
	feed := newMemoryFeed()
	directory, _ := startDirectory(t, feed)
	directory.Announce(Row{Member: member("own", "shop", "10.0.0.1:1"), Target: TargetStart{ID: "i-1", StartedAt: 1}})
	eventually(t, "the row is stored", directory.OwnRowStored)
	feed.mu.Lock()
	feed.put(MembersTable, platform.FeedRow{Key: "own", Value: []byte("[[[[")})
	feed.mu.Unlock()
	eventually(t, "the row is written again", func() bool { return feed.storedRow("own").Target.ID == "i-1" })
}
