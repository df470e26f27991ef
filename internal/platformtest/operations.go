package platformtest

import (
	"fmt"
	"net/http"

	"github.com/acacialock/acacialock/internal/platform"
)

// nameOrPrefix is the request body of every read: platform.NameRequest or platform.PrefixRequest.
type nameOrPrefix struct {
	Name   string `json:"name"`
	Prefix string `json:"prefix"`
}

// readHandler returns the handler of a read operation: it injects faults and applies the rate limit first.
func (s *Server) readHandler(operation func(nameOrPrefix) (int, any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var request nameOrPrefix
		if !s.receiveRequest(w, r, &request) || !s.allowByRate(w, false, 1) {
			return
		}
		s.incrementStat(func(stats *Stats) *int64 { return &stats.Reads })
		status, body := operation(request)
		s.respond(w, r, status, body)
	}
}

func notFound(name string) (int, any) {
	return http.StatusNotFound, platform.ErrorResponse{Message: fmt.Sprintf("%q does not exist", name)}
}

func (s *Server) tableGet(request nameOrPrefix) (int, any) {
	row, ok := s.store.getRow(request.Name)
	if !ok {
		return notFound(request.Name)
	}
	return http.StatusOK, rowsResponse([]platform.Row{row})
}

func (s *Server) tableScan(request nameOrPrefix) (int, any) {
	return http.StatusOK, rowsResponse(s.store.scanRows(request.Prefix))
}

func (s *Server) objectGet(request nameOrPrefix) (int, any) {
	data, ok := s.store.getObject(request.Name)
	if !ok {
		return notFound(request.Name)
	}
	return http.StatusOK, platform.ObjectMessage{Name: request.Name, Data: data}
}

func (s *Server) objectList(request nameOrPrefix) (int, any) {
	return http.StatusOK, platform.NamesResponse{Names: s.store.listObjects(request.Prefix)}
}

func (s *Server) tableCommit(w http.ResponseWriter, r *http.Request) {
	var request platform.CommitRequest
	if !s.receiveRequest(w, r, &request) {
		return
	}
	if problem := commitProblem(request); problem != "" {
		writeError(w, http.StatusBadRequest, problem)
		return
	}
	if !s.allowByRate(w, true, len(request.Writes)) {
		return
	}
	writes := make([]platform.Write, len(request.Writes))
	for i, write := range request.Writes {
		writes[i] = platform.Write(write)
	}
	result, repeated := s.store.commit(request.WriteID, writes)
	s.countCommit(result, repeated)
	if len(result.conflict) > 0 {
		s.respondToWrite(w, r, http.StatusConflict, rowsResponse(result.conflict))
		return
	}
	s.respondToWrite(w, r, http.StatusOK, platform.CommitResponse{Versions: result.versions})
}

func (s *Server) countCommit(result decision, repeated bool) {
	s.incrementStat(func(stats *Stats) *int64 {
		switch {
		case repeated:
			return &stats.Repeated
		case len(result.conflict) > 0:
			return &stats.Conflicts
		}
		return &stats.Commits
	})
}

// commitProblem returns the reason why a commit request is invalid, or "".
func commitProblem(request platform.CommitRequest) string {
	if request.WriteID == "" {
		return "write_id is missing"
	}
	if len(request.Writes) == 0 {
		return "the commit has no writes"
	}
	seen := map[string]bool{}
	for _, write := range request.Writes {
		if write.Key == "" || seen[write.Key] {
			return fmt.Sprintf("key %q is empty or occurs twice", write.Key)
		}
		seen[write.Key] = true
	}
	return ""
}

func (s *Server) objectPut(w http.ResponseWriter, r *http.Request) {
	var request platform.ObjectMessage
	if !s.receiveRequest(w, r, &request) {
		return
	}
	if request.Name == "" {
		writeError(w, http.StatusBadRequest, "the object has no name")
		return
	}
	if !s.allowByRate(w, true, 1) {
		return
	}
	if !s.store.putObject(request.Name, request.Data) {
		s.respondToWrite(w, r, http.StatusConflict, platform.RowsResponse{})
		return
	}
	s.incrementStat(func(stats *Stats) *int64 { return &stats.Puts })
	s.respondToWrite(w, r, http.StatusOK, struct{}{})
}

func rowsResponse(rows []platform.Row) platform.RowsResponse {
	response := platform.RowsResponse{Rows: make([]platform.RowMessage, len(rows))}
	for i, row := range rows {
		response.Rows[i] = platform.RowMessage(row)
	}
	return response
}
