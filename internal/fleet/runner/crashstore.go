package runner

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"time"

	"verbenareach/internal/control/recorder"
	"verbenareach/internal/event/logger"
	"verbenareach/internal/fleet/quarantiner"
	"verbenareach/internal/wire/messenger"
)

// crashStore keeps on a hub's disk what is known of prompts that crash engines, so that a restart of
// all hosts does not cost engines again. Losing the file only means to learn anew.
type crashStore struct {
	quarantiner *quarantiner.Quarantiner
	folder      string
	files       recorder.Files
	// changed is signaled after each change of what is known.
	changed chan struct{}
	log     *logger.Logger
}

const (
	// crashFolder and crashFile are the folder within the data folder, and the file in it.
	crashFolder = "quarantine"
	crashFile   = "crashes"
	// storeDelay is how long changes are gathered before they are stored together.
	storeDelay = 100 * time.Millisecond
)

func newCrashStore(q *quarantiner.Quarantiner, dataFolder string, log *logger.Logger) *crashStore {
	return &crashStore{
		quarantiner: q, folder: filepath.Join(dataFolder, crashFolder), files: recorder.Disk(), changed: make(chan struct{}, 1), log: log,
	}
}

// signal has the store write what is known soon. It never blocks.
func (s *crashStore) signal() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// run loads what is stored and then stores each change, until ctx ends.
func (s *crashStore) run(ctx context.Context) {
	s.load(time.Now())
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.changed:
		}
		select {
		case <-ctx.Done():
		case <-time.After(storeDelay):
		}
		if err := s.store(time.Now()); err != nil {
			s.log.Emit(time.Now(), logger.PartsNotStored, "", logger.F("error", err))
		}
	}
}

// load merges what is stored, each crash as much older as it was stored ago.
func (s *crashStore) load(now time.Time) {
	stored := new(messenger.StoredCrashes)
	err := s.files.Load(filepath.Join(s.folder, crashFile), stored)
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	if err != nil {
		s.log.Emit(now, logger.PartsNotStored, "", logger.F("error", err))
		return
	}
	elapsed := max(now.UnixMilli()-stored.StoredMs, 0)
	for _, c := range stored.Report.GetCrashes() {
		c.AgeMs += elapsed
	}
	for _, p := range stored.Report.GetHealthyParts() {
		p.AgeMs += elapsed
	}
	s.quarantiner.Merge(now, "", stored.Report)
}

// store writes what is known.
func (s *crashStore) store(now time.Time) error {
	report := s.quarantiner.Report(now)
	if report == nil {
		return nil
	}
	if err := s.files.MakeFolder(s.folder); err != nil {
		return err
	}
	if err := s.files.SyncFolder(filepath.Dir(s.folder)); err != nil {
		return err
	}
	return s.files.Replace(filepath.Join(s.folder, crashFile), &messenger.StoredCrashes{StoredMs: now.UnixMilli(), Report: report})
}
