package main

import (
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
	"github.com/spf13/cobra"

	"dogwoodhead/mesh"
	"dogwoodhead/operator"
	"dogwoodhead/platform"
	"dogwoodhead/settings"
)

const (
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
with 0. SIGHUP or a change of the settings file reloads the settings; a node that
is stopping skips the reload.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runMesh(cmd.Context(), file)
		},
	}
	cmd.Flags().StringVar(&file, "settings", os.Getenv(platform.SettingsFileEnv), "settings file, JSON with comments")
	return cmd
}

func runMesh(ctx context.Context, file string) error {
	hup := notifySIGHUP()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
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
	n := mesh.New(s, version(), log, clock)
	f := &settingsFollower{clock: clock, log: log, node: n, hup: hup, file: file, active: src}
	ended := make(chan struct{})
	go f.run(ctx, ended)
	err = n.Run(ctx)
	close(ended)
	stream.Close(logFlushTimeout)
	return eris.Wrap(err, "run node")
}

// limitProcess limits the process to the memory and cores of its settings.
func limitProcess(s *settings.Mesh) {
	debug.SetMemoryLimit(int64(heapFraction * float64(s.MemoryLimit())))
	debug.SetGCPercent(meshGCPercent)
	runtime.GOMAXPROCS(max(int(math.Ceil(s.Cores())), 1))
}
