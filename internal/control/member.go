package control

import (
	"cmp"
	"slices"
	"strings"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/rpc"
)

// memberName returns the part of a member id before its incarnation.
func memberName(id string) string {
	if at := strings.LastIndexByte(id, '@'); at > 0 {
		return id[:at]
	}
	return id
}

func toInfo(m cluster.Member) *rpc.MemberInfo {
	return &rpc.MemberInfo{
		Id:       m.ID,
		Service:  m.Service,
		Zone:     m.Zone,
		Region:   m.Region,
		PeerAddr: m.PeerAddr,
		Draining: m.Draining,
	}
}

func fromInfo(info *rpc.MemberInfo) cluster.Member {
	return cluster.Member{
		ID:       info.GetId(),
		Service:  info.GetService(),
		Zone:     info.GetZone(),
		Region:   info.GetRegion(),
		PeerAddr: info.GetPeerAddr(),
		Draining: info.GetDraining(),
	}
}

func fromInfos(infos []*rpc.MemberInfo) []cluster.Member {
	members := make([]cluster.Member, 0, len(infos))
	for _, info := range infos {
		members = append(members, fromInfo(info))
	}
	sortMembers(members)
	return members
}

func sortMembers(members []cluster.Member) {
	slices.SortFunc(members, func(a, b cluster.Member) int { return cmp.Compare(a.ID, b.ID) })
}

func findMember(members []cluster.Member, id string) (int, bool) {
	return slices.BinarySearchFunc(members, id, func(m cluster.Member, id string) int { return cmp.Compare(m.ID, id) })
}

func hasName(members []cluster.Member, name string) bool {
	return slices.ContainsFunc(members, func(m cluster.Member) bool { return memberName(m.ID) == name })
}

// ofServices returns the infos of the members of the services.
func ofServices(members []cluster.Member, services []string) []*rpc.MemberInfo {
	var infos []*rpc.MemberInfo
	for _, m := range members {
		if slices.Contains(services, m.Service) {
			infos = append(infos, toInfo(m))
		}
	}
	return infos
}

func sortedUnique(names []string) []string {
	slices.Sort(names)
	return slices.Compact(names)
}
