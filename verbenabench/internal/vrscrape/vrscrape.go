// Package vrscrape reads a daemon's metrics.
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

// Usage is what a daemon used so far, and its own counters.
type Usage struct {
	CPU       time.Duration
	Memory    vrid.Bytes
	Allocated float64
	// Values are all metrics by name with labels.
	Values map[string]float64
}

// Read reads the metrics at an operators' address.
func Read(client *http.Client, operators string) (Usage, error) {
	response, err := client.Get("http://" + operators + "/metrics")
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

// Sum adds up the metrics whose name starts with a prefix.
func (u Usage) Sum(prefix string) float64 {
	total := 0.0
	for name, value := range u.Values {
		if strings.HasPrefix(name, prefix) {
			total += value
		}
	}
	return total
}
