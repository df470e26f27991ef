package platform

// Paths of the platform's HTTP API. Every request is a POST with a JSON body.
const (
	PathTableGet    = "/v1/table/get"
	PathTableScan   = "/v1/table/scan"
	PathTableCommit = "/v1/table/commit"
	PathObjectPut   = "/v1/objects/put"
	PathObjectGet   = "/v1/objects/get"
	PathObjectList  = "/v1/objects/list"
)

// NameRequest is the body of requests that look up one row or object.
type NameRequest struct {
	Name string `json:"name"`
}

// PrefixRequest is the body of requests that list rows or objects by prefix.
type PrefixRequest struct {
	Prefix string `json:"prefix"`
}

// CommitRequest is the body of a commit. WriteID is a UUID; retries of the commit carry the same one.
type CommitRequest struct {
	WriteID string         `json:"write_id"`
	Writes  []WriteMessage `json:"writes"`
}

// WriteMessage is the JSON form of Write.
type WriteMessage struct {
	Key       string `json:"key"`
	IfVersion uint64 `json:"if_version"`
	Value     []byte `json:"value,omitempty"`
	Delete    bool   `json:"delete,omitempty"`
}

// RowMessage is the JSON form of Row.
type RowMessage struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// RowsResponse is the response to a get (one row), to a scan, and to a commit that conflicted (status 409).
type RowsResponse struct {
	Rows []RowMessage `json:"rows"`
}

// CommitResponse is the response to a commit that was applied. The version of a deleted row is 0.
type CommitResponse struct {
	Versions []uint64 `json:"versions"`
}

// ObjectMessage is the body of a put and the response to a get of an object.
type ObjectMessage struct {
	Name string `json:"name"`
	Data []byte `json:"data"`
}

// NamesResponse is the response to a list of objects.
type NamesResponse struct {
	Names []string `json:"names"`
}

// ErrorResponse is the body of every response with status 400 or above, except 409.
type ErrorResponse struct {
	Message string `json:"message"`
}
