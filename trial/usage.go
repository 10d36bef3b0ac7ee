package trial

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// residentMemory returns the resident memory of a process in bytes.
func residentMemory(pid int) (int64, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, eris.Wrap(err, "read memory")
	}
	fields := strings.Fields(string(b))
	if len(fields) < 2 {
		return 0, eris.Errorf("/proc/%d/statm: %q", pid, b)
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()), eris.Wrap(err, "read memory")
}

// metricSum returns the sum of all series of a metric of a node.
func (s *Server) metricSum(ctx context.Context, name string) (float64, error) {
	body, err := request(ctx, http.MethodGet, "http://"+s.OperatorAddr+"/metrics", nil)
	if err != nil {
		return 0, err
	}
	return sumMetric(body, name), nil
}

// sumMetric adds the values of all series of a metric in the text format.
func sumMetric(body []byte, name string) float64 {
	total := 0.0
	for lines := bufio.NewScanner(bytes.NewReader(body)); lines.Scan(); {
		line := lines.Text()
		sep := strings.LastIndexByte(line, ' ')
		if sep < 0 {
			continue
		}
		if series, _, _ := strings.Cut(line[:sep], "{"); series != name {
			continue
		}
		if v, err := strconv.ParseFloat(line[sep+1:], 64); err == nil {
			total += v
		}
	}
	return total
}
