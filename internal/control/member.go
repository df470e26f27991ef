package control

import (
	"cmp"
	"slices"
	"strings"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/rpc"
)

// memberName returns the node name in a member id of the form "name@incarnation". An id without an incarnation is
// returned unchanged.
func memberName(id string) string {
	if at := strings.LastIndexByte(id, '@'); at > 0 {
		return id[:at]
	}
	return id
}

func memberToInfo(m cluster.Member) *rpc.MemberInfo {
	return &rpc.MemberInfo{
		Id:       m.ID,
		Service:  m.Service,
		Zone:     m.Zone,
		Region:   m.Region,
		PeerAddr: m.PeerAddr,
		Draining: m.Draining,
	}
}

func memberFromInfo(info *rpc.MemberInfo) cluster.Member {
	return cluster.Member{
		ID:       info.GetId(),
		Service:  info.GetService(),
		Zone:     info.GetZone(),
		Region:   info.GetRegion(),
		PeerAddr: info.GetPeerAddr(),
		Draining: info.GetDraining(),
	}
}

// membersFromInfos converts protobuf messages to members sorted by id.
func membersFromInfos(infos []*rpc.MemberInfo) []cluster.Member {
	members := make([]cluster.Member, 0, len(infos))
	for _, info := range infos {
		members = append(members, memberFromInfo(info))
	}
	sortMembers(members)
	return members
}

func sortMembers(members []cluster.Member) {
	slices.SortFunc(members, func(a, b cluster.Member) int { return cmp.Compare(a.ID, b.ID) })
}

// findMember returns the index of a member in a slice sorted by id, or where it would be inserted, and whether it is
// present.
func findMember(members []cluster.Member, id string) (int, bool) {
	return slices.BinarySearchFunc(members, id, func(m cluster.Member, id string) int { return cmp.Compare(m.ID, id) })
}

// containsName reports whether members contains any incarnation of the named node.
func containsName(members []cluster.Member, name string) bool {
	return slices.ContainsFunc(members, func(m cluster.Member) bool { return memberName(m.ID) == name })
}

// infosForServices returns the members of the given services as protobuf messages.
func infosForServices(members []cluster.Member, services []string) []*rpc.MemberInfo {
	var infos []*rpc.MemberInfo
	for _, m := range members {
		if slices.Contains(services, m.Service) {
			infos = append(infos, memberToInfo(m))
		}
	}
	return infos
}

// sortedUnique sorts names in place and returns them without duplicates.
func sortedUnique(names []string) []string {
	slices.Sort(names)
	return slices.Compact(names)
}
