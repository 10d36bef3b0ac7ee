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
	root := &cobra.Command{Use: "standin", Short: "Test doubles of the platform, backend servers and callers", SilenceUsage: true}
	root.AddCommand(platformCommand(), backendCommand(), callersCommand())
	if err := root.ExecuteContext(ctx); err != nil {
		os.Exit(1)
	}
}

func platformCommand() *cobra.Command {
	var listen string
	var values []string
	var reads int
	c := &cobra.Command{Use: "platform", Short: "Serve configuration values", Args: cobra.NoArgs}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "ip:port")
	c.Flags().StringArrayVar(&values, "value", nil, "key=file, loaded at the start; may be repeated")
	c.Flags().IntVar(&reads, "reads", standin.DefaultReadsPerSecond, "maximum reads per second")
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		p := standin.NewPlatform(standin.PlatformOptions{ReadsPerSecond: reads})
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
	var settingsFile, policyFile, service, listen, control, outbound string
	var slots, connections int
	c := &cobra.Command{Use: "backend", Short: "Serve as one backend server", Args: cobra.NoArgs}
	f := c.Flags()
	f.StringVar(&settingsFile, "settings", "", "settings file; flags override it")
	f.StringVar(&policyFile, "policy", "", "base document that declares the operations and their calls")
	f.StringVar(&service, "service", "", "name of the service")
	f.StringVar(&listen, "listen", "", "ip:port")
	f.StringVar(&control, "control", "", "additional ip:port for control endpoints only")
	f.StringVar(&outbound, "outbound", "", "ip:port of the node for downstream calls")
	f.IntVar(&slots, "slots", 0, "maximum concurrent requests")
	f.IntVar(&connections, "connections", 0, "maximum open connections")
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		var s standin.BackendSettings
		if settingsFile != "" {
			src, err := os.ReadFile(settingsFile)
			if err != nil {
				return eris.Wrap(err, "read settings")
			}
			if s, err = standin.ParseBackendSettings(src); err != nil {
				return err
			}
		}
		override(&s.Service, service)
		override(&s.ListenAddr, listen)
		override(&s.ControlAddr, control)
		override(&s.OutboundAddr, outbound)
		override(&s.Slots, slots)
		override(&s.Connections, connections)
		if policyFile != "" {
			if err := applyDocument(&s, policyFile); err != nil {
				return err
			}
		}
		return standin.NewBackend(s, nil).Run(cmd.Context())
	}
	return c
}

// override sets a setting to the value of a flag, unless that is the zero value.
func override[T comparable](setting *T, flag T) {
	var zero T
	if flag != zero {
		*setting = flag
	}
}

func applyDocument(s *standin.BackendSettings, file string) error {
	src, err := os.ReadFile(file)
	if err != nil {
		return eris.Wrap(err, "read base document")
	}
	d, err := standin.ParseDocument(src)
	if err != nil {
		return err
	}
	return s.ApplyDocument(d)
}

func callersCommand() *cobra.Command {
	c := &cobra.Command{Use: "callers SCENARIO", Short: "Generate load and print the counts as JSON", Args: cobra.ExactArgs(1)}
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
