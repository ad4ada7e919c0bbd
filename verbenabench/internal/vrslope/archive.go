package vrslope

import (
	"fmt"
	"time"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"
	"verbenaroute.example/verbenacore/vrrecord"
	"verbenaroute.example/verbenacore/vrwire"
)

// ArchiveOptions configures the historical record that Archive generates.
type ArchiveOptions struct {
	Zones []vrid.ZoneID
	// Entries is the number of requests in the record. They are spread over the Hours
	// full hours before the hour of Now.
	Entries int
	Hours   int
	Now     time.Time
}

// entriesPerBlock is the number of entries in a block: about 2 s of five daemons with 23
// requests/s each.
const entriesPerBlock = 2 * groupSize * 23

// Archive generates the blocks of a historical record and passes each to put. Each zone
// has one writer with five daemons, and each hour the same number of entries.
func Archive(traffic *Traffic, options ArchiveOptions, put func(vrplatform.Item)) error {
	perHour := options.Entries / (options.Hours * len(options.Zones))
	currentHour := options.Now.Truncate(time.Hour)
	for index, zone := range options.Zones {
		w := &archiver{traffic: traffic, zone: zone, writer: vrid.DaemonID(fmt.Sprintf("past-%d", index)), put: put}
		for hour := options.Hours; hour > 0; hour-- {
			if err := w.writeHour(currentHour.Add(-time.Duration(hour)*time.Hour), perHour); err != nil {
				return err
			}
		}
	}
	return nil
}

// archiver generates the blocks of one record writer.
type archiver struct {
	traffic      *Traffic
	zone         vrid.ZoneID
	writer       vrid.DaemonID
	put          func(vrplatform.Item)
	sequence     uint64
	previous     []byte
	entryNumbers [groupSize]uint64
}

const archiveBoot vrid.BootID = "01J00000000000000000000000"

// writeHour writes blocks with entries that are evenly spaced over an hour.
func (w *archiver) writeHour(begin time.Time, entries int) error {
	spacing := time.Hour / time.Duration(entries+1)
	for first := 0; first < entries; first += entriesPerBlock {
		count := min(entriesPerBlock, entries-first)
		if err := w.writeBlock(begin.Add(time.Duration(first)*spacing), spacing, count); err != nil {
			return err
		}
	}
	return nil
}

// writeBlock writes one block, with its entries distributed round-robin over the daemons.
func (w *archiver) writeBlock(begin time.Time, spacing time.Duration, count int) error {
	w.sequence++
	block := &vrrecord.Block{
		Zone: w.zone, Writer: w.writer, Boot: archiveBoot, Sequence: w.sequence, Previous: w.previous,
		From: begin.UnixMilli(), Until: begin.Add(time.Duration(count-1) * spacing).UnixMilli(),
	}
	before := w.entryNumbers
	for i := range count {
		data, err := w.encodeEntry(i%groupSize, begin.Add(time.Duration(i)*spacing))
		if err != nil {
			return err
		}
		block.Entries = append(block.Entries, data)
	}
	for daemon, last := range w.entryNumbers {
		if last > before[daemon] {
			block.Coverage = append(block.Coverage, vrrecord.Coverage{
				Daemon: w.daemonID(daemon), Boot: archiveBoot, First: before[daemon] + 1, Last: last, Opened: last,
			})
		}
	}
	value, err := vrrecord.EncodeBlock(block)
	if err != nil {
		return err
	}
	w.previous = vrrecord.Hash(value)
	w.put(vrplatform.Item{Key: block.Key(), Value: value})
	return nil
}

func (w *archiver) daemonID(index int) vrid.DaemonID {
	return vrid.DaemonID(fmt.Sprintf("%s-%d", w.writer, index))
}

func (w *archiver) encodeEntry(daemon int, at time.Time) ([]byte, error) {
	w.entryNumbers[daemon]++
	entry := w.traffic.Entry(at)
	entry.Zone, entry.Daemon, entry.Boot, entry.Number = w.zone, w.daemonID(daemon), archiveBoot, w.entryNumbers[daemon]
	return vrwire.Marshal(&entry)
}
