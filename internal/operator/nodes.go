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
	"github.com/acacialock/acacialock/internal/membership"
	"github.com/acacialock/acacialock/internal/platform"
	"github.com/acacialock/acacialock/internal/wire"
)

// RowStore is a platform whose store can be followed, as the nodes use it.
type RowStore struct {
	Feed platform.Feed
	List membership.ListSource
}

const (
	// askTimeout bounds the question to one node; it covers a connection to another region.
	askTimeout = time.Second
	// askParallel bounds the nodes asked at once.
	askParallel = 32
	// maxStateBytes is above any node's state.
	maxStateBytes = 64 << 10
)

// NodeRow is one node as the store and the node itself show it.
type NodeRow struct {
	Name   string         `json:"name"`
	Row    membership.Row `json:"row"`
	Stored uint64         `json:"stored"` // version of the row
	// State is what the node answered; nil when Problem says why it gave no answer.
	State   *cluster.NodeState `json:"state,omitempty"`
	Problem string             `json:"problem,omitempty"`
}

// RowStatus is the state of the system on a RowStore.
type RowStatus struct {
	List     uint64    `json:"list"` // version of the newest list; 0: none
	Services int       `json:"services"`
	Rules    int       `json:"rules"`
	Problem  string    `json:"problem,omitempty"` // why the newest list can't be put in force
	Nodes    []NodeRow `json:"nodes"`             // sorted by zone and name
	// Unreadable are the keys of members' rows that can't be decoded.
	Unreadable []string `json:"unreadable,omitempty"`
}

// Status reads the store and, when asked, every node.
func (s RowStore) Status(ctx context.Context, ask *http.Client) (RowStatus, error) {
	var status RowStatus
	if err := s.readList(ctx, &status); err != nil {
		return RowStatus{}, err
	}
	rows, _, err := s.Feed.ReadAll(ctx, membership.MembersTable)
	if err != nil {
		return RowStatus{}, eris.Wrap(err, "read the members")
	}
	for _, row := range rows {
		decoded, err := membership.DecodeRow(row.Value)
		if err != nil {
			status.Unreadable = append(status.Unreadable, row.Key)
			continue
		}
		status.Nodes = append(status.Nodes, NodeRow{Name: row.Key, Row: decoded, Stored: row.Version})
	}
	slices.SortFunc(status.Nodes, func(a, b NodeRow) int {
		if zones := strings.Compare(a.Row.Member.Zone, b.Row.Member.Zone); zones != 0 {
			return zones
		}
		return strings.Compare(a.Name, b.Name)
	})
	if ask != nil {
		askNodes(ctx, ask, status.Nodes)
	}
	return status, nil
}

func (s RowStore) readList(ctx context.Context, status *RowStatus) error {
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
		status.List, status.Services, status.Rules = list.Version, len(list.Services), list.Rules.Len()
	}
	return nil
}

// askNodes fills in what each node answers.
func askNodes(ctx context.Context, client *http.Client, nodes []NodeRow) {
	var group errgroup.Group
	group.SetLimit(askParallel)
	for i := range nodes {
		group.Go(func() error {
			state, err := askNode(ctx, client, nodes[i].Row.Member.PeerAddr)
			if err != nil {
				nodes[i].Problem = err.Error()
				return nil // the others are asked all the same
			}
			nodes[i].State = state
			return nil
		})
	}
	_ = group.Wait() // problems are kept with the nodes
}

func askNode(ctx context.Context, client *http.Client, addr string) (*cluster.NodeState, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+wire.StatePath, nil)
	if err != nil {
		return nil, eris.Wrap(err, "build a question")
	}
	answer, err := client.Do(request)
	if err != nil {
		return nil, eris.Wrap(err, "ask the node")
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return nil, eris.Errorf("the node answered with status %d", answer.StatusCode)
	}
	var state cluster.NodeState
	if err := json.NewDecoder(io.LimitReader(answer.Body, maxStateBytes)).Decode(&state); err != nil {
		return nil, eris.Wrap(err, "decode the node's answer")
	}
	return &state, nil
}

type rowStatusResult struct {
	RowStatus
	asked bool
}

func (r rowStatusResult) text() string {
	head := "no service list has been accepted yet\n"
	switch {
	case r.Problem != "":
		head = "the newest service list can't be put in force: " + r.Problem + "\n"
	case r.List > 0:
		head = fmt.Sprintf("service list version %d: %d services, %d rules\n", r.List, r.Services, r.Rules)
	}
	for _, key := range r.Unreadable {
		head += fmt.Sprintf("the row of %s can't be read\n", key)
	}
	columns := "ZONE\tNODE\tSERVICE\tTARGET\tSTATE\tROW"
	if r.asked {
		columns += "\tREADY\tLIST\tMEMBERS\tREADER\tIN FLIGHT\tQUEUED"
	}
	return head + table(columns, func(w io.Writer) {
		for _, node := range r.Nodes {
			member := node.Row.Member
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d", member.Zone, node.Name, member.Service, node.Row.Target.ID, targetState(node.Row), node.Stored)
			if r.asked {
				fmt.Fprint(w, "\t"+answerText(node))
			}
			fmt.Fprintln(w)
		}
	})
}

func targetState(row membership.Row) string {
	switch {
	case row.Gone:
		return "gone"
	case row.Member.Draining:
		return "draining"
	}
	return "serving"
}

func answerText(node NodeRow) string {
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
	return fmt.Sprintf("%t\t%d\t%d\t%s\t%d\t%d", node.State.Ready, node.State.List, node.State.Members, reader,
		node.State.InFlight, node.State.Queued)
}
