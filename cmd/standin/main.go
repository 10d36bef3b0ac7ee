// Command standin runs the test doubles of package standin as processes.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"dogwoodhead/standin"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{Use: "standin", Short: "test doubles of the platform, backend servers and callers", SilenceUsage: true}
	root.AddCommand(platformCommand(), backendCommand(), callersCommand())
	if err := root.ExecuteContext(ctx); err != nil {
		os.Exit(1)
	}
}

func platformCommand() *cobra.Command {
	var listen string
	var values []string
	var reads int
	c := &cobra.Command{Use: "platform", Short: "serve configuration values", Args: cobra.NoArgs}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "ip:port")
	c.Flags().StringArrayVar(&values, "value", nil, "key=file, loaded at the start; may be repeated")
	c.Flags().IntVar(&reads, "reads", standin.DefaultReads, "limit of reads a second")
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		p := standin.NewPlatform(standin.PlatformOptions{Reads: reads})
		for _, v := range values {
			key, file, ok := strings.Cut(v, "=")
			if !ok {
				return eris.Errorf("--value %q: want key=file", v)
			}
			body, err := os.ReadFile(file)
			if err != nil {
				return eris.Wrapf(err, "load value %s", key)
			}
			p.Publish(key, 0, body)
		}
		l, err := net.Listen("tcp", listen)
		if err != nil {
			return eris.Wrap(err, "listen")
		}
		fmt.Fprintln(cmd.OutOrStdout(), "listening", l.Addr())
		return standin.Serve(cmd.Context(), l, p.Handler())
	}
	return c
}

func backendCommand() *cobra.Command {
	var settings, policy, service, listen, control, outbound string
	var slots, connections int
	c := &cobra.Command{Use: "backend", Short: "serve as one backend server", Args: cobra.NoArgs}
	f := c.Flags()
	f.StringVar(&settings, "settings", "", "settings file; the flags win over it")
	f.StringVar(&policy, "policy", "", "base document that declares the operations and their calls")
	f.StringVar(&service, "service", "", "name of the service")
	f.StringVar(&listen, "listen", "", "ip:port")
	f.StringVar(&control, "control", "", "further ip:port for control only")
	f.StringVar(&outbound, "outbound", "", "ip:port of the node for downstream calls")
	f.IntVar(&slots, "slots", 0, "requests worked on at a time")
	f.IntVar(&connections, "connections", 0, "connections accepted")
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		var s standin.BackendSettings
		if settings != "" {
			src, err := os.ReadFile(settings)
			if err != nil {
				return eris.Wrap(err, "read settings")
			}
			if s, err = standin.ParseBackend(src); err != nil {
				return err
			}
		}
		override(&s.Service, service)
		override(&s.Listen, listen)
		override(&s.Control, control)
		override(&s.Outbound, outbound)
		override(&s.Slots, slots)
		override(&s.Connections, connections)
		if policy != "" {
			if err := declare(&s, policy); err != nil {
				return err
			}
		}
		return standin.NewBackend(s, nil).Run(cmd.Context())
	}
	return c
}

// override replaces a setting by a flag that was given.
func override[T comparable](setting *T, flag T) {
	var zero T
	if flag != zero {
		*setting = flag
	}
}

func declare(s *standin.BackendSettings, file string) error {
	src, err := os.ReadFile(file)
	if err != nil {
		return eris.Wrap(err, "read base document")
	}
	d, err := standin.ReadDocument(src)
	if err != nil {
		return err
	}
	return s.Declare(d)
}

func callersCommand() *cobra.Command {
	c := &cobra.Command{Use: "callers SCENARIO", Short: "make load and print the counts as JSON", Args: cobra.ExactArgs(1)}
	c.RunE = func(cmd *cobra.Command, args []string) error {
		src, err := os.ReadFile(args[0])
		if err != nil {
			return eris.Wrap(err, "read scenario")
		}
		sc, err := standin.ParseScenario(src)
		if err != nil {
			return err
		}
		callers, err := standin.NewCallers(sc, nil)
		if err != nil {
			return err
		}
		return json.NewEncoder(cmd.OutOrStdout()).Encode(callers.Run(cmd.Context()))
	}
	return c
}
