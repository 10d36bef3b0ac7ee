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
	// settingsPoll is how often the settings file is compared with the one in
	// force: it may change without a signal.
	settingsPoll = 2 * time.Second
	// heapPart is the part of the memory of a process that the Go heap may use.
	heapPart = 0.6
	// meshGCPercent trades memory, which is priced, for processor time.
	meshGCPercent = 150
	// logFlush bounds the writing of the last log lines.
	logFlush = 200 * time.Millisecond
)

func newMeshCommand() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "mesh [--settings FILE]",
		Short: "Run the node beside one backend server on the users' platform",
		Long: `Runs the node until it gets SIGTERM or SIGINT. It then takes no new work for its
backend server, answers the requests in progress and exits with 0. SIGHUP and a
changed settings file make it read the settings again.`,
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
	stream.Close(logFlush)
	return eris.Wrap(err, "run node")
}

// limitProcess keeps the process within the memory and the cores of its VM.
func limitProcess(s *settings.Mesh) {
	debug.SetMemoryLimit(int64(heapPart * float64(s.MemoryLimit())))
	debug.SetGCPercent(meshGCPercent)
	runtime.GOMAXPROCS(max(int(math.Ceil(s.Cores())), 1))
}

// followSettings reloads the settings after SIGHUP and when the file has changed.
func followSettings(ctx context.Context, clock clockwork.Clock, file string, src []byte, log *logrus.Logger, n *mesh.Node) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ticker := clock.NewTicker(settingsPoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-ticker.Chan():
		}
		now, err := os.ReadFile(file)
		if err == nil && bytes.Equal(now, src) {
			continue
		}
		var s *settings.Mesh
		if err == nil {
			s, err = settings.ParseMesh(file, now)
		}
		if err != nil {
			log.WithField("error", err.Error()).Error("settings are refused; the earlier ones stay in force")
			continue
		}
		src = now
		n.Reload(s)
	}
}
