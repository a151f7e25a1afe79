package controller

import (
	"context"
	"net/http"
	"time"

	"verbenareach/internal/config/parser"
	"verbenareach/internal/control/replicator"
)

// handOverTimeout bounds the handing over of the leadership at a planned stop.
const handOverTimeout = 3 * time.Second

// chooseLog has the log kept in the data folder and agreed on with the other control
// hosts, or in memory alone if settings name no data folder.
func (c *Controller) chooseLog() {
	if c.Settings.DataFolder == "" {
		log := &localLog{apply: c.apply}
		c.propose, c.confirm = log.propose, log.confirm
		return
	}
	transport := &replicator.Transport{}
	c.replicator = &replicator.Replicator{
		Name: c.Name, Address: c.Settings.Listen, Folder: c.Settings.DataFolder, Apply: c.apply, Snapshot: c.snapshot,
		Restore: c.restore, Send: transport.Send, Ask: transport.Ask, Log: c.Log,
	}
	for _, p := range c.Settings.Peers {
		c.replicator.Peers = append(c.replicator.Peers, replicator.Peer{Name: p.Name, Address: p.Address})
		if p.Name == c.Name {
			c.replicator.Address = p.Address
		}
	}
	if len(c.replicator.Peers) == 0 {
		c.replicator.Peers = []replicator.Peer{{Name: c.Name, Address: c.Settings.Listen}}
	}
	c.transport = transport
	c.propose, c.confirm = c.replicator.Submit, c.replicator.Confirm
}

// handOver has another control host lead before this one stops, if it leads.
func (c *Controller) handOver(ctx context.Context) {
	if c.replicator == nil || c.replicator.Status().Role != "leader" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	// Without another host to lead, the others elect one once this one is gone.
	_ = c.replicator.TransferLeadership(ctx)
}

// replicate takes part in the agreement until ctx ends.
func (c *Controller) replicate(ctx context.Context) (err error) {
	if c.replicator == nil {
		return nil
	}
	defer func() {
		if closeErr := c.transport.Close(); err == nil {
			err = closeErr
		}
	}()
	return c.replicator.Run(ctx)
}

// routes adds the routes of operators that concern the whole system.
func (c *Controller) routes(mux *http.ServeMux) {
	c.insight().Routes(mux)
	if c.replicator != nil {
		(&hosts{replicator: c.replicator}).routes(mux)
	}
}

// otherHosts are the control hosts but this one, as agreed on by now or, before
// anything is known, as in the settings.
func (c *Controller) otherHosts() []parser.Peer {
	var others []parser.Peer
	if c.replicator != nil {
		for _, m := range c.replicator.Status().Members {
			if m.Name != c.Name {
				others = append(others, parser.Peer{Name: m.Name, Address: m.Address})
			}
		}
	}
	if len(others) > 0 {
		return others
	}
	for _, p := range c.Settings.Peers {
		if p.Name != c.Name {
			others = append(others, p)
		}
	}
	return others
}
