package main

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"dogwoodhead/mesh"
	"dogwoodhead/settings"
)

// settingsPollInterval is how often the settings file is compared with the
// active settings, because it may change without a signal.
const settingsPollInterval = 2 * time.Second

// notifySIGHUP returns a channel that receives SIGHUP. The signal stays
// registered until the process ends: its default action would end the process,
// also during a graceful shutdown.
func notifySIGHUP() <-chan os.Signal {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	return hup
}

// settingsFollower reloads a node's settings after SIGHUP and after the file
// changed.
type settingsFollower struct {
	clock clockwork.Clock
	log   *logrus.Logger
	node  *mesh.Node
	hup   <-chan os.Signal
	file  string
	// active is the content of the active settings file.
	active []byte
}

// run follows the settings until stopping is done, and then only logs that
// reloads are skipped, until ended is closed.
func (f *settingsFollower) run(stopping context.Context, ended <-chan struct{}) {
	ticker := f.clock.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for stopping.Err() == nil {
		select {
		case <-stopping.Done():
		case <-f.hup:
			f.reload(true)
		case <-ticker.Chan():
			f.reload(false)
		}
	}
	for {
		select {
		case <-ended:
			return
		case <-f.hup:
			f.log.Warn("reload is skipped: the node is stopping")
		}
	}
}

// reload applies the settings file if its content changed. requested is set
// after a SIGHUP, which is logged in any case.
func (f *settingsFollower) reload(requested bool) {
	current, err := os.ReadFile(f.file)
	if err == nil && bytes.Equal(current, f.active) {
		if requested {
			f.log.Info("settings are unchanged")
		}
		return
	}
	var s *settings.Mesh
	if err == nil {
		s, err = settings.ParseMesh(f.file, current)
	}
	if err != nil {
		f.log.WithField("error", err.Error()).Error("settings are refused; the earlier ones stay in force")
		return
	}
	f.active = current
	f.node.Reload(s)
}
