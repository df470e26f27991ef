package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/listcheck"
	"github.com/acacialock/acacialock/internal/membership"
	"github.com/acacialock/acacialock/internal/platform"
	"github.com/acacialock/acacialock/internal/settings"
	"github.com/acacialock/acacialock/internal/wire"
)

// RowStore gives read access to a platform with a row store, through the same interfaces that the nodes use.
type RowStore struct {
	Feed platform.Feed
	List membership.ListSource
	// ReadConfiguration reads a configuration in the platform's form as a node with these settings does; nil settings: without
	// what they say.
	ReadConfiguration func(text []byte, set *settings.Settings) listcheck.Configuration
}

const (
	// queryTimeout limits the query of one node, including a new connection to another region.
	queryTimeout = time.Second
	// maxParallelQueries limits the number of nodes queried at once.
	maxParallelQueries = 32
	// maxStateBytes limits the body of a node's response; it is larger than any node's state.
	maxStateBytes = 64 << 10
)

// NodeStatus is the state of one node: its row in the store and, if the node was queried, its own response.
type NodeStatus struct {
	Name       string         `json:"name"`
	Row        membership.Row `json:"row"`
	RowVersion uint64         `json:"stored"` // version of the row in the store
	// State is the response of the node. It is nil if the node was not queried or did not respond; in the latter case
	// Problem holds the error.
	State   *cluster.NodeState `json:"state,omitempty"`
	Problem string             `json:"problem,omitempty"`
}

// RowStoreStatus is the state of a system whose platform has a row store.
type RowStoreStatus struct {
	ListVersion uint64       `json:"list"` // version of the newest list; 0: none, or the newest list is invalid
	Services    int          `json:"services"`
	Rules       int          `json:"rules"`
	Problem     string       `json:"problem,omitempty"` // why the newest list is invalid; empty: it is valid
	Nodes       []NodeStatus `json:"nodes"`             // sorted by zone and name
	// Unreadable holds the keys of member rows that can't be decoded.
	Unreadable []string `json:"unreadable,omitempty"`
}

// Status reads the service list and the members from the store. If client is not nil, it also queries each node for its
// state. It fails if the store can't be read; a node that does not respond is reported in its NodeStatus.
func (s RowStore) Status(ctx context.Context, client *http.Client) (RowStoreStatus, error) {
	var status RowStoreStatus
	if err := s.readList(ctx, &status); err != nil {
		return RowStoreStatus{}, err
	}
	rows, _, err := s.Feed.ReadAll(ctx, membership.MembersTable)
	if err != nil {
		return RowStoreStatus{}, eris.Wrap(err, "read the members")
	}
	for _, row := range rows {
		decoded, err := membership.DecodeRow(row.Key, row.Value)
		if err != nil {
			status.Unreadable = append(status.Unreadable, row.Key)
			continue
		}
		status.Nodes = append(status.Nodes, NodeStatus{Name: row.Key, Row: decoded, RowVersion: row.Version})
	}
	slices.SortFunc(status.Nodes, func(a, b NodeStatus) int {
		if order := strings.Compare(a.Row.Member.Zone, b.Row.Member.Zone); order != 0 {
			return order
		}
		return strings.Compare(a.Name, b.Name)
	})
	if client != nil {
		queryNodes(ctx, client, status.Nodes)
	}
	return status, nil
}

// readList sets the fields of status that describe the service list.
func (s RowStore) readList(ctx context.Context, status *RowStoreStatus) error {
	rows, _, err := s.Feed.ReadAll(ctx, s.List.Table)
	if err != nil {
		return eris.Wrap(err, "read the service list")
	}
	for _, row := range rows {
		if row.Key != s.List.Key {
			continue
		}
		list, err := s.List.Parse(row.Value)
		if err != nil {
			status.Problem = err.Error()
			continue
		}
		status.ListVersion, status.Services, status.Rules = list.Version, len(list.Services), list.Rules.Len()
	}
	return nil
}

// queryNodes queries all nodes and sets State or Problem of each.
func queryNodes(ctx context.Context, client *http.Client, nodes []NodeStatus) {
	var group errgroup.Group
	group.SetLimit(maxParallelQueries)
	for i := range nodes {
		group.Go(func() error {
			state, err := queryNode(ctx, client, nodes[i].Row.Member.PeerAddr)
			if err != nil {
				nodes[i].Problem = err.Error()
				return nil // the other nodes are queried regardless
			}
			nodes[i].State = state
			return nil
		})
	}
	_ = group.Wait() // errors are recorded in the nodes
}

func queryNode(ctx context.Context, client *http.Client, addr string) (*cluster.NodeState, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+wire.StatePath, nil)
	if err != nil {
		return nil, eris.Wrap(err, "build the request")
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, eris.Wrap(err, "query the node")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, eris.Errorf("the node responded with status %d", response.StatusCode)
	}
	var state cluster.NodeState
	if err := json.NewDecoder(io.LimitReader(response.Body, maxStateBytes)).Decode(&state); err != nil {
		return nil, eris.Wrap(err, "decode the node's response")
	}
	return &state, nil
}

type rowStoreStatusResult struct {
	RowStoreStatus
	queried bool
}

func (r rowStoreStatusResult) text() string {
	head := "no service list has been accepted yet\n"
	switch {
	case r.Problem != "":
		head = "the newest service list can't be put in force: " + r.Problem + "\n"
	case r.ListVersion > 0:
		head = fmt.Sprintf("service list version %d: %d services, %d rules\n", r.ListVersion, r.Services, r.Rules)
	}
	for _, key := range r.Unreadable {
		head += fmt.Sprintf("the row of %s can't be read\n", key)
	}
	columns := "ZONE\tNODE\tSERVICE\tTARGET\tSTATE\tROW"
	if r.queried {
		columns += "\tREADY\tLIST\tMEMBERS\tREADER\tIN FLIGHT\tQUEUED\tLIMIT\tCALLERS' MEMORY"
	}
	return head + table(columns, func(w io.Writer) {
		for _, node := range r.Nodes {
			member := node.Row.Member
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d", member.Zone, node.Name, member.Service, node.Row.Target.ID, targetState(node.Row), node.RowVersion)
			if r.queried {
				fmt.Fprint(w, "\t"+nodeStateText(node))
			}
			fmt.Fprintln(w)
		}
	})
}

func targetState(row membership.Row) string {
	switch {
	case row.Departed:
		return "gone"
	case row.Leaving:
		return "leaving"
	case row.Member.Draining:
		return "draining"
	}
	return "serving"
}

// limitText returns the limit that the node's target names, with its age.
func limitText(state *cluster.NodeState) string {
	if state.Limit == 0 {
		return "-"
	}
	age := time.Duration(state.LimitAgeMS) * time.Millisecond
	return fmt.Sprintf("%.4g/s (%v ago)", state.Limit, age)
}

// nodeStateText returns the columns from READY on of a node, or the reason why the node did not respond.
func nodeStateText(node NodeStatus) string {
	if node.State == nil {
		return "no answer: " + node.Problem
	}
	reader := node.State.Reader
	switch {
	case reader == "" && node.State.StoreLost:
		reader = "store lost"
	case reader == "":
		reader = "store"
	}
	return fmt.Sprintf("%t\t%d\t%d\t%s\t%d\t%d\t%s\t%d of %d KiB", node.State.Ready, node.State.ListVersion, node.State.Members, reader,
		node.State.InFlight, node.State.Queued, limitText(node.State), node.State.CallerBytes>>10, node.State.CallerMemory>>10)
}
