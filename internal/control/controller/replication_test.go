package controller

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"verbenareach/internal/config/parser"
	"verbenareach/internal/control/registrar"
	"verbenareach/internal/control/replicator"
)

// runningHost is a control host that can be stopped and started again.
type runningHost struct {
	*Controller
	cancel context.CancelFunc
	done   chan error
}

func startHost(name string, settings parser.Control) *runningHost {
	h := &runningHost{Controller: &Controller{Name: name, Settings: settings}, done: make(chan error, 1)}
	started := make(chan struct{})
	h.Started = func() { close(started) }
	var ctx context.Context
	ctx, h.cancel = context.WithCancel(context.Background())
	go func() { h.done <- h.Run(ctx) }()
	select {
	case <-started:
	case err := <-h.done:
		panic(fmt.Sprintf("%s did not start: %v", name, err))
	}
	return h
}

func (h *runningHost) stop(t *testing.T) {
	t.Helper()
	h.cancel()
	if err := <-h.done; err != nil {
		t.Errorf("%s: %v", h.Name, err)
	}
}

// putContract proposes a contract at a host until the proposal is committed without
// a conflict.
func putContract(t *testing.T, h *runningHost, workspace string) {
	t.Helper()
	eventually(t, "contract of "+workspace, func() bool {
		put := registrar.PutContract{Contract: registrar.Contract{Workspace: workspace}, By: "op"}
		r, err := h.Propose(context.Background(), registrar.Command{PutContract: &put})
		return err == nil && r.Contract.Outcome != registrar.OutcomeConflict
	})
}

func TestThreeControlHosts(t *testing.T) {
	folder := t.TempDir()
	var settings []parser.Control
	var peers []parser.Peer
	for i, address := range freeAddresses(t, 3) {
		peers = append(peers, parser.Peer{Name: fmt.Sprint("control-", i), Address: address})
	}
	hosts := make([]*runningHost, 3)
	for i, p := range peers {
		settings = append(settings, parser.Control{
			Listen: p.Address, DataFolder: filepath.Join(folder, p.Name), Peers: peers,
		})
		hosts[i] = startHost(p.Name, settings[i])
	}
	put := 0
	// putAndCheck proposes a contract at each running host and waits for all contracts
	// at each of them.
	putAndCheck := func() {
		t.Helper()
		for _, h := range hosts {
			if h != nil {
				put++
				putContract(t, h, fmt.Sprint("workspace-", put))
			}
		}
		for _, h := range hosts {
			if h == nil {
				continue
			}
			eventually(t, "all contracts at "+h.Name, func() bool {
				for n := 1; n <= put; n++ {
					if _, ok := h.distributor.View().Contract(fmt.Sprint("workspace-", n)); !ok {
						return false
					}
				}
				return true
			})
		}
	}
	putAndCheck()
	for i := range hosts {
		hosts[i].stop(t)
		hosts[i] = nil
		putAndCheck()
		hosts[i] = startHost(peers[i].Name, settings[i])
		putAndCheck()
	}
	// One host loses its disk and is replaced; right after it another host is lost.
	hosts[0].stop(t)
	if err := os.RemoveAll(settings[0].DataFolder); err != nil {
		t.Fatal(err)
	}
	hosts[0] = startHost(peers[0].Name, settings[0])
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	eventually(t, "replacement", func() bool {
		return hosts[1].replicator.SubmitAdd(ctx, replicator.Peer{Name: peers[0].Name, Address: peers[0].Address}) == nil
	})
	hosts[1].stop(t)
	hosts[1] = nil
	putAndCheck()
	refused := new(replicator.RefusedError)
	if err := hosts[2].replicator.SubmitRemove(ctx, peers[0].Name); !errors.As(err, &refused) {
		t.Errorf("removal that leaves no quorum: %v", err)
	}
	hosts[0].stop(t)
	hosts[2].stop(t)
}
