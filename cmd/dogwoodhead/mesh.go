package main

import (
	"bytes"
	"context"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"dogwoodhead/mesh"
	"dogwoodhead/operator"
	"dogwoodhead/platform"
	"dogwoodhead/settings"
)

const (
	// settingsPollInterval is how often the settings file is compared with the
	// active settings, because it may change without a signal.
	settingsPollInterval = 2 * time.Second
	// heapFraction is the fraction of the process's memory limit for the Go heap.
	heapFraction = 0.6
	// meshGCPercent trades memory, which is billed, for CPU time.
	meshGCPercent = 150
	// logFlushTimeout limits the writing of the last log lines.
	logFlushTimeout = 200 * time.Millisecond
)

func newMeshCommand() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "mesh [--settings FILE]",
		Short: "Run the node beside one backend server on the users' platform",
		Long: `Runs the node until it receives SIGTERM or SIGINT. It then accepts no new
requests for its backend server, completes the requests in progress and exits
with 0. SIGHUP or a change of the settings file reloads the settings.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runMesh(cmd.Context(), file)
		},
	}
	cmd.Flags().StringVar(&file, "settings", os.Getenv(platform.SettingsFileEnv), "settings file, JSON with comments")
	return cmd
}

func runMesh(ctx context.Context, file string) error {
	src, err := os.ReadFile(file)
	if err != nil {
		return eris.Wrap(err, "read settings")
	}
	s, err := settings.ParseMesh(file, src)
	if err != nil {
		return err
	}
	limitProcess(s)
	clock := clockwork.NewRealClock()
	log, stream, err := operator.NewLogger(os.Stdout, s.LogLevel(), clock)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	n := mesh.New(s, version(), log, clock)
	go followSettings(ctx, clock, file, src, log, n)
	err = n.Run(ctx)
	stream.Close(logFlushTimeout)
	return eris.Wrap(err, "run node")
}

// limitProcess limits the process to the memory and cores of its settings.
func limitProcess(s *settings.Mesh) {
	debug.SetMemoryLimit(int64(heapFraction * float64(s.MemoryLimit())))
	debug.SetGCPercent(meshGCPercent)
	runtime.GOMAXPROCS(max(int(math.Ceil(s.Cores())), 1))
}

// followSettings reloads the settings after SIGHUP and after the file changed,
// until ctx is done. active is the content of the active settings file.
func followSettings(ctx context.Context, clock clockwork.Clock, file string, active []byte, log *logrus.Logger, n *mesh.Node) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ticker := clock.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-ticker.Chan():
		}
		current, err := os.ReadFile(file)
		if err == nil && bytes.Equal(current, active) {
			continue
		}
		var s *settings.Mesh
		if err == nil {
			s, err = settings.ParseMesh(file, current)
		}
		if err != nil {
			log.WithField("error", err.Error()).Error("settings are refused; the earlier ones stay in force")
			continue
		}
		active = current
		n.Reload(s)
	}
}
