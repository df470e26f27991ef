package platform

// Paths of the platform's HTTP interface. Each is a POST with a JSON body.
const (
	PathTableGet    = "/v1/table/get"
	PathTableScan   = "/v1/table/scan"
	PathTableCommit = "/v1/table/commit"
	PathObjectPut   = "/v1/objects/put"
	PathObjectGet   = "/v1/objects/get"
	PathObjectList  = "/v1/objects/list"
)

// NameRequest is the body of the requests that name one row or object.
type NameRequest struct {
	Name string `json:"name"`
}

// PrefixRequest is the body of the requests that name a prefix.
type PrefixRequest struct {
	Prefix string `json:"prefix"`
}

// CommitRequest is the body of a commit. WriteID is a UUID that stays the same when the commit is sent again.
type CommitRequest struct {
	WriteID string         `json:"write_id"`
	Writes  []WriteMessage `json:"writes"`
}

// WriteMessage is one conditional write of a commit.
type WriteMessage struct {
	Key       string `json:"key"`
	IfVersion uint64 `json:"if_version"`
	Value     []byte `json:"value,omitempty"`
	Delete    bool   `json:"delete,omitempty"`
}

// RowMessage is one row of an answer.
type RowMessage struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// RowsResponse answers a get (one row), a scan, and a commit that conflicted (status 409).
type RowsResponse struct {
	Rows []RowMessage `json:"rows"`
}

// CommitResponse answers a commit that was applied. A deleted row has version 0.
type CommitResponse struct {
	Versions []uint64 `json:"versions"`
}

// ObjectMessage is the body of a put and the answer to a get.
type ObjectMessage struct {
	Name string `json:"name"`
	Data []byte `json:"data"`
}

// NamesResponse answers a list of objects.
type NamesResponse struct {
	Names []string `json:"names"`
}

// ErrorResponse accompanies every status of 400 and above except a commit's 409.
type ErrorResponse struct {
	Message string `json:"message"`
}
