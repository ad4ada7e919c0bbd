// Package vrscrape scrapes a daemon's metrics.
package vrscrape

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"verbenaroute.example/verbenacore/vrid"
)

// Usage holds the metrics of a daemon's process at the time of a scrape.
type Usage struct {
	// CPU is the CPU time used since the process started.
	CPU time.Duration
	// Memory is the resident memory.
	Memory vrid.Bytes
	// Allocated is the number of heap bytes allocated since the process started, including
	// freed ones.
	Allocated float64
	// Values maps the name of each metric, including its labels, to its value.
	Values map[string]float64
}

// Read scrapes the metrics from the operator port at an address. Lines that are not a metric
// with a numeric value are skipped.
func Read(client *http.Client, operatorAddress string) (Usage, error) {
	response, err := client.Get("http://" + operatorAddress + "/metrics")
	if err != nil {
		return Usage{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return Usage{}, fmt.Errorf("metrics: status %d", response.StatusCode)
	}
	usage := Usage{Values: make(map[string]float64)}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		name, text, ok := strings.Cut(lines.Text(), " ")
		if !ok {
			continue
		}
		if value, err := strconv.ParseFloat(text, 64); err == nil {
			usage.Values[name] = value
		}
	}
	usage.CPU = time.Duration(usage.Values["process_cpu_seconds_total"] * float64(time.Second))
	usage.Memory = vrid.Bytes(usage.Values["process_resident_memory_bytes"])
	usage.Allocated = usage.Values["go_memstats_alloc_bytes_total"]
	return usage, lines.Err()
}

// Sum returns the sum of the metrics whose name starts with a prefix.
func (u Usage) Sum(prefix string) float64 {
	total := 0.0
	for name, value := range u.Values {
		if strings.HasPrefix(name, prefix) {
			total += value
		}
	}
	return total
}
