// Package operator implements the subcommands of the command acacialock. Of these, only apply changes stored data.
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

// maxHistoryVersions is the number of accepted versions kept in the history; at 770 changes a day they cover more than
// one day.
const maxHistoryVersions = 1000

// Operator reads and replaces the service list stored on one platform. It is safe for concurrent use.
type Operator struct {
	Table   platform.Table
	Objects platform.Objects
	// Name is recorded as the operator's name with each list accepted through Apply.
	Name string
	// Progress, if not nil, is called with a line of text whenever the zones' state changes during AwaitInForce.
	Progress func(line string)
}

// List is an accepted service list. The zero value means that no list has been accepted.
type List struct {
	Row        cluster.ListRow
	Text       []byte
	rowVersion uint64 // version of the table row, for compare-and-set
}

// Current returns the accepted list, or the zero List if none has been accepted yet. It fails with *CorruptError if the
// stored text does not match its row.
func (o *Operator) Current(ctx context.Context) (List, error) {
	list, err := o.readList(ctx, cluster.CurrentListKey)
	if isErrorType[*platform.NotFoundError](err) {
		return List{}, nil
	}
	return list, err
}

// Version returns the accepted list with this version. It fails with *NoListError if the version is not in the history,
// and with *CorruptError if the stored text does not match its row.
func (o *Operator) Version(ctx context.Context, version uint64) (List, error) {
	list, err := o.readList(ctx, cluster.ListHistoryKey(version))
	if isErrorType[*platform.NotFoundError](err) {
		return List{}, &NoListError{Version: version}
	}
	return list, err
}

// readList reads the list row with this key and the text it refers to. It checks the text against the digest in
// the row.
func (o *Operator) readList(ctx context.Context, key string) (List, error) {
	stored, err := o.Table.Get(ctx, key)
	if err != nil {
		return List{}, eris.Wrap(err, "read the service list's row")
	}
	row, err := decodeListRow(stored)
	if err != nil {
		return List{}, err
	}
	text, err := o.Objects.Get(ctx, row.Object)
	if isErrorType[*platform.NotFoundError](err) {
		return List{}, &CorruptError{Name: row.Object, Detail: "the object does not exist"}
	}
	if err != nil {
		return List{}, eris.Wrap(err, "read the service list's text")
	}
	if hexSHA256(text) != row.SHA256 {
		return List{}, &CorruptError{Name: row.Object, Detail: "the SHA-256 digest of the text differs from the one in its row"}
	}
	return List{Row: row, Text: text, rowVersion: stored.Version}, nil
}

func decodeListRow(stored platform.Row) (cluster.ListRow, error) {
	var row cluster.ListRow
	if err := json.Unmarshal(stored.Value, &row); err != nil {
		return row, &CorruptError{Name: stored.Key, Detail: err.Error()}
	}
	return row, nil
}

