package parser

import (
	"fmt"
	"strconv"
)

// checkRules checks the rules that involve more than one field.
func checkRules(s Settings) []Finding {
	findings := checkBlocks(s)
	if len(findings) > 0 {
		return findings
	}
	if s.Entry != nil {
		findings = append(findings, checkDuplicates("/entry/control", s.Entry.Control)...)
	}
	if s.Agent != nil {
		findings = append(findings, checkDuplicates("/agent/control", s.Agent.Control)...)
	}
	if s.Control != nil {
		findings = append(findings, checkPeers(s)...)
	}
	return append(findings, checkListeners(s)...)
}

// checkBlocks checks that the block of the role is set and no other.
func checkBlocks(s Settings) []Finding {
	var findings []Finding
	blocks := []struct {
		role string
		set  bool
	}{
		{"entry", s.Entry != nil},
		{"agent", s.Agent != nil},
		{"control", s.Control != nil},
	}
	for _, b := range blocks {
		if b.role == s.Role && !b.set {
			findings = append(findings, Finding{"/" + b.role, "is missing: the role is " + s.Role})
		}
		if b.role != s.Role && b.set {
			findings = append(findings, Finding{"/" + b.role, "must not be there: the role is " + s.Role})
		}
	}
	return findings
}

// checkListeners checks that no two listeners of the process have the same address.
func checkListeners(s Settings) []Finding {
	listeners := []struct{ place, address string }{{"/metricsListen", s.MetricsListen}}
	if s.Entry != nil {
		listeners = append(listeners,
			struct{ place, address string }{"/entry/listen", s.Entry.Listen},
			struct{ place, address string }{"/entry/peerListen", s.Entry.PeerListen})
	}
	if s.Agent != nil {
		listeners = append(listeners,
			struct{ place, address string }{"/agent/listen", s.Agent.Listen},
			struct{ place, address string }{"/agent/announceListen", s.Agent.AnnounceListen})
	}
	if s.Control != nil {
		listeners = append(listeners,
			struct{ place, address string }{"/control/listen", s.Control.Listen},
			struct{ place, address string }{"/control/operatorListen", s.Control.OperatorListen})
	}
	var findings []Finding
	seen := make(map[string]string)
	for _, l := range listeners {
		if first, ok := seen[l.address]; ok && l.address != "" {
			findings = append(findings, Finding{l.place, fmt.Sprintf("is the same as %s (%s); give each its own port", first, l.address)})
		}
		seen[l.address] = l.place
	}
	return findings
}

// checkPeers checks that the control hosts have different names and addresses and
// that this host is one of them.
func checkPeers(s Settings) []Finding {
	var findings []Finding
	names := make(map[string]bool)
	addresses := make([]string, 0, len(s.Control.Peers))
	for i, p := range s.Control.Peers {
		place := "/control/peers/" + strconv.Itoa(i)
		if names[p.Name] {
			findings = append(findings, Finding{place + "/name", fmt.Sprintf("%q is there twice", p.Name)})
		}
		if p.Name == s.Name && p.Address != s.Control.Listen {
			findings = append(findings, Finding{place + "/address", fmt.Sprintf("is %s, but this host's /control/listen is %s", p.Address, s.Control.Listen)})
		}
		names[p.Name] = true
		addresses = append(addresses, p.Address)
	}
	if !names[s.Name] {
		findings = append(findings, Finding{"/control/peers", fmt.Sprintf("this host, %q, is not among them", s.Name)})
	}
	return append(findings, checkDuplicates("/control/peers", addresses)...)
}

func checkDuplicates(place string, addresses []string) []Finding {
	var findings []Finding
	seen := make(map[string]bool)
	for i, a := range addresses {
		if seen[a] {
			findings = append(findings, Finding{place + "/" + strconv.Itoa(i), fmt.Sprintf("%s is there twice", a)})
		}
		seen[a] = true
	}
	return findings
}
