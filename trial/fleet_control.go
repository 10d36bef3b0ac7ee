package trial

import (
	"context"
	"errors"

	"golang.org/x/sync/errgroup"

	"dogwoodhead/standin"
)

// KillZone kills all nodes of a zone.
func (f *Fleet) KillZone(zone string) {
	var g errgroup.Group
	for _, s := range f.servers {
		if s.VM.Zone == zone && s.node != nil {
			g.Go(func() error {
				s.node.Kill()
				return nil
			})
		}
	}
	_ = g.Wait()
}

// SetBackendFaults changes the faults of all backend servers of a service.
// faultsJSON holds the changed fields of standin.BackendFaults.
func (f *Fleet) SetBackendFaults(ctx context.Context, service, faultsJSON string) error {
	var errs []error
	for _, s := range f.servers {
		if s.VM.Service == service {
			errs = append(errs, post(ctx, "http://"+s.BackendControlAddr+"/control/knobs", []byte(faultsJSON)))
		}
	}
	return errors.Join(errs...)
}

// Ledgers returns the ledger of every backend server.
func (f *Fleet) Ledgers(ctx context.Context) ([]standin.LedgerView, error) {
	var views []standin.LedgerView
	for _, s := range f.servers {
		var v standin.LedgerView
		if err := getJSON(ctx, "http://"+s.BackendControlAddr+"/control/ledger?tokens=1", &v); err != nil {
			return nil, err
		}
		views = append(views, v)
	}
	return views, nil
}

// ExtraAttempts returns the attempts after the first that the running nodes
// made, including refused ones.
func (f *Fleet) ExtraAttempts(ctx context.Context) (int, error) {
	total := 0.0
	for _, s := range f.servers {
		if s.node == nil || !s.node.Running() {
			continue
		}
		n, err := s.metricSum(ctx, "dogwood_extra_attempts_total")
		if err != nil {
			return 0, err
		}
		total += n
	}
	return int(total), nil
}

// Publish publishes a value at the platform under key.
func (f *Fleet) Publish(ctx context.Context, key string, value []byte) error {
	return post(ctx, "http://"+f.platformAddr+"/control/publish/"+key, value)
}

// SetPlatformMode changes how the platform responds.
func (f *Fleet) SetPlatformMode(ctx context.Context, mode standin.Mode) error {
	return post(ctx, "http://"+f.platformAddr+"/control/mode/"+string(mode), nil)
}

// PlatformStats returns the platform's counters.
func (f *Fleet) PlatformStats(ctx context.Context) (standin.PlatformStats, error) {
	var s standin.PlatformStats
	return s, getJSON(ctx, "http://"+f.platformAddr+"/control/stats", &s)
}