func hexSHA256(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// Applied is the result of Apply.
type Applied struct {
	Row cluster.ListRow
	// Unchanged reports that the text equals the accepted one, so that no new version was created.
	Unchanged bool
}

// Apply stores text, which must be a valid service list, as the next accepted version. expect is the version that the
// operator last saw (0: none); nil means the version that is current when Apply starts. Apply fails with *ConflictError
// if another version was accepted since, and with *OutcomeUnknownError if the store stopped responding during the
// commit.
func (o *Operator) Apply(ctx context.Context, text []byte, expect *uint64) (Applied, error) {
	last, err := o.Current(ctx)
	if err != nil {
		return Applied{}, err
	}
	if last.Row.Version > 0 && bytes.Equal(last.Text, text) {
		return Applied{Row: last.Row, Unchanged: true}, nil
	}
	if expect != nil && *expect != last.Row.Version {
		return Applied{}, newConflictError(*expect, last, text)
	}
	row := o.newListRow(last.Row.Version+1, text)
	if err := o.Objects.Put(ctx, row.Object, text); err != nil {
		return Applied{}, eris.Wrap(err, "store the text")
	}
	return o.commit(ctx, last, row, text)
}

// newListRow returns the row that proposes text as this version. Its object name is unique to the proposal.
func (o *Operator) newListRow(version uint64, text []byte) cluster.ListRow {
	return cluster.ListRow{
		Version:    version,
		Object:     cluster.ListObjectName(version, platform.NewWriteID()),
		SHA256:     hexSHA256(text),
		AcceptedAt: time.Now().Unix(),
		Operator:   o.Name,
	}
}

// commit replaces the current list last with row by compare-and-set. After a conflict or an unavailable store it reads
// the history, since a commit whose response was lost may have taken effect.
func (o *Operator) commit(ctx context.Context, last List, row cluster.ListRow, text []byte) (Applied, error) {
	writes, err := o.commitWrites(ctx, last, row)
	if err != nil {
		return Applied{}, err
	}
	_, err = o.Table.Commit(ctx, writes)
	if err == nil {
		return Applied{Row: row}, nil
	}
	if !isErrorType[*platform.ConflictError](err) && !isErrorType[*platform.UnavailableError](err) {
		return Applied{}, eris.Wrap(err, "commit the service list")
	}
	if o.wasAccepted(ctx, row) {
		return Applied{Row: row}, nil
	}
	if isErrorType[*platform.UnavailableError](err) {
		return Applied{}, &OutcomeUnknownError{Version: row.Version, Cause: err}
	}
	found, err := o.Current(ctx)
	if err != nil {
		return Applied{}, errors.Join(&ConflictError{Expected: last.Row.Version}, err)
	}
	return Applied{}, newConflictError(last.Row.Version, found, text)
}

// commitWrites returns the writes of a commit: the current row, its record in the history, and the deletion of the
// record that exceeds maxHistoryVersions, if there is one.
func (o *Operator) commitWrites(ctx context.Context, last List, row cluster.ListRow) ([]platform.Write, error) {
	value, err := json.Marshal(row)
	if err != nil {
		return nil, eris.Wrap(err, "encode the service list's row")
	}
	writes := []platform.Write{
		{Key: cluster.CurrentListKey, IfVersion: last.rowVersion, Value: value},
		{Key: cluster.ListHistoryKey(row.Version), Value: value},
	}
	if row.Version <= maxHistoryVersions {
		return writes, nil
	}
	oldest, err := o.Table.Get(ctx, cluster.ListHistoryKey(row.Version-maxHistoryVersions))
	if isErrorType[*platform.NotFoundError](err) {
		return writes, nil
	}
	if err != nil {
		return nil, eris.Wrap(err, "read the oldest record of the history")
	}
	return append(writes, platform.Write{Key: oldest.Key, IfVersion: oldest.Version, Delete: true}), nil
}

// wasAccepted reports whether the history contains this very proposal, identified by the write id in its object name.
// It determines the outcome of a commit whose response was lost, even if later versions have been accepted since.
func (o *Operator) wasAccepted(ctx context.Context, row cluster.ListRow) bool {
	stored, err := o.Table.Get(ctx, cluster.ListHistoryKey(row.Version))
	if err != nil {
		return false
	}
	recorded, err := decodeListRow(stored)
	return err == nil && recorded.Object == row.Object
}

func newConflictError(expected uint64, found List, text []byte) *ConflictError {
	return &ConflictError{Expected: expected, Found: found.Row, Diff: Diff(found.Text, text)}
}

// History returns the rows of at most limit accepted versions, newest first.
func (o *Operator) History(ctx context.Context, limit int) ([]cluster.ListRow, error) {
	stored, err := o.Table.Scan(ctx, cluster.ListHistoryPrefix)
	if err != nil {
		return nil, eris.Wrap(err, "read the history")
	}
	rows := []cluster.ListRow{}
	for i := len(stored) - 1; i >= 0 && len(rows) < limit; i-- {
		row, err := decodeListRow(stored[i])
		if err != nil {
			return nil, err
		}
		rows = append(rows, row)
	}
	return rows, nil
}
