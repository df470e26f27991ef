// Package operator carries out the verbs of the command acacialock. Apply is the only one that changes anything.
package operator

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/platform"
)

// keptVersions is the number of accepted versions that stay in the history: more than a day at 770 changes a day.
const keptVersions = 1000

// Operator works on the service list of one platform. Safe for concurrent use.
type Operator struct {
	Table   platform.Table
	Objects platform.Objects
	// Name is recorded with each list that this operator gets accepted.
	Name string
	// Progress receives a line when the zones' state changes while AwaitInForce waits; nil: no lines.
	Progress func(line string)
}

// List is an accepted service list. The zero value stands for no list.
type List struct {
	Row        cluster.ListRow
	Text       []byte
	rowVersion uint64 // of the table row, for compare-and-set
}

// Current returns the accepted list, or the zero List when none was accepted so far.
func (o *Operator) Current(ctx context.Context) (List, error) {
	list, err := o.read(ctx, cluster.CurrentListKey)
	if is[*platform.NotFoundError](err) {
		return List{}, nil
	}
	return list, err
}

// Version returns an accepted version that is still kept; it fails with *NoListError for others.
func (o *Operator) Version(ctx context.Context, version uint64) (List, error) {
	list, err := o.read(ctx, cluster.ListHistoryKey(version))
	if is[*platform.NotFoundError](err) {
		return List{}, &NoListError{Version: version}
	}
	return list, err
}

func (o *Operator) read(ctx context.Context, key string) (List, error) {
	stored, err := o.Table.Get(ctx, key)
	if err != nil {
		return List{}, eris.Wrap(err, "read the service list's row")
	}
	row, err := decodeList(stored)
	if err != nil {
		return List{}, err
	}
	text, err := o.Objects.Get(ctx, row.Object)
	if is[*platform.NotFoundError](err) {
		return List{}, &CorruptError{Name: row.Object, Detail: "the object does not exist"}
	}
	if err != nil {
		return List{}, eris.Wrap(err, "read the service list's text")
	}
	if digest(text) != row.SHA256 {
		return List{}, &CorruptError{Name: row.Object, Detail: "the text does not have the digest in its row"}
	}
	return List{Row: row, Text: text, rowVersion: stored.Version}, nil
}

func decodeList(stored platform.Row) (cluster.ListRow, error) {
	var row cluster.ListRow
	if err := json.Unmarshal(stored.Value, &row); err != nil {
		return row, &CorruptError{Name: stored.Key, Detail: err.Error()}
	}
	return row, nil
}

func digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// Applied is the result of Apply.
type Applied struct {
	Row cluster.ListRow
	// Unchanged reports that the text is already the accepted one; no version was made.
	Unchanged bool
}

// Apply gets a checked text accepted as the next version. expect is the version that the operator last saw (0: none);
// nil stands for the version at the start of Apply. It fails with *ConflictError when another version was accepted in
// between, and with *OutcomeUnknownError when the store stopped answering during the commit.
func (o *Operator) Apply(ctx context.Context, text []byte, expect *uint64) (Applied, error) {
	last, err := o.Current(ctx)
	if err != nil {
		return Applied{}, err
	}
	if last.Row.Version > 0 && bytes.Equal(last.Text, text) {
		return Applied{Row: last.Row, Unchanged: true}, nil
	}
	if expect != nil && *expect != last.Row.Version {
		return Applied{}, conflict(*expect, last, text)
	}
	row := o.proposal(last.Row.Version+1, text)
	if err := o.Objects.Put(ctx, row.Object, text); err != nil {
		return Applied{}, eris.Wrap(err, "store the text")
	}
	return o.commit(ctx, last, row, text)
}

func (o *Operator) proposal(version uint64, text []byte) cluster.ListRow {
	return cluster.ListRow{
		Version:    version,
		Object:     cluster.ListObjectName(version, platform.NewWriteID()),
		SHA256:     digest(text),
		AcceptedAt: time.Now().Unix(),
		Operator:   o.Name,
	}
}

// commit makes row the current list if last still is.
func (o *Operator) commit(ctx context.Context, last List, row cluster.ListRow, text []byte) (Applied, error) {
	writes, err := o.writes(ctx, last, row)
	if err != nil {
		return Applied{}, err
	}
	_, err = o.Table.Commit(ctx, writes)
	if err == nil {
		return Applied{Row: row}, nil
	}
	if !is[*platform.ConflictError](err) && !is[*platform.UnavailableError](err) {
		return Applied{}, eris.Wrap(err, "accept the service list")
	}
	if o.accepted(ctx, row) {
		return Applied{Row: row}, nil
	}
	if is[*platform.UnavailableError](err) {
		return Applied{}, &OutcomeUnknownError{Version: row.Version, Cause: err}
	}
	found, err := o.Current(ctx)
	if err != nil {
		return Applied{}, errors.Join(&ConflictError{Expected: last.Row.Version}, err)
	}
	return Applied{}, conflict(last.Row.Version, found, text)
}

// writes returns the commit's writes: the current row, its record in the history, and the removal of the record that
// is too old to be kept.
func (o *Operator) writes(ctx context.Context, last List, row cluster.ListRow) ([]platform.Write, error) {
	value, err := json.Marshal(row)
	if err != nil {
		return nil, eris.Wrap(err, "encode the service list's row")
	}
	writes := []platform.Write{
		{Key: cluster.CurrentListKey, IfVersion: last.rowVersion, Value: value},
		{Key: cluster.ListHistoryKey(row.Version), Value: value},
	}
	if row.Version <= keptVersions {
		return writes, nil
	}
	old, err := o.Table.Get(ctx, cluster.ListHistoryKey(row.Version-keptVersions))
	if is[*platform.NotFoundError](err) {
		return writes, nil
	}
	if err != nil {
		return nil, eris.Wrap(err, "read the oldest record of the history")
	}
	return append(writes, platform.Write{Key: old.Key, IfVersion: old.Version, Delete: true}), nil
}

// accepted reports whether the history records exactly this proposal, which its object's write id identifies. It
// settles a commit whose answer was lost, also when later versions were accepted since.
func (o *Operator) accepted(ctx context.Context, row cluster.ListRow) bool {
	stored, err := o.Table.Get(ctx, cluster.ListHistoryKey(row.Version))
	if err != nil {
		return false
	}
	recorded, err := decodeList(stored)
	return err == nil && recorded.Object == row.Object
}

func conflict(expected uint64, found List, text []byte) *ConflictError {
	return &ConflictError{Expected: expected, Found: found.Row, Diff: Diff(found.Text, text)}
}

// History returns the newest accepted versions, newest first, at most limit of them.
func (o *Operator) History(ctx context.Context, limit int) ([]cluster.ListRow, error) {
	stored, err := o.Table.Scan(ctx, cluster.ListHistoryPrefix)
	if err != nil {
		return nil, eris.Wrap(err, "read the history")
	}
	rows := []cluster.ListRow{}
	for i := len(stored) - 1; i >= 0 && len(rows) < limit; i-- {
		row, err := decodeList(stored[i])
		if err != nil {
			return nil, err
		}
		rows = append(rows, row)
	}
	return rows, nil
}
